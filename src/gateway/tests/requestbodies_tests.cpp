/// \file
/// Bodies of requests with any method, through a gateway on sockets.

#include "gateway/tests/site.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

namespace
{

constexpr auto EndOfBody = "<end>"; ///< ends all bodies, so that the test knows when everything has arrived
constexpr auto Inner = "POST /notice/inner HTTP/1.1\r\nHost: quotes.example\r\nContent-Length: 0\r\n\r\n";

struct Call {
    std::string method;
    std::string body;
    bool isChunked = false;
};

auto makeCall(const Call &call, const std::string &id, const std::string &path = "/notice/1") -> std::string
{
    const auto head = makeHead(call.method + " " + path, id);
    if (call.isChunked) {
        return head + "Transfer-Encoding: chunked\r\n\r\n" + (call.body.empty() ? "" : makeChunk(call.body)) + "0\r\n\r\n";
    }
    return head + (call.body.empty() ? "" : "Content-Length: " + std::to_string(call.body.size()) + "\r\n") + "\r\n" + call.body;
}

/// Length that the head of a request states; 0 if it states none.
auto statedLength(const std::string &head) -> std::size_t
{
    constexpr std::string_view Name = "\r\nContent-Length: ";
    const auto at = head.find(Name);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + Name.size()));
}

/// Reads requests as a server does: the stated length alone decides where a request ends and the next one begins.
class RequestReader
{
public:
    explicit RequestReader(const Connection &connection)
        : connection_(connection)
    {
    }

    /// \return the next request's head and body
    auto next() -> std::pair<std::string, std::string>
    {
        const auto head = take(EndOfHead);
        const auto length = statedLength(head);
        while (unread_.size() < length) {
            unread_ += connection_.readUntil(EndOfBody);
        }
        auto body = unread_.substr(0, length);
        unread_.erase(0, length);
        return { head, body };
    }

private:
    auto take(std::string_view end) -> std::string
    {
        if (!contains(unread_, end)) {
            unread_ += connection_.readUntil(end);
        }
        const auto size = unread_.find(end) + end.size();
        auto taken = unread_.substr(0, size);
        unread_.erase(0, size);
        return taken;
    }

    const Connection &connection_;
    std::string unread_;
};

auto drawCall() -> Call
{
    Call call;
    call.method = *rc::gen::element<std::string>("GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH");
    const auto hasBody = *rc::gen::arbitrary<bool>();
    call.body = hasBody ? *rc::gen::element<std::string>("", "{\"address\": 12}", Inner) + EndOfBody : "";
    call.isChunked = *rc::gen::arbitrary<bool>();
    return call;
}

} // namespace

/// Guards against requests that run without their body, and whose body is run as the next request on the server's connection: its length
/// is not stated with methods other than POST and PUT.
TEST(RequestBodyTests, aServerReadsTheBodyOfEachMethodAsPartOfItsRequest)
{
    for (const auto *method : { "PATCH", "DELETE", "GET", "OPTIONS", "POST", "PUT" }) {
        SiteWithServer served;
        const auto body = Inner + std::string(EndOfBody);
        served.caller.send(makeCall({ .method = method, .body = body }, "id-1"));
        const auto connection = served.server.accept();
        RequestReader reader(connection);
        const auto request = reader.next();
        EXPECT_TRUE(request.first.starts_with(std::string(method) + " /notice/1 HTTP/1.1\r\n")) << request.first;
        EXPECT_EQ(request.second, body);
    }
}

/// Guards against the same over many requests on one connection, with bodies that have the form of a request.
RC_GTEST_PROP(RequestBodyTests, aServerReadsTheRequestsThatWereSent, ())
{
    const auto calls = *rc::gen::container<std::vector<Call>>(8, rc::gen::exec(drawCall));
    SiteWithServer served;
    std::optional<Connection> connection;
    std::optional<RequestReader> reader;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto id = "id-" + std::to_string(i);
        served.caller.send(makeCall(calls.at(i), id));
        if (!connection) {
            connection.emplace(served.server.accept());
            reader.emplace(*connection);
        }
        const auto [head, body] = reader->next();
        RC_ASSERT(head.starts_with(calls.at(i).method + " /notice/1 HTTP/1.1\r\n"));
        RC_ASSERT(contains(head, standins::attemptIdLine(id)));
        RC_ASSERT(body == calls.at(i).body);
        connection->send(makeAnswer(id, "done-" + id));
        RC_ASSERT(contains(served.caller.readUntil("done-" + id), "200"));
    }
}

/// Guards against the same by way of another entry.
TEST(RequestBodyTests, anotherEntryReadsTheBodyOfAForwardedRequest)
{
    for (const auto *method : { "PATCH", "DELETE", "GET", "OPTIONS" }) {
        Site site;
        const Server other;
        site.addServer("i-1", "portal", makeRefusingAddress());
        site.addEntry("entry-2", other.address());
        Caller caller(site.callerAddress());
        caller.send(makeCall({ .method = method, .body = EndOfBody }, "id-1"));
        const auto connection = other.accept();
        EXPECT_EQ(RequestReader(connection).next().second, EndOfBody) << method;
    }
}

/// Guards against a request that was sent inside the body of another one: the library reads no body of HEAD, so that the body would be
/// read as the next request, with a key that its sender chose.
TEST(RequestBodyTests, theBodyOfAHeadRequestIsNotReadAsARequest)
{
    for (const auto isChunked : { false, true }) {
        SiteWithServer served;
        const auto inner = makeRequest("/notice/inner", "id-inner");
        served.caller.send(makeCall({ .method = "HEAD", .body = inner, .isChunked = isChunked }, "id-1"));
        const auto answer = served.caller.readToEnd();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
        EXPECT_FALSE(contains(answer.substr(1), "HTTP/1.1 ")) << answer;
        EXPECT_FALSE(served.server.hasConnection());
        EXPECT_TRUE(contains(served.site.metrics(), "bad-request")) << "the refusal is counted";
    }
}

TEST(RequestBodyTests, aHeadRequestWithoutABodyIsForwarded)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeHead("HEAD /notice/1", "id-1") + "Content-Length: 0\r\n\r\n");
    connection.send(makeAnswerHead("id-1") + "Content-Length: 10\r\n\r\n");
    const auto answer = served.caller.readUntil(EndOfHead);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

/// Guards against the same after a method that is not supported: the library keeps the connection of a CONNECT that it has refused, and
/// reads what follows as requests.
TEST(RequestBodyTests, nothingIsReadAfterAMethodThatIsNotSupported)
{
    for (const auto *method : { "CONNECT", "TRACE", "PROPFIND" }) {
        SiteWithServer served;
        const auto inner = makeRequest("/notice/inner", "id-inner");
        served.caller.send(makeCall({ .method = method, .body = inner }, "id-1"));
        EXPECT_TRUE(served.caller.readUntil(EndOfHead).starts_with("HTTP/1.1 501 ")) << method;
        served.caller.send(makeRequest("/notice/2", "id-2")); // makes the library read on
        const auto rest = served.caller.readToEnd();
        EXPECT_FALSE(contains(rest, "HTTP/1.1 ")) << rest;
        EXPECT_FALSE(served.server.hasConnection()) << method;
    }
}

/// Guards against a caller that takes the body of a refusal for the answer to its next request: there is no body after HEAD.
TEST(RequestBodyTests, aRefusalOfAHeadRequestHasNoBody)
{
    const Site site;
    Caller caller(site.callerAddress());
    caller.send(makeHead("HEAD /nowhere/1", "id-1") + "\r\n" + makeRequest("/nowhere/2", "id-2"));
    const auto refusals = caller.readUntil("unknown-route\n");
    EXPECT_TRUE(contains(refusals.substr(refusals.find(EndOfHead)), std::string(EndOfHead) + "HTTP/1.1 404 ")) << refusals;
}
