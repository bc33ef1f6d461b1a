/// \file
/// Entries that are stopped soon after their start, or know too little of a route, and requests that reach them late.

#include "core/passthrough/tests/restartedfleet.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough::tests;

namespace
{

auto drawFleet() -> RestartedFleetOptions
{
    RestartedFleetOptions options;
    options.entries = *rc::gen::inRange<std::size_t>(1, 8);
    options.gap = std::chrono::milliseconds(*rc::gen::inRange(200, 12'000));
    options.requestsPerSecond = *rc::gen::element(5.0, 40.0, 150.0);
    options.staleCallers = *rc::gen::element(0.1, 0.5);
    options.shortest = std::chrono::milliseconds(*rc::gen::inRange(50, 1500));
    options.longest = std::chrono::milliseconds(*rc::gen::inRange(2000, 14'000));
    options.growth = *rc::gen::element(1.0, 1.1);
    options.leavingCallers = *rc::gen::element(0.0, 0.3);
    options.uptime = std::chrono::milliseconds(*rc::gen::inRange(0, 20'000));
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    return options;
}

} // namespace

/// Guards against responses that are cut off because the long ones of a route had not ended yet when the entry got the termination signal.
TEST(ShortLivedEntriesTests, aLateStreamIsRefusedByAnEntryThatHasOnlySeenShortOnesEnd)
{
    const auto result = simulateRestartedFleet({ .requestsPerSecond = 120, .uptime = std::chrono::milliseconds(500) });
    EXPECT_EQ(result.lost, 0U);
    EXPECT_GT(result.refusedLate, 0U);
    EXPECT_EQ(result.refusedAsRun, 0U);
}

/// The same for any mix of short and long responses and entries that have run for any time.
RC_GTEST_PROP(ShortLivedEntriesTests, noLateStreamIsCutOff, ())
{
    auto options = drawFleet();
    options.longEvery = *rc::gen::inRange<std::size_t>(1, 40);
    const auto result = simulateRestartedFleet(options);
    RC_ASSERT(result.lost == 0U);
    RC_ASSERT(result.refusedAsRun == 0U);
}

/// Guards against late responses that are cut off although a rare one of the minute before took as long.
RC_GTEST_PROP(ShortLivedEntriesTests, rareLongStreamsAreNotForgotten, ())
{
    auto options = drawFleet();
    options.longEvery = *rc::gen::inRange<std::size_t>(40, 1000);
    options.requestsPerSecond = *rc::gen::element(150.0, 400.0);
    options.entries = *rc::gen::inRange<std::size_t>(1, 4);
    RC_ASSERT(simulateRestartedFleet(options).lostAsOthers == 0U);
}

/// Guards against late responses that are cut off because the route was moved to a slower service shortly before.
TEST(ShortLivedEntriesTests, aRouteThatMovesToASlowerServiceIsNotJudgedByTheOldOne)
{
    const auto result = simulateRestartedFleet({
        .gap = std::chrono::seconds(20),
        .longest = std::chrono::seconds(6),
        .movesRoute = true,
        .uptime = std::chrono::seconds(30),
    });
    EXPECT_EQ(result.lost, 0U);
    EXPECT_EQ(result.refusedAsRun, 0U);
}

/// Guards against late responses that are cut off because only the short ones of a while ago are known.
TEST(ShortLivedEntriesTests, aRouteThatWasQuietIsNotJudgedByItsOldResponses)
{
    const auto result = simulateRestartedFleet({ .entries = 2, .longEvery = 2, .quietBefore = std::chrono::minutes(2), .uptime = std::chrono::seconds(20) });
    EXPECT_EQ(result.lost, 0U);
}

/// Guards against late responses that are cut off because servers slow down after an entry has accepted them by the time of earlier ones.
TEST(ShortLivedEntriesTests, noLateStreamIsCutOffByServersThatSlowDown)
{
    const auto result = simulateRestartedFleet({ .requestsPerSecond = 120, .longEvery = 0, .growth = 60, .uptime = std::chrono::seconds(20) });
    EXPECT_EQ(result.lost, 0U);
    EXPECT_GT(result.refusedLate, 0U);
    EXPECT_EQ(result.refusedAsRun, 0U);
}

/// The same for any time that responses take, and servers that become slower by any factor.
RC_GTEST_PROP(ShortLivedEntriesTests, noLateStreamIsCutOffHoweverSlowServersBecome, ())
{
    auto options = drawFleet();
    options.longEvery = *rc::gen::inRange<std::size_t>(0, 40);
    options.growth = *rc::gen::element(2.0, 8.0, 40.0);
    const auto result = simulateRestartedFleet(options);
    RC_ASSERT(result.lost == 0U);
    RC_ASSERT(result.refusedAsRun == 0U);
}

/// Guards against a bound so cautious that an entry refuses late requests that end before its exit whatever their servers do.
RC_GTEST_PROP(ShortLivedEntriesTests, lateRequestsWhoseTimeLimitEndsBeforeTheExitAreServed, ())
{
    auto options = drawFleet();
    options.longEvery = 0;
    options.timeout = std::chrono::milliseconds(*rc::gen::inRange(1500, 4000));
    options.requestsPerSecond = 150;
    options.entries = *rc::gen::inRange<std::size_t>(1, 4);
    options.staleCallers = 0.5;
    options.uptime = std::chrono::seconds(15);
    options.rounds = 1;
    const auto result = simulateRestartedFleet(options);
    RC_ASSERT(result.lost == 0U);
    RC_ASSERT(result.refusedInTime == 0U);
    RC_ASSERT(result.acceptedLate > result.refusedLate / 4);
}
