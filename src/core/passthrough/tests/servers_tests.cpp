#include "core/passthrough/servertable.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

#include <set>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

/// Sends several requests at once, answers all of them after a typical time and returns the servers that they went to.
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

/// Guards against a call that is cut off because it was sent to a server that is shutting down. From the moment at which this entry
/// knows that a server is leaving, the server must get no new requests.
TEST(ServerTests, aLeavingServerGetsNoNewRequests)
{
    World world;
    auto servers = makeServers();
    servers[2].isLeaving = true;
    world.apply(ServersListed{ .servers = servers });
    EXPECT_EQ(serversUsed(world, FetchPath), (std::set<std::string>{ "p2", "p3" }));
}

/// Guards against requests that get no answer for seconds. A server crashes, which suspends it at this entry, and restarts under the
/// same id. It is ready at once, so the suspension of its earlier run must not apply.
TEST(ServerTests, aRestartedServerCountsAsNew)
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

/// Guards against requests that wait although an engine is idle. The engine crashes while processing prompts and restarts under the
/// same id. An attempt on its earlier run ends later and must not be subtracted from the load of the new run.
TEST(ServerTests, attemptsOfAnEarlierRunDoNotChangeTheLoadOfTheNewRun)
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

/// Guards against refusing every request although all servers are alive. The registry was unreachable for so long that registrations
/// lapsed; its first list is empty, and the servers register again within two seconds.
TEST(ServerTests, serversMissingAfterARegistryOutageAreKeptForTwoSeconds)
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

/// Guards against a call that is cut off because it was sent to a server that left two seconds ago. The first list after a registry
/// outage contains the server and the next one does not, so the server has left and will not return.
TEST(ServerTests, aServerThatLeftAfterAnOutageIsRemovedAtOnce)
{
    World world;
    const auto outageEnded = world.now() + std::chrono::milliseconds(100);
    world.pass(std::chrono::milliseconds(200));
    world.apply(ServersListed{ .servers = makeServers(), .asOf = world.now(), .outageEndedAt = outageEnded });
    world.pass(std::chrono::milliseconds(500));
    world.apply(ServersListed{ .servers = { makeServer("p3", "portal", 6) }, .asOf = world.now(), .outageEndedAt = outageEnded });
    EXPECT_EQ(serversUsed(world, FetchPath), (std::set<std::string>{ "p3" }));
}

TEST(ServerTests, aServerMissingFromTheListIsRemovedAtOnce)
{
    World world;
    world.apply(ServersListed{ .servers = { makeServer("p3", "portal", 6) } });
    EXPECT_EQ(serversUsed(world, FetchPath), (std::set<std::string>{ "p3" }));
}

/// Guards against one request in three failing for seconds. A server crashed, but it stays listed until its lease expires; after the
/// first refused connection it gets no requests for a while.
TEST(ServerTests, aServerThatRefusesConnectionsIsSuspended)
{
    World world;
    const auto first = find<Send>(world.arrive(FetchPath));
    world.apply(AttemptFailed{ .attempt = first->attempt, .failure = Failure::ConnectFailed });
    EXPECT_FALSE(serversUsed(world, FetchPath).contains(first->server));
    world.pass(std::chrono::seconds(6));
    EXPECT_TRUE(serversUsed(world, FetchPath).contains(first->server));
}

/// Guards against streams that never start. A server accepts connections but sends nothing; when a response is overdue for more than
/// a second, the next requests go to other servers.
TEST(ServerTests, anUnresponsiveServerGetsNoMoreRequests)
{
    World world;
    const auto first = find<Send>(world.arrive(NoticePath));
    world.pass(std::chrono::milliseconds(1300));
    EXPECT_FALSE(serversUsed(world, FetchPath).contains(first->server));
}

/// Guards against requests that wait although all servers are healthy. Callers with very short deadlines give up one after the other,
/// which is no evidence against the servers.
TEST(ServerTests, aShortDeadlineIsNoEvidenceAgainstTheServer)
{
    World world;
    world.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) }, .asOf = world.now() });
    auto hasty = world.request(NoticePath);
    hasty.deadline = std::chrono::milliseconds(60);
    ASSERT_TRUE(find<Send>(world.apply(hasty)));
    EXPECT_TRUE(find<Refuse>(world.pass(std::chrono::milliseconds(80))));
    EXPECT_TRUE(find<Send>(world.arrive(FetchPath)));
}

/// Guards against refusing every request although the only server is responsive again. It was unresponsive for a moment; from time to
/// time one request probes it.
TEST(ServerTests, anUnresponsiveServerIsProbed)
{
    World world;
    world.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) } });
    world.arrive(NoticePath);
    world.pass(std::chrono::milliseconds(1300));
    EXPECT_EQ(count<Send>(world.arrive(NoticePath)), 0U);
    EXPECT_EQ(count<Send>(world.pass(std::chrono::milliseconds(1600))), 1U);
}
