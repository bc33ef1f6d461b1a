#include "core/passthrough/servertable.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

#include <set>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

/// Servers that several requests at once are sent to; all are answered after a usual time.
auto serversUsed(World &world, const std::string &path) -> std::set<std::string>
{
    constexpr auto Requests = 9;
    std::set<std::string> used;
    std::vector<AttemptId> attempts;
    for (auto i = 0; i < Requests; ++i) {
        if (const auto sent = find<Send>(world.arrive(path))) {
            used.insert(sent->server);
            attempts.push_back(sent->attempt);
        }
    }
    world.pass(std::chrono::milliseconds(30));
    for (const auto attempt : attempts) {
        world.apply(AttemptAnswered{ .attempt = attempt, .status = 200 });
    }
    return used;
}

} // namespace

/// What a caller sees: a call that is cut off. A server is about to leave; it must get nothing new from the moment at
/// which this entry knows.
TEST(ServerTests, aLeavingServerGetsNothingNew)
{
    World world;
    auto servers = makeServers();
    servers[2].isLeaving = true;
    world.apply(ServersListed{ .servers = servers });
    EXPECT_EQ(serversUsed(world, FetchPath), (std::set<std::string>{ "p2", "p3" }));
}

/// What callers see: nothing for seconds. A server crashes, which suspends it here, and starts again under its id; it is
/// ready at once, but everything remembered of its earlier run speaks against it.
TEST(ServerTests, aServerThatStartedAgainIsKnownAsNew)
{
    World world;
    std::vector<Server> servers{ makeServer("p1", "portal", 6) };
    servers[0].startedAt = 1000;
    world.apply(ServersListed{ .servers = servers, .asOf = world.now() });
    const auto sent = find<Send>(world.arrive(NoticePath));
    ASSERT_TRUE(sent);
    world.apply(AttemptFailed{ .attempt = sent->attempt, .failure = Failure::BrokenBeforeFirstByte });
    EXPECT_FALSE(find<Send>(world.arrive(NoticePath))) << "it may still be down";
    servers[0].startedAt = 2000;
    const auto actions = world.apply(ServersListed{ .servers = servers, .asOf = world.now() });
    EXPECT_TRUE(find<Send>(actions));
}

/// What callers see: requests that wait although an engine is idle. It crashes with prompts unread and starts again under its
/// id; an attempt of its earlier run ends later and must not be taken from the account of its new one.
TEST(ServerTests, attemptsOfAnEarlierRunEndInTheAccountsOfThatRun)
{
    ServerTable table;
    Server record = makeServer("e1", "engines", 32);
    applyServerList(table, { .servers = { record } }, {});
    const auto before = findServer(table, "e1");
    recordSend(table, *before, { .unreadTokens = 9000, .heldTokens = 9000 }, {}, {});
    record.startedAt = 1;
    applyServerList(table, { .servers = { record } }, {});
    const auto after = findServer(table, "e1");
    EXPECT_EQ(after->ownLoad.inFlight, 0U);
    recordSend(table, *after, { .unreadTokens = 100, .heldTokens = 100 }, {}, {});
    recordAttemptEnd(*before, { .unreadTokens = 9000, .heldTokens = 9000 });
    EXPECT_EQ(after->ownLoad.inFlight, 1U);
    EXPECT_EQ(after->ownLoad.unreadTokens, 100U);
}

/// What callers see: every request refused, although all servers live. The store was away so long that registrations
/// lapsed; its first list is empty, and the servers are back in it within two seconds.
TEST(ServerTests, serversMissingAfterAnOutageOfTheRegistryStayForTwoSeconds)
{
    World world;
    world.passSilently(std::chrono::seconds(5));
    world.confirm();
    world.apply(ServersListed{ .servers = {}, .asOf = world.now(), .outageEndedAt = world.now() });
    EXPECT_EQ(serversUsed(world, FetchPath).size(), 3U);
    world.pass(std::chrono::milliseconds(1500));
    world.apply(ServersListed{ .servers = { makeServer("p2", "portal", 6) }, .asOf = world.now() });
    EXPECT_EQ(serversUsed(world, FetchPath).size(), 3U);
    world.pass(std::chrono::milliseconds(900));
    EXPECT_EQ(serversUsed(world, FetchPath), (std::set<std::string>{ "p2" }));
}

/// What a caller sees: a call cut off at a server that left two seconds ago. The store was out of reach, its first list after
/// that showed the server, and the next does not: it left since, and is not about to return.
TEST(ServerTests, aServerThatLeftAfterAnOutageIsGoneAtOnce)
{
    World world;
    const auto outageEnded = world.now() + std::chrono::milliseconds(100);
    world.pass(std::chrono::milliseconds(200));
    world.apply(ServersListed{ .servers = makeServers(), .asOf = world.now(), .outageEndedAt = outageEnded });
    world.pass(std::chrono::milliseconds(500));
    world.apply(ServersListed{ .servers = { makeServer("p3", "portal", 6) }, .asOf = world.now(), .outageEndedAt = outageEnded });
    EXPECT_EQ(serversUsed(world, FetchPath), (std::set<std::string>{ "p3" }));
}

TEST(ServerTests, aServerThatVanishesFromTheListIsGoneAtOnce)
{
    World world;
    world.apply(ServersListed{ .servers = { makeServer("p3", "portal", 6) } });
    EXPECT_EQ(serversUsed(world, FetchPath), (std::set<std::string>{ "p3" }));
}

/// What callers see: one request in three fails for seconds. A server crashed and its entry stays until its lease ends;
/// after the first refused connection it gets no work for a while.
TEST(ServerTests, aServerThatRefusesConnectionsIsLeftAlone)
{
    World world;
    const auto first = find<Send>(world.arrive(FetchPath));
    world.apply(AttemptFailed{ .attempt = first->attempt, .failure = Failure::ConnectFailed });
    EXPECT_FALSE(serversUsed(world, FetchPath).contains(first->server));
    world.pass(std::chrono::seconds(6));
    EXPECT_TRUE(serversUsed(world, FetchPath).contains(first->server));
}

/// What callers see: quotes that never begin. A server is dark: it takes connections and says nothing. Requests that
/// nothing is heard of for over a second speak against it, and the next go elsewhere.
TEST(ServerTests, aServerThatSaysNothingGetsNothingMore)
{
    World world;
    const auto first = find<Send>(world.arrive(NoticePath));
    world.pass(std::chrono::milliseconds(1300));
    EXPECT_FALSE(serversUsed(world, FetchPath).contains(first->server));
}

/// What callers see: requests wait although all servers are well. Callers with very little time left give up on them one after
/// the other; that says nothing about the servers.
TEST(ServerTests, aCallerWithLittleTimeSaysNothingAboutTheServer)
{
    World world;
    world.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) }, .asOf = world.now() });
    auto hasty = world.request(NoticePath);
    hasty.deadline = std::chrono::milliseconds(60);
    ASSERT_TRUE(find<Send>(world.apply(hasty)));
    EXPECT_TRUE(find<Refuse>(world.pass(std::chrono::milliseconds(80))));
    EXPECT_TRUE(find<Send>(world.arrive(FetchPath)));
}

/// What callers see: every request refused although the only server has woken up. It was silent for a moment; now and then
/// one request finds out whether it still is.
TEST(ServerTests, aSilentServerIsTriedAgain)
{
    World world;
    world.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) } });
    world.arrive(NoticePath);
    world.pass(std::chrono::milliseconds(1300));
    EXPECT_EQ(count<Send>(world.arrive(NoticePath)), 0U);
    EXPECT_EQ(count<Send>(world.pass(std::chrono::milliseconds(1600))), 1U);
}
