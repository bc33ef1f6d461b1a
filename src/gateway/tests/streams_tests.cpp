#include "gateway/tests/site.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

namespace
{

constexpr auto LastChunk = "0\r\n\r\n";

} // namespace

TEST(StreamTests, eachEventIsRelayedWhenItArrives)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/quote/1", "id-1", "x"));
    connection.send(makeStreamHead("id-1") + makeChunk("id: 1\ndata: a\n\n"));
    EXPECT_TRUE(contains(served.caller.readUntil("data: a\n\n"), standins::signatureLine("sig-id-1")));
    connection.send(makeChunk("id: 2\ndata: b\n\n"));
    served.caller.readUntil("data: b\n\n");
    connection.send(LastChunk);
    EXPECT_TRUE(contains(served.caller.readUntil(LastChunk), LastChunk));
}

/// Guards against a truncated stream that looks complete. The server closes the connection during a stream that can't be
/// resumed, so the caller's connection must end without the last chunk.
TEST(StreamTests, aBrokenStreamDoesNotLookComplete)
{
    SiteWithServer served;
    {
        const auto connection = served.sendAndAccept(makeRequest("/quote/1", "id-1", "x"));
        connection.send(makeStreamHead("id-1") + makeChunk("id: 1\ndata: a\n\n"));
        served.caller.readUntil("data: a\n\n");
    }
    EXPECT_FALSE(contains(served.caller.readToEnd(), LastChunk));
}

/// Guards against a partial event joined to a complete one, and against duplicate events. The server closes the connection in the
/// middle of event 2; the stream is resumed on another server after event 1, and the caller reads each event once.
TEST(StreamTests, aResumedStreamContainsEachEventOnceAndComplete)
{
    Site site;
    const Server first;
    site.addServer("i-1", "portal", first.address());
    Caller caller(site.callerAddress());
    caller.send(makeRequest("/check/1", "id-1", "x"));
    auto broken = first.accept();
    broken.readUntil(EndOfHead);
    broken.send(makeStreamHead("id-1") + makeChunk("id: 1\ndata: a\n\n") + makeChunk("id: 2\nda"));
    auto answer = caller.readUntil("data: a\n\n");
    const Server second;
    site.addServer("i-2", "portal", second.address());
    broken.close();
    const auto connection = second.accept();
    EXPECT_TRUE(contains(connection.readUntil(EndOfHead), standins::lastEventLine("1")));
    connection.send(makeStreamHead("id-1") + makeChunk("id: 2\ndata: b\n\n") + LastChunk);
    answer += caller.readUntil(LastChunk);
    EXPECT_TRUE(contains(answer, "id: 2\ndata: b\n\n"));
    EXPECT_FALSE(contains(answer, "id: 2\nda\r")) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos);
    EXPECT_EQ(answer.find("id: 1"), answer.rfind("id: 1"));
    EXPECT_EQ(answer.find("id: 2"), answer.rfind("id: 2"));
}

TEST(StreamTests, anErrorResponseToAStreamRequestIsForwardedCompletely)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/quote/1", "id-1", "x"));
    connection.send(makeAnswer("id-1", "wrong model", "400 Bad Request"));
    EXPECT_TRUE(served.caller.readUntil("wrong model").starts_with("HTTP/1.1 400 "));
}
