#include "core/passthrough/internal/state.h"
#include "core/passthrough/peerreports.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

#include <set>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr TimePoint Now(std::chrono::hours(1));

auto makeEngines(int count) -> std::vector<Server>
{
    std::vector<Server> servers;
    servers.reserve(static_cast<std::size_t>(count));
    for (auto i = 0; i < count; ++i) {
        servers.push_back(makeServer("e" + std::to_string(i), "engines", 16));
    }
    return servers;
}

auto makeTable(int engines) -> ServerTable
{
    ServerTable table{ .failureDomain = "a" };
    applyServerList(table, { .servers = makeEngines(engines), .asOf = Now }, Now);
    return table;
}

} // namespace

TEST(ManyServersTests, shardsHaveABoundedSizeAndContainEachServerOnce)
{
    constexpr std::size_t Most = 300; // 256 plus the variance of the hash distribution
    for (const auto engines : { 10, 160, 256, 257, 600, 3000 }) {
        const auto table = makeTable(engines);
        const auto &group = table.byService.at("engines");
        std::set<std::string> seen;
        for (const auto &part : group.shards) {
            EXPECT_LE(part.size(), Most);
            for (const auto &server : part) {
                seen.insert(server->record.id);
            }
        }
        EXPECT_EQ(seen.size(), static_cast<std::size_t>(engines));
        EXPECT_EQ(group.shards.size() == 1, engines <= 256);
    }
}

TEST(ManyServersTests, theFallbackShardIsADifferentOne)
{
    const auto table = makeTable(3000);
    const auto &group = table.byService.at("engines");
    for (std::uint64_t key = 0; key < 1000; ++key) {
        EXPECT_NE(shardForKey(group, key), fallbackShardForKey(group, key));
    }
}

/// Guards against a session that has to wait for its full shard while engines of other shards are idle.
TEST(ManyServersTests, aSessionUsesItsFallbackShardWhenItsOwnIsFull)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = makeEngines(600), .asOf = harness.now() });
    const auto quote = [&harness]() {
        auto request = harness.request(QuotePath);
        request.prompt = { .tokens = 9000, .maxAnswerTokens = 50, .parts = { { .id = 7, .tokens = 6000 }, { .id = 0, .tokens = 3000 } } };
        return request;
    };
    const auto first = find<Send>(harness.apply(quote()));
    ASSERT_TRUE(first);
    const auto &group = harness.router().servers.byService.at("engines");
    PeerReported full{ .entry = "entry-2" };
    for (const auto &part : group.shards) {
        const auto holdsFirst = std::any_of(part.begin(), part.end(), [&first](const ServerPointer &server) { return server->record.id == first->server; });
        for (const auto &server : part) {
            if (holdsFirst) {
                full.uses.push_back({ .server = server->record.id, .inFlight = 18 });
            }
        }
    }
    harness.apply(full);
    EXPECT_TRUE(find<Send>(harness.apply(quote())));
}

/// Guards against an aggregate that exceeds the size of a datagram and is lost as a whole.
TEST(ManyServersTests, anAggregateContainsTheBusiestServersAndEjectedOnes)
{
    constexpr std::size_t Most = 200;
    auto table = makeTable(1000);
    PeerReported report{ .entry = "entry-2", .failureDomain = "a" };
    for (auto i = 0; i < 1000; ++i) {
        report.uses.push_back({ .server = "e" + std::to_string(i), .inFlight = 1, .heldTokens = static_cast<std::uint32_t>(i) });
    }
    report.uses[3].ejectedFor = std::chrono::seconds(1);
    applyPeerReport(table, report, Now);
    const auto sum = makeAggregateReport(table, "entry-1", ReportScope::Fleet, Now);
    EXPECT_EQ(sum.uses.size(), Most);
    const auto names = [&sum](const std::string &id) {
        return std::any_of(sum.uses.begin(), sum.uses.end(), [&id](const PeerReported::ServerUsage &use) { return use.server == id; });
    };
    EXPECT_TRUE(names("e999"));
    EXPECT_TRUE(names("e3"));
    EXPECT_FALSE(names("e4"));
}

TEST(ManyServersTests, applyingAChangeEqualsApplyingTheChangedList)
{
    auto byList = makeTable(20);
    auto byChange = makeTable(20);
    auto servers = makeEngines(21);
    servers[4].isLeaving = true;
    const auto later = Now + std::chrono::seconds(1);
    const ServersChanged change{ .changed = { servers[4], servers[20] }, .removed = { "e7" }, .asOf = later };
    servers.erase(servers.begin() + 7);
    applyServerList(byList, { .servers = servers, .asOf = later }, later);
    applyServerChanges(byChange, change, later);
    ASSERT_EQ(byList.byId.size(), byChange.byId.size());
    for (const auto &[id, server] : byList.byId) {
        EXPECT_EQ(server->record, byChange.byId.at(id)->record);
    }
    EXPECT_EQ(byList.byService.at("engines").all.size(), byChange.byService.at("engines").all.size());
}

/// Guards against servers that are removed right after a registry outage, although they are alive.
TEST(ManyServersTests, aServerThatLapsedInAnOutageMayReturn)
{
    auto table = makeTable(3);
    const auto back = Now + std::chrono::seconds(5);
    applyServerChanges(table, { .removed = { "e1" }, .asOf = back, .outageEndedAt = back }, back);
    EXPECT_TRUE(findServer(table, "e1"));
    removeLapsedServers(table, back + ReregistrationTime);
    EXPECT_FALSE(findServer(table, "e1"));
    applyServerChanges(table, { .removed = { "e2" }, .asOf = back + ReregistrationTime, .outageEndedAt = back }, back + ReregistrationTime);
    EXPECT_FALSE(findServer(table, "e2")) << "a list after the outage contained it";
}
