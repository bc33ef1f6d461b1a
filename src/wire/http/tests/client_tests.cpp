#include "runtime/net/endpoint.h"
#include "standins/testing/loopback.h"
#include "wire/http/client.h"
#include "wire/http/connectionpool.h"
#include "wire/http/sendrequest.h"
#include "wire/http/server.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <string>
#include <vector>

using namespace auburnspread;
using http::Cause;
using http::Step;
using http::tests::fetch;
using http::tests::runUntil;

namespace
{

/// A listener that accepts connections, reads what comes and answers each read with a fixed text.
class RawServer
{
public:
    explicit RawServer(task::EventLoop &loop)
        : loop_(loop)
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        auto address = net::toSocketAddress({ .host = "127.0.0.1" });
        EXPECT_EQ(::bind(listener_, address.get(), address.size), 0);
        EXPECT_EQ(::listen(listener_, 16), 0);
        ::getsockname(listener_, address.get(), &address.size);
        address_ = net::formatAddress(address.get());
        accepting_ = loop.whenReadable(listener_, [this]() { accept(); });
    }
    ~RawServer()
    {
        closeConnections();
        ::close(listener_);
    }
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    auto answerWith(std::string text) -> void
    {
        answer_ = std::move(text);
    }
    auto closeInsteadOfAnswer(int times) -> void
    {
        deaf_ = times;
    }
    auto closeAfterAnswer() -> void
    {
        closes_ = true;
    }
    auto closeConnections() -> void
    {
        reading_.clear();
        for (const auto descriptor : connections_) {
            ::close(descriptor);
        }
        connections_.clear();
    }
    [[nodiscard]] auto address() const -> const std::string &
    {
        return address_;
    }
    [[nodiscard]] auto accepted() const -> int
    {
        return accepted_;
    }
    /// Number of connections that the other side has ended.
    [[nodiscard]] auto ended() const -> int
    {
        return ended_;
    }
    [[nodiscard]] auto received() const -> const std::string &
    {
        return received_;
    }

private:
    auto accept() -> void
    {
        const auto descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (descriptor < 0) {
            return;
        }
        ++accepted_;
        connections_.push_back(descriptor);
        reading_[descriptor] = loop_.whenReadable(descriptor, [this, descriptor]() { read(descriptor); });
    }

    auto read(int descriptor) -> void
    {
        std::string buffer(4096, '\0');
        const auto size = ::read(descriptor, buffer.data(), buffer.size());
        if (size > 0 && deaf_ > 0) {
            --deaf_;
            closeConnections();
            return;
        }
        if (size > 0) {
            received_ += buffer.substr(0, static_cast<std::size_t>(size));
            ::send(descriptor, answer_.data(), answer_.size(), MSG_NOSIGNAL);
        }
        if (closes_) {
            closeConnections();
        } else if (size <= 0) {
            ++ended_;
            reading_.erase(descriptor);
        }
    }

    task::EventLoop &loop_;
    int listener_;
    std::string address_;
    std::string answer_;
    std::string received_;
    bool closes_ = false;
    int deaf_ = 0;
    int accepted_ = 0;
    int ended_ = 0;
    std::vector<int> connections_;
    std::map<int, task::Watch> reading_;
    task::Watch accepting_;
};

constexpr auto WholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class ClientTests : public testing::Test
{
protected:
    auto errorOf(const http::Request &request) -> http::Error
    {
        return std::get<http::Error>(fetch(loop_, client_, request));
    }

    task::EventLoop loop_;
    RawServer server_{ loop_ };
    http::Client client_{ loop_ };
};

} // namespace

TEST_F(ClientTests, connectionsAreUsedAgainUnlessAFreshOneIsAsked)
{
    server_.answerWith(WholeAnswer);
    for (int i = 0; i < 3; ++i) {
        const auto response = std::get<http::Response>(fetch(loop_, client_, { .address = server_.address(), .path = "/" }));
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "ok");
    }
    EXPECT_EQ(server_.accepted(), 1);
    fetch(loop_, client_, { .address = server_.address(), .path = "/", .freshConnection = true });
    EXPECT_EQ(server_.accepted(), 2);
    EXPECT_EQ(client_.idleConnections(), 2U);
}

TEST_F(ClientTests, aRefusedConnectionProvesThatNothingWasSent)
{
    const auto address = standins::takeLoopbackAddress(); // nobody listens there
    const auto error = errorOf({ .address = address, .path = "/" });
    EXPECT_EQ(error.step, Step::Connect);
    EXPECT_EQ(error.cause, Cause::Closed);
    EXPECT_TRUE(http::provesNotSent(error));
    EXPECT_EQ(error.text, "connect " + address + ": closed");
}

// The caller gets a timeout although the connection still looks open.
// 1. A first exchange leaves an idle connection. 2. The peer falls silent: it reads the next request and never answers.
// 3. The client's own timer ends the exchange. The idle sibling may be as dead, so it is closed with it.
TEST_F(ClientTests, aSilentConnectionTimesOutAndTakesIdleOnesWithIt)
{
    server_.answerWith(WholeAnswer);
    fetch(loop_, client_, { .address = server_.address(), .path = "/" });
    ASSERT_EQ(client_.idleConnections(), 1U);
    server_.answerWith("");
    const auto error = errorOf({ .address = server_.address(), .path = "/", .timeout = std::chrono::milliseconds(30), .freshConnection = true });
    EXPECT_EQ(error.step, Step::Wait);
    EXPECT_EQ(error.cause, Cause::Timeout);
    EXPECT_FALSE(http::provesNotSent(error));
    EXPECT_EQ(client_.idleConnections(), 0U);
}

// The caller of a large answer gets a timeout long before the time that the whole answer may take.
// 1. The peer sends the head and a first byte, and falls silent. 2. No byte comes for the time allowed between two.
// 3. The error tells how far the answer had come.
TEST_F(ClientTests, anAnswerThatFallsSilentEndsBeforeItsTimeout)
{
    const std::string begun = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\no";
    server_.answerWith(begun);
    const auto error = errorOf({
        .address = server_.address(),
        .path = "/",
        .timeout = std::chrono::hours(1),
        .silenceTimeout = std::chrono::milliseconds(30),
    });
    EXPECT_EQ(error.step, Step::Receive);
    EXPECT_EQ(error.cause, Cause::Timeout);
    EXPECT_EQ(error.receivedBytes, begun.size());
    EXPECT_EQ(error.text, "receive " + server_.address() + ": timeout after " + std::to_string(begun.size()) + " bytes");
}

/// Guards against a request that runs twice: its connection was given up before it was established, so that the request went to another
/// server, and the connection is established before it is freed.
TEST_F(ClientTests, nothingIsSentOnAConnectionThatWasGivenUp)
{
    http::ConnectionPool pool(loop_, {});
    auto connection = pool.take(server_.address(), *net::parseEndpoint(server_.address()), true);
    auto *request = evhttp_request_new([](evhttp_request *, void *) {}, nullptr);
    ASSERT_TRUE(http::sendRequest(connection->raw.get(), request, EVHTTP_REQ_POST, "/", "once"));
    ASSERT_FALSE(connection->hasSent);
    pool.retire(std::move(connection));
    ASSERT_TRUE(runUntil(loop_, [this]() { return server_.accepted() == 1 && server_.ended() == 1; }));
    EXPECT_EQ(server_.received(), "");
}

/// Guards against the same where the caller of the client cancels.
TEST_F(ClientTests, aCancelledRequestIsNotSent)
{
    const auto handle = client_.fetch({ .method = http::Method::Post, .address = server_.address(), .path = "/", .body = "once" }, [](const http::Result &) {});
    client_.cancel(handle);
    ASSERT_TRUE(runUntil(loop_, [this]() { return server_.accepted() == 1 && server_.ended() == 1; }));
    EXPECT_EQ(server_.received(), "");
}

/// Guards against a body that the peer takes for its next request: the length of a body is stated with every method.
TEST_F(ClientTests, theLengthOfABodyIsStatedWithEachMethod)
{
    server_.answerWith(WholeAnswer);
    for (const auto method : { http::Method::Get, http::Method::Put, http::Method::Post, http::Method::Delete }) {
        const auto before = server_.received().size();
        fetch(loop_, client_, { .method = method, .address = server_.address(), .path = "/", .body = "body" });
        const auto sent = server_.received().substr(before);
        EXPECT_NE(sent.find("\r\nContent-Length: 4\r\n"), std::string::npos) << sent;
    }
}

/// Guards against a response that is taken for that to the next request: it came right behind another one.
TEST_F(ClientTests, bytesAfterAResponseAreNotTakenForTheNextOne)
{
    server_.answerWith(WholeAnswer + std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"));
    for (int i = 0; i < 3; ++i) {
        const auto response = std::get<http::Response>(fetch(loop_, client_, { .address = server_.address(), .path = "/" }));
        EXPECT_EQ(response.body, "ok");
    }
    EXPECT_EQ(client_.idleConnections(), 0U);
}

/// Guards against interim responses, behind which evhttp reads without a bound.
TEST_F(ClientTests, anInterimResponseIsMalformed)
{
    for (const auto *status : { "100 Continue", "103 Early Hints" }) {
        server_.answerWith("HTTP/1.1 " + std::string(status) + "\r\n\r\n");
        EXPECT_EQ(errorOf({ .address = server_.address(), .path = "/", .timeout = std::chrono::hours(1) }).cause, Cause::Malformed);
    }
}

// The caller sees a closed connection that says it was reused, so it may ask again on a fresh one.
// 1. An exchange leaves an idle connection. 2. The peer reads the next request and closes, as one that restarts does.
// 3. No byte of an answer came, and the error says so.
TEST_F(ClientTests, aReusedConnectionThatBreaksIsReportedAsReused)
{
    server_.answerWith(WholeAnswer);
    fetch(loop_, client_, { .address = server_.address(), .path = "/" });
    server_.answerWith("");
    server_.closeAfterAnswer();
    const auto error = errorOf({ .address = server_.address(), .path = "/" });
    EXPECT_EQ(error.step, Step::Wait);
    EXPECT_EQ(error.cause, Cause::Closed);
    EXPECT_TRUE(error.reusedConnection);
    EXPECT_EQ(server_.accepted(), 1);
}

// As above, but the request is idempotent: the caller sees the answer, which came over a second connection.
TEST_F(ClientTests, anIdempotentRequestIsSentAgainOnceIfTheReusedConnectionWasDead)
{
    server_.answerWith(WholeAnswer);
    fetch(loop_, client_, { .address = server_.address(), .path = "/" });
    server_.closeInsteadOfAnswer(1);
    const auto result = fetch(loop_, client_, { .address = server_.address(), .path = "/", .isIdempotent = true });
    EXPECT_TRUE(std::holds_alternative<http::Response>(result));
    server_.closeInsteadOfAnswer(2);
    EXPECT_EQ(errorOf({ .address = server_.address(), .path = "/", .isIdempotent = true }).cause, Cause::Closed);
}

TEST_F(ClientTests, anIdleConnectionThatThePeerClosedIsNotUsedAgain)
{
    server_.answerWith(WholeAnswer);
    fetch(loop_, client_, { .address = server_.address(), .path = "/" });
    server_.closeConnections();
    fetch(loop_, client_, { .address = "127.0.0.1:0", .path = "/" }); // gives the loop a turn to see the end
    const auto result = fetch(loop_, client_, { .address = server_.address(), .path = "/" });
    EXPECT_TRUE(std::holds_alternative<http::Response>(result)) << std::get<http::Error>(result).text;
    EXPECT_EQ(server_.accepted(), 2);
}

/// Guards against a request that is sent on a connection whose close lies in the kernel and has not been handled. One that may run once is lost.
TEST_F(ClientTests, anIdleConnectionWhoseCloseIsNotYetHandledIsNotUsedAgain)
{
    server_.answerWith(WholeAnswer);
    fetch(loop_, client_, { .address = server_.address(), .path = "/" });
    server_.closeConnections();
    const auto result = fetch(loop_, client_, { .address = server_.address(), .path = "/" });
    EXPECT_TRUE(std::holds_alternative<http::Response>(result)) << std::get<http::Error>(result).text;
    EXPECT_EQ(server_.accepted(), 2);
}

TEST_F(ClientTests, aCutAnswerIsAnErrorAndNeverAShortBody)
{
    server_.answerWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    server_.closeAfterAnswer();
    const auto error = errorOf({ .address = server_.address(), .path = "/" });
    EXPECT_EQ(error.step, Step::Receive);
    EXPECT_EQ(error.cause, Cause::Closed);
}

TEST_F(ClientTests, rubbishIsMalformed)
{
    server_.answerWith("no http at all\r\n\r\n");
    const auto error = errorOf({ .address = server_.address(), .path = "/" });
    EXPECT_EQ(error.step, Step::Receive);
    EXPECT_EQ(error.cause, Cause::Malformed);
}

TEST_F(ClientTests, aCancelledExchangeIsNeverHeardOfAgain)
{
    server_.answerWith(WholeAnswer);
    bool isCalled = false;
    const auto handle = client_.fetch({ .address = server_.address(), .path = "/" }, [&](const http::Result &) { isCalled = true; });
    client_.cancel(handle);
    client_.cancel(handle);
    EXPECT_TRUE(std::holds_alternative<http::Response>(fetch(loop_, client_, { .address = server_.address(), .path = "/" })));
    EXPECT_FALSE(isCalled);
}

TEST_F(ClientTests, aPathOrHeaderThatWouldForgeARequestIsNotSent)
{
    for (const auto &request : { http::Request{ .address = server_.address(), .path = "/ HTTP/1.1\r\nHost: other" },
                                 http::Request{ .address = server_.address(), .path = "/", .headers = { { "Name", "a\r\nHost: other" } } },
                                 http::Request{ .address = "localhost:80", .path = "/" } }) {
        const auto error = errorOf(request);
        EXPECT_EQ(error.step, Step::Prepare);
        EXPECT_EQ(error.cause, Cause::Invalid);
    }
    EXPECT_EQ(server_.received(), "");
}
