#include "core/passthrough/tests/belief.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr FleetSize Small{ .entries = 7, .engines = 18 };
constexpr FleetSize Grown{ .entries = 66, .engines = 60 };

auto expectWithinBounds(const EstimateRange &range, const FleetSize &size) -> void
{
    EXPECT_GT(range.least, MinEstimateRatio) << size.entries;
    EXPECT_LT(range.most, MaxEstimateRatio) << size.entries;
}

} // namespace

/// Guards against requests that are sent to full engines because the entry knows of only a third of the work there. Reports are summed up
/// by hubs, which may stop or may know only a part of the fleet.
TEST(BeliefTests, estimatesMatchTheActualWork)
{
    for (const auto &size : { Small, Grown }) {
        expectWithinBounds(simulateEstimates(size, { .failureDomains = 5 }), size);
    }
}

TEST(BeliefTests, estimatesMatchAfterTwoHubsAreLost)
{
    expectWithinBounds(simulateEstimates(Grown, { .failureDomains = 5, .lostHubs = 2 }), Grown);
}

TEST(BeliefTests, estimatesMatchWhenAThirdOfTheEntriesKnowsOnlyTheOthers)
{
    expectWithinBounds(simulateEstimates(Grown, { .failureDomains = 5, .listsDiffer = true }), Grown);
}
