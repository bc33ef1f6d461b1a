#include "core/placement/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::placement;
using namespace auburnspread::placement::testing;

namespace
{

/// Two placers, two backend servers with version 1; the document wants version 2.
auto makeWorld(bool checks) -> World
{
    World world;
    placeAll(world, makeDocument(1, { quote("1"), quote("1") }, checks)->document);
    world.document = makeDocument(2, { quote("2"), quote("2") }, checks);
    return world;
}

auto countOrders(const World &world, const std::string &name) -> std::size_t
{
    return world.nodes.at(name).orders.size();
}

} // namespace

// The operator sees: the placer's VM freezes for a minute; a second placer takes over; when the first wakes up, it
// logs lease-expired and orders nothing, although nobody told it that its lease is gone.
// It was paused after its last renewal, so its own count of the lease has run out by the time of its first step.
TEST(PlacerTests, aHolderThatWakesUpAfterItsLeaseOrdersNothing)
{
    auto world = makeWorld(true);
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(5), [&]() { return world.holdsLease("a"); }));
    world.pause("a", seconds(60));
    world.addPlacer("b");
    ASSERT_TRUE(world.runUntil(seconds(59), [&]() { return world.holdsLease("b"); }));
    world.document = makeDocument(3, { quote("3"), quote("3") });
    world.run(seconds(1));
    const auto before = countOrders(world, "a");
    world.run(seconds(90));
    EXPECT_TRUE(world.explainedBy("a", Decision::LeaseExpired));
    EXPECT_EQ(countOrders(world, "a"), before);
}

// The operator sees: the platform's service goes down while many backend servers are due; orders end the safety margin
// before the lease ends by the holder's own count, backend servers keep what they have, and afterwards the rollout goes on.
TEST(PlacerTests, withoutThePlatformThereAreNoOrdersAndEnginesKeepWhatTheyHave)
{
    World world;
    world.document = makeDocument(2, std::vector<std::vector<configuration::ServedModel>>(60, quote("1")));
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(5), [&]() { return countOrders(world, "a") > 0; }));
    world.lock.down = true;
    const auto leaseEnd = world.nodes["a"].state.lease.validUntil;
    world.run(seconds(300));
    EXPECT_LT(world.nodes["a"].lastOrderAt, leaseEnd - LeaseOptions{}.safetyMargin);
    EXPECT_GE(world.nodes["a"].lastOrderAt, leaseEnd - LeaseOptions{}.safetyMargin - seconds(5));
    EXPECT_FALSE(world.holdsLease("a"));
    EXPECT_FALSE(world.allConverged());
    const auto before = world.engines["s1"].state;
    world.lock.down = false;
    EXPECT_TRUE(world.runUntil(seconds(300), [&]() { return world.allConverged(); }));
    EXPECT_EQ(world.engines["s1"].state, before);
}

// The operator sees: the placer dies after its order left and before it read the state back; a new placer takes over
// and all backend servers reach the wanted state, each with the new holder's fencing number.
// The order describes the wanted state, so that the new holder's repeat of it changes nothing.
TEST(PlacerTests, aCrashBetweenOrderAndReadBackIsMadeGoodByTheNextHolder)
{
    for (const bool checks : { true, false }) {
        auto world = makeWorld(checks);
        world.addPlacer("a");
        ASSERT_TRUE(world.runUntil(seconds(60), [&]() { return countOrders(world, "a") > 0; }));
        world.nodes["a"].dead = true;
        world.addPlacer("b");
        EXPECT_TRUE(world.runUntil(seconds(300), [&]() { return world.allConverged(); })) << "checks " << checks;
        world.run(seconds(60));
        if (checks) {
            EXPECT_EQ(world.engines["s1"].applied.back().holder, "b");
            EXPECT_EQ(world.engines["s2"].applied.back().holder, "b");
        }
    }
}

// The operator sees: two placers run; one says that the lease is held elsewhere and never orders.
TEST(PlacerTests, ofTwoPlacersOneOrders)
{
    auto world = makeWorld(true);
    world.addPlacer("a");
    world.addPlacer("b", { .seed = 2 });
    EXPECT_TRUE(world.runUntil(seconds(120), [&]() { return world.allConverged(); }));
    EXPECT_TRUE(countOrders(world, "a") == 0 || countOrders(world, "b") == 0);
    EXPECT_TRUE(world.explainedBy("a", Decision::LeaseHeldElsewhere) || world.explainedBy("b", Decision::LeaseHeldElsewhere));
}

// The operator sees: a backend server that checks fencing numbers never leaves the new document's state, although an
// order of the last holder for the old document is delivered a minute late.
TEST(PlacerTests, anOrderDelayedPastTheLeaseIsRefusedByAnEngineThatChecks)
{
    auto world = makeWorld(true);
    world.orderDelay = []() { return seconds(60); };
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(5), [&]() { return countOrders(world, "a") > 0; }));
    world.nodes["a"].dead = true;
    world.orderDelay = []() { return milliseconds(2); };
    world.document = makeDocument(3, { quote("3"), quote("3") });
    world.addPlacer("b");
    ASSERT_TRUE(world.runUntil(seconds(58), [&]() { return world.allConverged(); }));
    world.run(seconds(90));
    for (const auto &[name, engine] : world.engines) {
        for (const auto &order : engine.applied) {
            EXPECT_EQ(order.version, 3U) << name;
        }
    }
    EXPECT_TRUE(world.allConverged());
}

// The operator sees: the new placer says held-for-old-lease about a backend server that does not check; it orders it
// only after the old lease and the longest order are over, so that the last holder's late order comes first.
TEST(PlacerTests, anEngineThatDoesNotCheckIsLeftAloneUntilTheLastHoldersOrdersAreOver)
{
    auto world = makeWorld(false);
    const PlacerOptions options;
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(60), [&]() { return world.holdsLease("a"); }));
    world.run(options.lease.duration + options.orderTime - seconds(1));
    EXPECT_EQ(countOrders(world, "a"), 0U);
    EXPECT_TRUE(world.explainedBy("a", Decision::HeldForOldLease));
    ASSERT_TRUE(world.runUntil(seconds(30), [&]() { return countOrders(world, "a") > 0; }));
    EXPECT_TRUE(world.runUntil(seconds(60), [&]() { return world.allConverged(); }));
}

// The operator sees: the network delivers an order of a dead placer later than any bound to a backend server that does
// not check; it goes back to the old version for one read interval and is then ordered into the wanted state again.
TEST(PlacerTests, anEngineThatDoesNotCheckDoesNotStayInAnOldState)
{
    auto world = makeWorld(false);
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(120), [&]() { return world.allConverged(); }));
    const SendOrder old{ .backend = "s1", .fence = 1, .version = 1, .state = { Role::Serving, variantsOf(quote("1")) } };
    world.engines["s1"].take("ghost", old, world.now);
    ASSERT_FALSE(world.allConverged());
    EXPECT_TRUE(world.runUntil(seconds(60), [&]() { return world.allConverged(); }));
}

// The operator sees: a document that was read late is older than the one in force; the placer says document-older and
// goes on with the newer.
TEST(PlacerTests, theWantedStateNeverGoesBack)
{
    auto world = makeWorld(true);
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(120), [&]() { return world.allConverged(); }));
    const auto orders = countOrders(world, "a");
    world.send("a", DocumentRead{ .document = makeDocument(1, { quote("1"), quote("1") }) });
    world.run(seconds(60));
    EXPECT_TRUE(world.explainedBy("a", Decision::DocumentOlder));
    EXPECT_EQ(countOrders(world, "a"), orders);
}

// The operator sees: a new document is accepted; the placer's orders for it carry a greater fencing number than those
// for the last one, so that a delayed order for the old version cannot undo the new one on an engine that checks.
TEST(PlacerTests, eachVersionHasItsOwnFencingNumber)
{
    auto world = makeWorld(true);
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(120), [&]() { return world.allConverged(); }));
    world.document = makeDocument(3, { quote("3"), quote("3") });
    world.send("a", DocumentRead{ .document = world.document });
    ASSERT_TRUE(world.runUntil(seconds(120), [&]() { return world.allConverged(); }));
    std::map<FencingNumber, std::uint64_t> versions;
    for (const auto &order : world.nodes["a"].orders) {
        const auto [entry, isNew] = versions.emplace(order.fence, order.version);
        EXPECT_EQ(entry->second, order.version);
    }
    EXPECT_GE(versions.size(), 2U);
}

// The operator sees: a backend server cannot load its weights; it is retried ever more rarely, logs say why, and the
// others of its model keep the old version, as if it were the first of a bad release.
TEST(PlacerTests, aVersionThatDoesNotLoadStopsAtTheFirstServers)
{
    World world;
    const std::vector<std::vector<configuration::ServedModel>> old(5, quote("1"));
    const std::vector<std::vector<configuration::ServedModel>> wanted(5, quote("2"));
    placeAll(world, makeDocument(1, old)->document);
    world.document = makeDocument(2, wanted);
    for (auto &[name, engine] : world.engines) {
        engine.failsToLoad = true;
    }
    world.addPlacer("a");
    world.run(std::chrono::minutes(30));
    const auto stillServing = std::ranges::count_if(world.engines, [](const auto &entry) { return !entry.second.state.variants.empty(); });
    EXPECT_EQ(stillServing, 4);
    EXPECT_TRUE(world.explainedBy("a", Decision::OrderNotTaken));
    EXPECT_TRUE(world.explainedBy("a", Decision::HeldForRollout));
    EXPECT_LT(countOrders(world, "a"), 60U);
}

// The operator sees: twelve new VMs need weights at once; never more than the limit load together.
TEST(PlacerTests, loadsAreBounded)
{
    World world;
    world.document = makeDocument(2, std::vector<std::vector<configuration::ServedModel>>(12, quote("1")));
    std::ptrdiff_t most = 0;
    world.afterOrder = [&]() {
        const auto loading = std::ranges::count_if(world.engines, [](const auto &entry) { return entry.second.state != entry.second.target; });
        most = std::max(most, loading);
    };
    world.addPlacer("a", { .concurrentLoads = 3 });
    EXPECT_TRUE(world.runUntil(seconds(120), [&]() { return world.allConverged(); }));
    EXPECT_EQ(most, 3);
}

// The operator sees: SIGTERM to the placer; it sends no further order, waits for the answer of the one under way and
// gives the lease back, so that another holds it within its standby interval.
TEST(PlacerTests, aStoppedPlacerGivesTheLeaseBack)
{
    auto world = makeWorld(true);
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(5), [&]() { return countOrders(world, "a") > 0; }));
    const auto before = countOrders(world, "a");
    world.send("a", StopRequested{});
    ASSERT_TRUE(world.runUntil(seconds(30), [&]() { return world.nodes["a"].stopped; }));
    EXPECT_EQ(countOrders(world, "a"), before);
    EXPECT_TRUE(world.lock.holder.empty());
}
