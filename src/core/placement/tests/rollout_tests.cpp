#include "core/placement/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::placement;
using namespace auburnspread::placement::testing;

namespace
{

/// Fails the test as soon as an order leaves a need, that was served, without any server.
auto watchCoverage(World &world) -> void
{
    world.afterOrder = [&world]() {
        for (const auto &[model, needs] : needsOf(world.document->document)) {
            for (const auto &need : needs) {
                const bool served = std::ranges::any_of(world.engines, [&](const auto &entry) { return satisfies(entry.second.state.variants, need); });
                EXPECT_TRUE(served || need.adapter == "tile") << model;
            }
        }
    };
}

} // namespace

// The operator sees: both models change their places; callers of neither model ever meet no-backend-server.
// Each server first gets the other's model beside its own, and loses its own only when the other has it.
TEST(RolloutTests, twoModelsSwapPlacesWithoutAGap)
{
    for (const bool checks : { true, false }) {
        World world;
        placeAll(world, makeDocument(1, { quote("1"), clause("1") }, checks)->document);
        world.document = makeDocument(2, { clause("1"), quote("1") }, checks);
        watchCoverage(world);
        world.addPlacer("a");
        EXPECT_TRUE(world.runUntil(seconds(300), [&]() { return world.allConverged(); }));
    }
}

// The operator sees: a model's only backend server gets a new version; the model is served throughout, because the
// new version is loaded beside the old one.
TEST(RolloutTests, aSoleServerLoadsTheNewVersionBesideTheOldOne)
{
    World world;
    placeAll(world, makeDocument(1, { quote("1"), clause("1") })->document);
    world.document = makeDocument(2, { quote("2"), clause("1") });
    watchCoverage(world);
    world.addPlacer("a");
    EXPECT_TRUE(world.runUntil(seconds(300), [&]() { return world.allConverged(); }));
}

// The operator sees: the document makes the only server of a model idle; the placer says held-for-coverage with the
// model's name and leaves the server as it is.
TEST(RolloutTests, aRoleChangeNeverLeavesAModelWithoutAServer)
{
    World world;
    placeAll(world, makeDocument(1, { quote("1"), clause("1") })->document);
    world.document = makeDocument(2, { quote("1"), {} });
    watchCoverage(world);
    world.addPlacer("a");
    world.run(seconds(120));
    EXPECT_EQ(world.engines["s2"].state.variants, variantsOf(clause("1")));
    EXPECT_TRUE(world.explainedBy("a", Decision::HeldForCoverage));
}

// The operator sees: one of two backend servers is unreachable while a new version is rolled out; the other, the last
// that serves the model, is not touched before the first is back.
TEST(RolloutTests, theLastReachableServerIsNotReplacedInPlace)
{
    World world;
    placeAll(world, makeDocument(1, { quote("1"), quote("1"), clause("1") })->document);
    world.document = makeDocument(2, { quote("2"), quote("2"), clause("1") });
    world.engines["s1"].reachable = false;
    watchCoverage(world);
    world.addPlacer("a");
    world.run(seconds(120));
    EXPECT_EQ(world.engines["s2"].state.variants, variantsOf(quote("1")));
    EXPECT_TRUE(world.explainedBy("a", Decision::HeldForRollout));
    world.engines["s1"].reachable = true;
    EXPECT_TRUE(world.runUntil(seconds(300), [&]() { return world.allConverged(); }));
}

// The operator sees: a server is marked leaving during a rollout; it is not ordered, and it is not relied on.
TEST(RolloutTests, aLeavingServerIsNeitherOrderedNorReliedOn)
{
    World world;
    placeAll(world, makeDocument(1, { quote("1"), quote("1"), clause("1") })->document);
    world.document = makeDocument(2, { quote("2"), quote("2"), clause("1") });
    world.addPlacer("a");
    world.send("a", BackendLeaving{ .backend = "s1", .leaving = true });
    world.run(seconds(120));
    EXPECT_TRUE(world.engines["s1"].applied.empty());
    EXPECT_EQ(world.engines["s2"].state.variants, variantsOf(quote("1")));
}

// The operator sees: the dead holder's order to replace s1 arrives while the new holder, whose document leaves s1 as it
// is, replaces s2. The model would be gone from both if the new holder relied on s1 as it read it. It tells s1 its
// fencing number first, so that s1 refuses the late order.
TEST(RolloutTests, aLateOrderOfTheLastHolderCannotTakeTheOtherServerAway)
{
    World world;
    placeAll(world, makeDocument(1, { quote("1"), quote("1"), clause("1") })->document);
    world.document = makeDocument(2, { quote("2"), quote("1"), clause("1") });
    watchCoverage(world);
    world.orderDelay = []() { return seconds(40); };
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(5), [&]() { return !world.nodes["a"].orders.empty(); }));
    world.nodes["a"].dead = true;
    world.orderDelay = []() { return milliseconds(2); };
    world.document = makeDocument(3, { quote("1"), quote("2"), clause("1") });
    world.engines["s2"].loadTime = seconds(60);
    world.addPlacer("b");
    EXPECT_TRUE(world.runUntil(seconds(300), [&]() { return world.allConverged(); }));
}

// The operator sees: the same with one holder, whose own order to s1 had no answer and arrives late, after the next
// document left s1 as it is. An order of unknown outcome can take effect until a greater number stops it.
TEST(RolloutTests, aLateOrderOfTheSameHolderCannotTakeTheOtherServerAway)
{
    World world;
    placeAll(world, makeDocument(1, { quote("1"), quote("1"), clause("1") })->document);
    world.document = makeDocument(2, { quote("2"), quote("2"), clause("1") });
    watchCoverage(world);
    world.addPlacer("a");
    ASSERT_TRUE(world.runUntil(seconds(120), [&]() { return world.allConverged(); }));
    const auto before = world.nodes["a"].orders.size();
    world.orderDelay = []() { return seconds(30); };
    world.document = makeDocument(3, { quote("3"), quote("2"), clause("1") });
    world.send("a", DocumentRead{ .document = world.document });
    ASSERT_TRUE(world.runUntil(seconds(5), [&]() { return world.nodes["a"].orders.size() > before; }));
    world.orderDelay = []() { return milliseconds(2); };
    world.engines["s2"].loadTime = seconds(60);
    world.document = makeDocument(4, { quote("2"), quote("3"), clause("1") });
    world.send("a", DocumentRead{ .document = world.document });
    EXPECT_TRUE(world.runUntil(seconds(300), [&]() { return world.allConverged(); }));
}
