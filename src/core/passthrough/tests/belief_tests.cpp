#include "core/passthrough/tests/belief.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr FleetSize Small{ .entries = 7, .engines = 18 };
constexpr FleetSize Grown{ .entries = 66, .engines = 60 };

auto expectTrue(const BeliefRange &believed, const FleetSize &size) -> void
{
    EXPECT_GT(believed.least, LeastBelieved) << size.entries;
    EXPECT_LT(believed.most, MostBelieved) << size.entries;
}

} // namespace

/// What callers see: quotes sent to engines that are full, as the entry believes a third of what runs there. Reports are summed up by
/// entries that die, or that know only a part of the fleet.
TEST(BeliefTests, mostOfTheTrueWorkIsBelieved)
{
    for (const auto &size : { Small, Grown }) {
        expectTrue(believedPart(size, { .failureDomains = 5 }), size);
    }
}

TEST(BeliefTests, andWhenTwoHubsAreLost)
{
    expectTrue(believedPart(Grown, { .failureDomains = 5, .lostHubs = 2 }), Grown);
}

TEST(BeliefTests, andWhenAThirdOfTheEntriesKnowsOnlyTheOthers)
{
    expectTrue(believedPart(Grown, { .failureDomains = 5, .listsDiffer = true }), Grown);
}
