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
auto serversUsed(RouterHarness &harness, const std::string &path) -> std::set<std::string>
{
    constexpr auto Requests = 9;
    std::set<std::string> used;
    std::vector<AttemptId> attempts;
    for (auto i = 0; i < Requests; ++i) {
        if (const auto sent = find<Send>(harness.arrive(path))) {
            used.insert(sent->server);
            attempts.push_back(sent->attempt);
        }
    }
    harness.advance(std::chrono::milliseconds(30));
    for (const auto attempt : attempts) {
        harness.apply(AttemptAnswered{ .attempt = attempt, .status = 200 });
    }
    return used;
}

} // namespace

/// Guards against a call that is cut off because it was sent to a server that is shutting down. From the moment at which this entry
/// knows that a server is leaving, the server must get no new requests.
TEST(ServerTests, aLeavingServerGetsNoNewRequests)
{
    RouterHarness harness;
    auto servers = makeServers();
    servers[2].isLeaving = true;
    harness.apply(ServersListed{ .servers = servers });
    EXPECT_EQ(serversUsed(harness, FetchPath), (std::set<std::string>{ "p2", "p3" }));
}

/// Guards against requests that get no answer for seconds. A server crashes, which suspends it at this entry, and restarts under the
/// same id. It is ready at once, so the suspension of its earlier run must not apply.
TEST(ServerTests, aRestartedServerCountsAsNew)
{
    RouterHarness harness;
    std::vector<Server> servers{ makeServer("p1", "portal", 6) };
    servers[0].startedAt = 1000;
    harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
    const auto sent = find<Send>(harness.arrive(NoticePath));
    ASSERT_TRUE(sent);
    harness.apply(AttemptFailed{ .attempt = sent->attempt, .failure = Failure::BrokenBeforeFirstByte });
    EXPECT_FALSE(find<Send>(harness.arrive(NoticePath))) << "it may still be down";
    servers[0].startedAt = 2000;
    const auto actions = harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
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
    RouterHarness harness;
    harness.advanceSilently(std::chrono::seconds(5));
    harness.confirm();
    harness.apply(ServersListed{ .servers = {}, .asOf = harness.now(), .outageEndedAt = harness.now() });
    EXPECT_EQ(serversUsed(harness, FetchPath).size(), 3U);
    harness.advance(std::chrono::milliseconds(1500));
    harness.apply(ServersListed{ .servers = { makeServer("p2", "portal", 6) }, .asOf = harness.now() });
    EXPECT_EQ(serversUsed(harness, FetchPath).size(), 3U);
    harness.advance(std::chrono::milliseconds(900));
    EXPECT_EQ(serversUsed(harness, FetchPath), (std::set<std::string>{ "p2" }));
}

/// Guards against a call that is cut off because it was sent to a server that left two seconds ago. The first list after a registry
/// outage contains the server and the next one does not, so the server has left and will not return.
TEST(ServerTests, aServerThatLeftAfterAnOutageIsRemovedAtOnce)
{
    RouterHarness harness;
    const auto outageEnded = harness.now() + std::chrono::milliseconds(100);
    harness.advance(std::chrono::milliseconds(200));
    harness.apply(ServersListed{ .servers = makeServers(), .asOf = harness.now(), .outageEndedAt = outageEnded });
    harness.advance(std::chrono::milliseconds(500));
    harness.apply(ServersListed{ .servers = { makeServer("p3", "portal", 6) }, .asOf = harness.now(), .outageEndedAt = outageEnded });
    EXPECT_EQ(serversUsed(harness, FetchPath), (std::set<std::string>{ "p3" }));
}

TEST(ServerTests, aServerMissingFromTheListIsRemovedAtOnce)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = { makeServer("p3", "portal", 6) } });
    EXPECT_EQ(serversUsed(harness, FetchPath), (std::set<std::string>{ "p3" }));
}

/// Guards against one request in three failing for seconds. A server crashed, but it stays listed until its lease expires; after the
/// first refused connection it gets no requests for a while.
TEST(ServerTests, aServerThatRefusesConnectionsIsSuspended)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(FetchPath));
    harness.apply(AttemptFailed{ .attempt = first->attempt, .failure = Failure::ConnectFailed });
    EXPECT_FALSE(serversUsed(harness, FetchPath).contains(first->server));
    harness.advance(std::chrono::seconds(6));
    EXPECT_TRUE(serversUsed(harness, FetchPath).contains(first->server));
}

/// Guards against streams that never start. A server accepts connections but sends nothing; when a response is overdue for more than
/// a second, the next requests go to other servers.
TEST(ServerTests, anUnresponsiveServerGetsNoMoreRequests)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(NoticePath));
    harness.advance(std::chrono::milliseconds(1300));
    EXPECT_FALSE(serversUsed(harness, FetchPath).contains(first->server));
}

/// Guards against requests that wait although all servers are healthy. Callers with very short deadlines give up one after the other,
/// which is no evidence against the servers.
TEST(ServerTests, aShortDeadlineIsNoEvidenceAgainstTheServer)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) }, .asOf = harness.now() });
    auto hasty = harness.request(NoticePath);
    hasty.deadline = std::chrono::milliseconds(60);
    ASSERT_TRUE(find<Send>(harness.apply(hasty)));
    EXPECT_TRUE(find<Refuse>(harness.advance(std::chrono::milliseconds(80))));
    EXPECT_TRUE(find<Send>(harness.arrive(FetchPath)));
}

/// Guards against refusing every request although the only server is responsive again. It was unresponsive for a moment; from time to
/// time one request probes it.
TEST(ServerTests, anUnresponsiveServerIsProbed)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) } });
    harness.arrive(NoticePath);
    harness.advance(std::chrono::milliseconds(1300));
    EXPECT_EQ(count<Send>(harness.arrive(NoticePath)), 0U);
    EXPECT_EQ(count<Send>(harness.advance(std::chrono::milliseconds(1600))), 1U);
}
