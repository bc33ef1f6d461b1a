#include "runtime/net/endpoint.h"
#include "wire/http/client.h"
#include "wire/http/server.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

using namespace auburnspread;
using http::Method;
using http::tests::fetch;
using http::tests::runUntil;

namespace
{

/// The text of an answer's status, or of the error in its place.
auto outcomeOf(const http::Result &result) -> std::string
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return std::string(http::causeName(error->cause));
    }
    return std::to_string(std::get<http::Response>(result).status);
}

/// A caller that writes what it likes.
class RawCaller
{
public:
    RawCaller(task::EventLoop &loop, const std::string &address)
        : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
        , reading_(loop.whenReadable(descriptor_, [this]() { read(); }))
    {
        const auto target = net::toSocketAddress(*net::parseEndpoint(address));
        EXPECT_EQ(::connect(descriptor_, target.get(), target.size), 0);
    }
    ~RawCaller()
    {
        reading_ = {};
        ::close(descriptor_);
    }
    RawCaller(const RawCaller &) = delete;
    auto operator=(const RawCaller &) -> RawCaller & = delete;

    auto send(const std::string &text) const -> void
    {
        ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    auto stopReading() -> void
    {
        reading_ = {};
    }
    [[nodiscard]] auto received() const -> const std::string &
    {
        return received_;
    }
    [[nodiscard]] auto isEnded() const -> bool
    {
        return isEnded_;
    }

private:
    auto read() -> void
    {
        std::array<char, 4096> buffer{};
        const auto size = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size <= 0) {
            isEnded_ = true;
            reading_ = {};
            return;
        }
        received_.append(buffer.data(), static_cast<std::size_t>(size));
    }

    int descriptor_;
    std::string received_;
    bool isEnded_ = false;
    task::Watch reading_;
};

class ServerTests : public testing::Test
{
protected:
    ServerTests()
    {
        server_.route("/echo/", [](const http::IncomingRequest &request, const http::Replier &replier) {
            replier.replyJson(200,
                              { { "method", http::methodName(request.method) },
                                { "path", request.path },
                                { "query", request.query },
                                { "body", request.body },
                                { "header", http::findHeader(request.headers, "x-name") } });
        });
        server_.route("/later", [this](const http::IncomingRequest &, const http::Replier &replier) { waiting_.push_back(replier); });
        server_.route("/throw", [](const http::IncomingRequest &, const http::Replier &) { throw std::runtime_error("broken"); });
        server_.route("/forget", [](const http::IncomingRequest &, const http::Replier &) {});
        server_.route("/abort", [](const http::IncomingRequest &, const http::Replier &replier) { replier.abort(); });
        address_ = server_.listen("127.0.0.1:0");
    }

    auto get(const std::string &path) -> http::Result
    {
        return fetch(loop_, client_, { .address = address_, .path = path });
    }

    task::EventLoop loop_;
    memory::Account account_{ loop_, { .bytes = std::size_t{ 1024 } * 1024 * 1024 } }; ///< of answers larger than the kernel's buffers
    http::Server server_{ loop_, { .headerBytes = 1024, .bodyBytes = 4096, .connections = 4 }, &account_ };
    http::Client client_{ loop_ };
    std::vector<http::Replier> waiting_;
    std::string address_;
};

} // namespace

TEST_F(ServerTests, handlersSeeTheDecodedRequest)
{
    const auto result = fetch(loop_,
                              client_,
                              { .method = Method::Put,
                                .address = address_,
                                .path = "/echo/a%20b/c?x=1%262&y=",
                                .headers = { { "X-Name", "value" } },
                                .body = std::string("a\0b", 3) });
    const auto body = nlohmann::json::parse(std::get<http::Response>(result).body);
    const nlohmann::json expected = {
        { "method", "PUT" }, { "path", "/echo/a b/c" }, { "query", { { "x", "1&2" }, { "y", "" } } }, { "body", std::string("a\0b", 3) }, { "header", "value" }
    };
    EXPECT_EQ(body, expected);
}

/// What an entry sees that asks another one: 404 for a path that is there, or bytes of another place than it asked for. On a busy
/// link a request arrives in two segments, and its first line is divided at any place.
TEST_F(ServerTests, aRequestThatArrivesInTwoPiecesIsReadWhole)
{
    const std::string request = "GET /echo/document?tag=1234567890&from=32768 HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
    for (std::size_t split = 1; split < request.size(); split += 1) {
        RawCaller caller(loop_, address_);
        caller.send(request.substr(0, split));
        // what is sent on loopback is there at once, and each turn of the loop reads what is there
        constexpr int Turns = 3;
        runUntil(loop_, [turn = 0]() mutable { return ++turn > Turns; });
        caller.send(request.substr(split));
        ASSERT_TRUE(runUntil(loop_, [&]() { return caller.isEnded(); }));
        const auto &answer = caller.received();
        const auto body = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
        const nlohmann::json query = { { "tag", "1234567890" }, { "from", "32768" } };
        EXPECT_EQ(body.value("path", ""), "/echo/document") << "divided after: " << request.substr(0, split);
        EXPECT_EQ(body.value("query", nlohmann::json()), query) << "divided after: " << request.substr(0, split);
    }
}

/// The same where the connection has been used before.
TEST_F(ServerTests, aLaterRequestThatArrivesInTwoPiecesIsReadWhole)
{
    const std::string request = "GET /echo/document HTTP/1.1\r\nHost: entry\r\n\r\n";
    RawCaller caller(loop_, address_);
    for (std::size_t split = 1; split < request.size(); split += 1) {
        const auto before = caller.received().size();
        caller.send(request.substr(0, split));
        constexpr int Turns = 3;
        runUntil(loop_, [turn = 0]() mutable { return ++turn > Turns; });
        caller.send(request.substr(split));
        ASSERT_TRUE(runUntil(loop_, [&]() { return caller.received().find('}', before) != std::string::npos; }));
        EXPECT_NE(caller.received().find("\"path\":\"/echo/document\"", before), std::string::npos) << "divided after: " << request.substr(0, split);
    }
}

TEST_F(ServerTests, everyRequestGetsAnAnswerAlsoIfItsHandlerFails)
{
    EXPECT_EQ(outcomeOf(get("/unknown")), "404");
    EXPECT_EQ(outcomeOf(get("/echo")), "404");
    EXPECT_EQ(outcomeOf(get("/throw")), "500");
    EXPECT_EQ(outcomeOf(get("/forget")), "500");
    EXPECT_EQ(outcomeOf(get("/abort")), "closed");
    EXPECT_EQ(outcomeOf(get("/echo/")), "200");
}

/// Guards against a caller that takes the body of an answer for its next answer: there is none after HEAD.
TEST_F(ServerTests, anAnswerToHeadHasNoBody)
{
    RawCaller caller(loop_, address_);
    const auto &answers = caller.received();
    caller.send("HEAD /echo/ HTTP/1.1\r\nHost: entry\r\n\r\n");
    ASSERT_TRUE(runUntil(loop_, [&]() { return answers.find("\r\n\r\n") != std::string::npos; }));
    caller.send("GET /echo/ HTTP/1.1\r\nHost: entry\r\n\r\n");
    ASSERT_TRUE(runUntil(loop_, [&]() { return answers.find("\"GET\"") != std::string::npos; }));
    EXPECT_EQ(answers.compare(answers.find("\r\n\r\n") + 4, 13, "HTTP/1.1 200 "), 0) << answers;
}

TEST_F(ServerTests, anAnswerMayComeLaterAndIsDroppedIfTheCallerHasGone)
{
    const auto gone = client_.fetch({ .address = address_, .path = "/later" }, [](const http::Result &) {});
    std::optional<http::Result> result;
    client_.fetch({ .address = address_, .path = "/later" }, [&](http::Result got) { result = std::move(got); });
    ASSERT_TRUE(runUntil(loop_, [&]() { return waiting_.size() == 2; }));
    client_.cancel(gone);
    for (const auto &replier : waiting_) {
        replier.reply(202, "text/plain", "late");
        replier.reply(200, "text/plain", "ignored");
    }
    ASSERT_TRUE(runUntil(loop_, [&]() { return result.has_value(); }));
    EXPECT_EQ(outcomeOf(*result), "202");
    EXPECT_TRUE(runUntil(loop_, [&]() { return server_.connectionCount() == 1; }));
}

TEST_F(ServerTests, tooLongHeadersAndBodiesNeverReachAHandler)
{
    const auto longBody = fetch(loop_, client_, { .method = Method::Post, .address = address_, .path = "/later", .body = std::string(8192, 'b') });
    EXPECT_TRUE(outcomeOf(longBody) == "413" || outcomeOf(longBody) == "closed") << outcomeOf(longBody);
    const auto longHeader = fetch(loop_, client_, { .address = address_, .path = "/later", .headers = { { "X-Long", std::string(2048, 'h') } } });
    EXPECT_EQ(outcomeOf(longHeader), "closed");
    EXPECT_TRUE(waiting_.empty());
}

// A caller opens a connection and sends its request so slowly that no pause is long enough for a read timeout.
// The limit spans the whole request, so the connection ends all the same and its place is free again.
TEST_F(ServerTests, aSlowCallerIsCutOff)
{
    http::Server server(loop_, { .readTimeout = std::chrono::milliseconds(50) });
    const RawCaller caller(loop_, server.listen("127.0.0.1:0"));
    caller.send("GET /echo/ HTTP/1.1\r\nX-Name: ");
    const auto dripping = loop_.every(std::chrono::milliseconds(1), [&]() { caller.send("a"); });
    ASSERT_TRUE(runUntil(loop_, [&]() { return server.connectionCount() == 1; }));
    EXPECT_TRUE(runUntil(loop_, [&]() { return server.connectionCount() == 0; }));
}

// A caller asks for a large answer and never reads it. The answer fills the socket's buffers and stops.
// The time to send it is limited, so the connection and the answer's memory do not stay for ever.
TEST_F(ServerTests, aCallerThatDoesNotReadItsAnswerIsCutOff)
{
    memory::Account account(loop_, { .bytes = std::size_t{ 1024 } * 1024 * 1024 }); // which would close it before
    http::Server server(loop_, { .sendTimeout = std::chrono::milliseconds(50) }, &account);
    server.route("/large", [](const http::IncomingRequest &, const http::Replier &replier) {
        constexpr std::size_t MoreThanBuffers = std::size_t{ 64 } * 1024 * 1024;
        replier.reply(200, "text/plain", std::string(MoreThanBuffers, 'x'));
    });
    RawCaller caller(loop_, server.listen("127.0.0.1:0"));
    caller.stopReading();
    caller.send("GET /large HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil(loop_, [&]() { return server.connectionCount() == 1; }));
    EXPECT_TRUE(runUntil(loop_, [&]() { return server.connectionCount() == 0; }));
}

// A caller sends several requests in one go, and the first one's answer comes late.
// It gets whole answers in the order of its requests; where the server stops to follow, the connection ends,
// so that the caller asks again instead of waiting in silence.
TEST_F(ServerTests, requestsSentTogetherAreAnsweredInOrderOrTheConnectionEnds)
{
    const RawCaller caller(loop_, address_);
    caller.send("GET /later HTTP/1.1\r\n\r\nGET /echo/2 HTTP/1.1\r\n\r\nGET /echo/3 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil(loop_, [&]() { return waiting_.size() == 1; }));
    EXPECT_EQ(caller.received(), "");
    waiting_.front().reply(200, "text/plain", "answer-1");
    ASSERT_TRUE(runUntil(loop_, [&]() { return caller.isEnded(); })) << caller.received();
    const auto first = caller.received().find("answer-1");
    const auto second = caller.received().find("/echo/2");
    const auto third = caller.received().find("/echo/3");
    EXPECT_NE(first, std::string::npos);
    EXPECT_TRUE(second == std::string::npos || first < second) << caller.received();
    EXPECT_TRUE(third == std::string::npos || second < third) << caller.received();
}

/// Guards against an answer whose end is lost: the kernel resets a connection that is closed with unread bytes, here those of the caller's
/// next request, and discards what is not yet delivered.
TEST_F(ServerTests, aCallerThatHasSentItsNextRequestGetsTheWholeAnswer)
{
    constexpr std::size_t Large = std::size_t{ 24 } * 1024 * 1024; // more than the kernel's buffers take
    const RawCaller caller(loop_, address_);
    caller.send("GET /later HTTP/1.1\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil(loop_, [&]() { return waiting_.size() == 1; }));
    caller.send("GET /echo/2 HTTP/1.1\r\n\r\n");
    waiting_.front().reply(200, "text/plain", std::string(Large, 'x'));
    ASSERT_TRUE(runUntil(loop_, [&]() { return caller.isEnded(); }));
    EXPECT_GE(caller.received().size(), Large);
}

/// Guards against a program that ends while the end of its last answer is not yet delivered to a caller that has sent its next request.
TEST_F(ServerTests, aStoppedServerWaitsForTheCallersOfItsLastAnswers)
{
    constexpr std::size_t Large = std::size_t{ 24 } * 1024 * 1024; // more than the kernel's buffers take
    const RawCaller caller(loop_, address_);
    caller.send("GET /later HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil(loop_, [&]() { return waiting_.size() == 1; }));
    caller.send("GET /echo/2 HTTP/1.1\r\n\r\n");
    waiting_.front().reply(200, "text/plain", std::string(Large, 'x'));
    std::size_t receivedAtStop = 0;
    auto isStopped = false;
    server_.stop([&]() {
        isStopped = true;
        receivedAtStop = caller.received().size();
    });
    ASSERT_TRUE(runUntil(loop_, [&]() { return isStopped && caller.isEnded(); }));
    EXPECT_GE(receivedAtStop, Large);
}

TEST_F(ServerTests, anAnswersHeaderCannotForgeAnother)
{
    server_.route("/header", [](const http::IncomingRequest &, const http::Replier &replier) {
        replier.reply(200, "text/plain", "", { { "X-Value", "a\r\nX-Forged: b" } });
    });
    const auto response = std::get<http::Response>(get("/header"));
    EXPECT_EQ(http::findHeader(response.headers, "X-Forged"), "");
    EXPECT_EQ(http::findHeader(response.headers, "X-Value"), "a  X-Forged: b");
}

RC_GTEST_FIXTURE_PROP(ServerTests, rubbishNeverStopsTheServer, ())
{
    const auto piece = rc::gen::element<std::string>("GET ",
                                                     "POST ",
                                                     "/echo/",
                                                     " HTTP/1.1",
                                                     "\r\n",
                                                     "\r\n\r\n",
                                                     "Content-Length: 5",
                                                     "Content-Length: -1",
                                                     "Transfer-Encoding: chunked",
                                                     "5\r\n",
                                                     "abcde",
                                                     "%",
                                                     "?a=%zz",
                                                     ":",
                                                     std::string("\0", 1),
                                                     "\xff",
                                                     "Connection: close");
    std::string text = "\r\n\r\n"; // so that a request that is whole ends
    for (const auto &part : *rc::gen::container<std::vector<std::string>>(piece)) {
        text.insert(text.size() - 4, part);
    }
    {
        const RawCaller caller(loop_, address_);
        caller.send(text);
        RC_ASSERT(runUntil(loop_, [&]() { return server_.connectionCount() > 0 || caller.isEnded(); }));
    }
    RC_ASSERT(outcomeOf(get("/echo/")) == "200");
}

TEST_F(ServerTests, connectionsBeyondTheLimitAreClosed)
{
    std::vector<std::string> outcomes;
    for (int i = 0; i < 6; ++i) {
        client_.fetch({ .address = address_, .path = "/later" }, [&](const http::Result &got) { outcomes.push_back(outcomeOf(got)); });
    }
    ASSERT_TRUE(runUntil(loop_, [&]() { return waiting_.size() == 4 && outcomes.size() == 2; }));
    EXPECT_EQ(outcomes, (std::vector<std::string>{ "closed", "closed" }));
}

// The server stops while one request waits for its answer and one connection is idle.
// The idle one closes at once, no new one is accepted, and the waiting caller still gets its whole answer.
TEST_F(ServerTests, stoppingEndsIdleConnectionsAndFinishesTheOthers)
{
    get("/echo/");
    std::optional<http::Result> result;
    client_.fetch({ .address = address_, .path = "/later", .freshConnection = true }, [&](http::Result got) { result = std::move(got); });
    ASSERT_TRUE(runUntil(loop_, [&]() { return waiting_.size() == 1; }));
    bool isStopped = false;
    server_.stop([&]() { isStopped = true; });
    ASSERT_TRUE(runUntil(loop_, [&]() { return server_.connectionCount() == 1; }));
    EXPECT_FALSE(isStopped);
    EXPECT_EQ(outcomeOf(fetch(loop_, client_, { .address = address_, .path = "/echo/", .freshConnection = true })), "closed");
    waiting_.front().reply(200, "text/plain", "whole");
    EXPECT_TRUE(runUntil(loop_, [&]() { return isStopped && result.has_value(); }));
    EXPECT_EQ(std::get<http::Response>(*result).body, "whole");
}
