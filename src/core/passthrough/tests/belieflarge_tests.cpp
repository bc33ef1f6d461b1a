#include "core/passthrough/tests/belief.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr FleetSize Large{ .entries = 295, .engines = 160 };

auto expectWithinBounds(const EstimateRange &range, const FleetSize &size) -> void
{
    EXPECT_GT(range.least, MinEstimateRatio) << size.entries;
    EXPECT_LT(range.most, MaxEstimateRatio) << size.entries;
}

} // namespace

/// The same tests as belief_tests, with hundreds of entries. A separate program, so that its known failure does not hide others.
TEST(BeliefLargeTests, estimatesMatchTheActualWork)
{
    expectWithinBounds(simulateEstimates(Large, { .failureDomains = 5 }), Large);
}

TEST(BeliefLargeTests, estimatesMatchAfterTwoHubsAreLost)
{
    expectWithinBounds(simulateEstimates(Large, { .failureDomains = 5, .lostHubs = 2 }), Large);
}

TEST(BeliefLargeTests, estimatesMatchWhenAThirdOfTheEntriesKnowsOnlyTheOthers)
{
    expectWithinBounds(simulateEstimates(Large, { .failureDomains = 5, .listsDiffer = true }), Large);
}
