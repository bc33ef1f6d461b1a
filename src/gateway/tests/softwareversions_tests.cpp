/// \file
/// Streams through a gateway in front of servers of two software versions, on sockets.

#include "gateway/tests/site.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

namespace
{

constexpr auto LastChunk = "0\r\n\r\n";
constexpr auto FirstEvent = "id: 1\ndata: a\n\n";

auto makeResumption(const std::string &id, const std::string &resumed) -> std::string
{
    return makeRequest("/check/1", id, "x", standins::lastEventLine("1") + "\r\n" + standins::resumesLine(resumed) + "\r\n");
}

/// A caller whose stream has begun at the only server, which is of version v1.
struct BegunStream {
    BegunStream()
        : caller(site.callerAddress())
    {
        site.addServer("i-1", "portal", first.address(), "v1");
        caller.send(makeRequest("/check/1", "id-1", "x"));
    }

    /// \return the server's connection, on which it has sent the first event
    auto begin() -> Connection
    {
        auto connection = first.accept();
        connection.readUntil(EndOfHead);
        connection.send(makeStreamHead("id-1") + makeChunk(FirstEvent));
        caller.readUntil(FirstEvent);
        return connection;
    }

    Site site;
    const Server first;
    Caller caller;
};

} // namespace

/// Guards against a response with events of two versions: the server breaks, and the only other one is of another version.
TEST(SoftwareVersionTests, aBrokenStreamIsNotResumedAtAnotherVersion)
{
    BegunStream stream;
    auto broken = stream.begin();
    const Server second;
    stream.site.addServer("i-2", "portal", second.address(), "v2");
    broken.close();
    EXPECT_FALSE(contains(stream.caller.readToEnd(), LastChunk));
    EXPECT_FALSE(second.hasConnection());
}

/// Guards against a stream that is given up although another server of its version serves.
TEST(SoftwareVersionTests, aBrokenStreamIsResumedAtItsVersion)
{
    BegunStream stream;
    auto broken = stream.begin();
    const Server second;
    stream.site.addServer("i-2", "portal", second.address(), "v2");
    const Server third;
    stream.site.addServer("i-3", "portal", third.address(), "v1");
    broken.close();
    const auto connection = third.accept();
    EXPECT_TRUE(contains(connection.readUntil(EndOfHead), standins::lastEventLine("1")));
    connection.send(makeStreamHead("id-1") + makeChunk("id: 2\ndata: b\n\n") + LastChunk);
    EXPECT_TRUE(contains(stream.caller.readUntil(LastChunk), "id: 2\ndata: b\n\n"));
    EXPECT_FALSE(second.hasConnection());
}

/// Guards against a caller whose tries bring events of two versions. The server of its version is the busier one.
TEST(SoftwareVersionTests, aCallerTakesItsStreamUpAtItsVersion)
{
    BegunStream stream;
    auto connection = stream.begin();
    std::deque<Caller> others;
    std::vector<Connection> work;
    for (auto i = 0; i < 4; ++i) {
        others.emplace_back(stream.site.callerAddress()).send(makeRequest("/quote/1", "other-" + std::to_string(i), "x"));
        work.push_back(stream.first.accept());
    }
    const Server second;
    stream.site.addServer("i-2", "portal", second.address(), "v2");
    stream.caller.close();
    EXPECT_TRUE(connection.seesEnd());
    for (auto i = 2; i < 10; ++i) {
        const auto id = "id-" + std::to_string(i);
        Caller again(stream.site.callerAddress());
        again.send(makeResumption(id, "id-1"));
        const auto resumed = stream.first.accept();
        resumed.readUntil(EndOfHead);
        resumed.send(makeStreamHead(id) + makeChunk("id: 2\ndata: b\n\n") + LastChunk);
        EXPECT_TRUE(contains(again.readUntil(LastChunk), "id: 2\ndata: b\n\n"));
    }
    EXPECT_FALSE(second.hasConnection());
}

/// Guards against a guess: nobody knows where the stream began, and servers of two versions serve. The caller hears that nothing ran.
TEST(SoftwareVersionTests, aStreamOfWhichNobodyKnowsIsRefused)
{
    Site site;
    const Server first;
    const Server second;
    site.addServer("i-1", "portal", first.address(), "v1");
    site.addServer("i-2", "portal", second.address(), "v2");
    Caller caller(site.callerAddress());
    caller.send(makeResumption("id-2", "id-1"));
    const auto answer = caller.readUntil(EndOfHead);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_TRUE(contains(answer, "Auburnspread-Outcome: not-run"));
    EXPECT_FALSE(first.hasConnection());
    EXPECT_FALSE(second.hasConnection());
}
