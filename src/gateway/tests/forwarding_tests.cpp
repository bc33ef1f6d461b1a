#include "gateway/tests/site.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

namespace
{

constexpr auto LastChunk = "0\r\n\r\n";
constexpr auto FirstEvent = "id: 1\ndata: a\n\n";
constexpr auto ForwardMark = "Auburnspread-Forwarded: 0\r\n";

/// A refusal of an entry.
auto makeRefusal(const std::string &reason, const std::string &outcome, const std::string &status) -> std::string
{
    return "HTTP/1.1 " + status + "\r\nAuburnspread-Reason: " + reason + "\r\nAuburnspread-Outcome: " + outcome
        + "\r\nRetry-After: 0.700\r\nContent-Length: 2\r\n\r\nno";
}

/// A gateway that can't connect to any of its backend servers, and another entry, which the test plays.
struct CutSite {
    CutSite()
        : caller(site.callerAddress())
    {
        for (const auto *id : { "i-1", "i-2", "i-3" }) {
            site.addServer(id, "portal", makeRefusingAddress());
        }
        site.addEntry("entry-2", other.address());
    }

    /// \return the other entry's connection, on which it has read the request up to the end of the head
    [[nodiscard]] auto sendAndAccept(const std::string &request) -> Connection
    {
        caller.send(request);
        auto connection = other.accept();
        forwarded = connection.readUntil(EndOfHead);
        return connection;
    }

    Site site;
    const Server other;
    Caller caller;
    std::string forwarded; ///< head of the request that the other entry got
};

} // namespace

/// Guards against what binds a request being lost on the way to the other entry.
TEST(ForwardingTests, aForwardedRequestKeepsWhatItsCallerSent)
{
    CutSite cut;
    const auto connection = cut.sendAndAccept(makeRequest("/notice/a%2Fb?x=1", "id-1", "x", "X-Own: 7\r\n" + standins::deadlineLine(2500) + "\r\n"));
    EXPECT_TRUE(cut.forwarded.starts_with("POST /notice/a%2Fb?x=1 HTTP/1.1\r\n")) << cut.forwarded;
    for (const auto &line : { std::string("Host: quotes.example"), std::string("X-Own: 7"), standins::attemptIdLine("id-1"), standins::keyLine("key-1") }) {
        EXPECT_TRUE(contains(cut.forwarded, line)) << line << " in " << cut.forwarded;
    }
    EXPECT_TRUE(contains(cut.forwarded, ForwardMark));
    EXPECT_FALSE(contains(cut.forwarded, standins::deadlineLine(2500))) << "the time that has passed counts";
    connection.send(makeAnswer("id-1", "the answer", "201 Created"));
    const auto answer = cut.caller.readUntil("the answer");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 201 ")) << answer;
    EXPECT_TRUE(contains(answer, standins::signatureLine("sig-id-1")));
    EXPECT_TRUE(contains(cut.site.metrics(), "auburnspread_forwards_total 1"));
}

TEST(ForwardingTests, eachEventOfAForwardedStreamIsRelayedWhenItArrives)
{
    CutSite cut;
    const auto connection = cut.sendAndAccept(makeRequest("/quote/1", "id-1", "x"));
    connection.send(makeStreamHead("id-1") + makeChunk(FirstEvent));
    EXPECT_TRUE(contains(cut.caller.readUntil(FirstEvent), standins::signatureLine("sig-id-1")));
    connection.send(LastChunk);
    EXPECT_TRUE(contains(cut.caller.readUntil(LastChunk), LastChunk));
}

/// Guards against a stream that looks complete although the other entry broke it off.
TEST(ForwardingTests, aForwardedStreamThatBreaksDoesNotLookComplete)
{
    CutSite cut;
    {
        const auto connection = cut.sendAndAccept(makeRequest("/quote/1", "id-1", "x"));
        connection.send(makeStreamHead("id-1") + makeChunk(FirstEvent));
        cut.caller.readUntil(FirstEvent);
    }
    EXPECT_FALSE(contains(cut.caller.readToEnd(), LastChunk));
}

/// Guards against a refusal that denies an execution: the connection to the other entry ends before its response.
TEST(ForwardingTests, aForwardedRequestWithoutAResponseMayHaveRun)
{
    CutSite cut;
    cut.sendAndAccept(makeRequest("/notice/1", "id-1", "x")).close();
    EXPECT_TRUE(cut.caller.readUntil(EndOfHead).starts_with("HTTP/1.1 502 "));
}

/// Guards against a refusal of the other entry that the caller does not get as it is: when to retry is known there.
TEST(ForwardingTests, aRefusalForLoadIsPassedOn)
{
    for (const auto *reason : { "queue-full", "no-backend-server" }) {
        CutSite cut;
        const auto connection = cut.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
        connection.send(makeRefusal(reason, "not-run", "503 Service Unavailable"));
        const auto answer = cut.caller.readUntil("\r\n\r\nno");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_TRUE(contains(answer, "Retry-After: 0.700"));
        // the other entry is not passed over for that
        cut.caller.send(makeRequest("/notice/2", "id-2", "x"));
        connection.readUntil("/notice/2");
    }
}

/// Guards against a caller that is refused for the state of the other entry while a third one could serve it.
TEST(ForwardingTests, aRequestThatTheOtherEntryCannotServeGoesToAThirdOne)
{
    CutSite cut;
    const Server third;
    cut.site.addEntry("entry-3", third.address());
    cut.caller.send(makeRequest("/notice/1", "id-1", "x"));
    EXPECT_TRUE(waitUntil([&]() { return cut.other.hasConnection() || third.hasConnection(); }));
    const Server *first = cut.other.hasConnection() ? &cut.other : &third;
    const Server *second = first == &third ? &cut.other : &third;
    const auto refused = first->accept();
    refused.readUntil(EndOfHead);
    refused.send(makeRefusal("servers-unreachable", "not-run", "503 Service Unavailable"));
    const auto connection = second->accept();
    EXPECT_TRUE(contains(connection.readUntil(EndOfHead), ForwardMark));
    connection.send(makeAnswer("id-1", "the answer"));
    EXPECT_TRUE(cut.caller.readUntil("the answer").starts_with("HTTP/1.1 200 "));
}

/// Guards against work for callers that have left: the connection to the other entry must be closed at once.
TEST(ForwardingTests, theDisconnectOfACallerEndsItsForwardedRequest)
{
    CutSite cut;
    const auto connection = cut.sendAndAccept(makeRequest("/fetch/1", "id-1"));
    cut.caller.close();
    EXPECT_TRUE(connection.seesEnd());
}

/// Guards against a stream that goes on at another version by way of another entry, which knows nothing of its beginning.
TEST(ForwardingTests, aForwardedResumptionIsHeldToItsVersion)
{
    Site site;
    const Server first;
    const Server second;
    site.addServer("i-1", "portal", first.address(), "v1");
    site.addServer("i-2", "portal", second.address(), "v2");
    for (auto i = 0; i < 4; ++i) {
        const auto id = "id-" + std::to_string(i);
        Caller caller(site.callerAddress());
        caller.send(
            makeRequest("/check/1", id, "x", std::string(ForwardMark) + standins::lastEventLine("1") + "\r\nAuburnspread-Stream-Origin: portal/v2\r\n"));
        const auto connection = second.accept();
        EXPECT_FALSE(contains(connection.readUntil(EndOfHead), "Stream-Origin"));
        connection.send(makeAnswer(id, "the answer"));
        EXPECT_TRUE(caller.readUntil("the answer").starts_with("HTTP/1.1 200 "));
    }
    EXPECT_FALSE(first.hasConnection());
}

/// Guards against a resumption that is forwarded without what is known of its stream.
TEST(ForwardingTests, aForwardedResumptionStatesWhereItsStreamBegan)
{
    Site site;
    Server first;
    site.addServer("i-1", "portal", first.address(), "v1");
    Caller caller(site.callerAddress());
    caller.send(makeRequest("/check/1", "id-1", "x"));
    const auto connection = first.accept();
    connection.readUntil(EndOfHead);
    connection.send(makeStreamHead("id-1") + makeChunk(FirstEvent));
    caller.readUntil(FirstEvent);
    first.close();
    for (const auto *id : { "i-2", "i-3" }) {
        site.addServer(id, "portal", makeRefusingAddress(), "v1");
    }
    const Server other;
    site.addEntry("entry-2", other.address());
    caller.close();
    EXPECT_TRUE(connection.seesEnd());
    Caller again(site.callerAddress());
    again.send(makeRequest("/check/1", "id-2", "x", standins::lastEventLine("1") + "\r\n" + standins::resumesLine("id-1") + "\r\n"));
    EXPECT_TRUE(contains(other.accept().readUntil(EndOfHead), "Auburnspread-Stream-Origin: portal/v1\r\n"));
}

/// Guards against two entries that pass a request back and forth, and against a mark that reaches a backend server.
TEST(ForwardingTests, aForwardedRequestIsNotForwardedAgain)
{
    CutSite cut;
    cut.caller.send(makeRequest("/notice/1", "id-1", "x", ForwardMark));
    const auto answer = cut.caller.readUntil(EndOfHead);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_TRUE(contains(answer, "Auburnspread-Outcome: not-run"));
    EXPECT_FALSE(cut.other.hasConnection());

    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-2", "x", ForwardMark));
    connection.send(makeAnswer("id-2", "the answer"));
    EXPECT_TRUE(served.caller.readUntil("the answer").starts_with("HTTP/1.1 200 "));
}
