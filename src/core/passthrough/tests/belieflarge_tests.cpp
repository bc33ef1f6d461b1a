#include "core/passthrough/tests/belief.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr FleetSize Large{ .entries = 295, .engines = 160 };

auto expectTrue(const BeliefRange &believed, const FleetSize &size) -> void
{
    EXPECT_GT(believed.least, LeastBelieved) << size.entries;
    EXPECT_LT(believed.most, MostBelieved) << size.entries;
}

} // namespace

/// The same as belief_tests with hundreds of entries; a program of its own, so that it can be listed as known without hiding others.
TEST(BeliefLargeTests, mostOfTheTrueWorkIsBelieved)
{
    expectTrue(believedPart(Large, { .failureDomains = 5 }), Large);
}

TEST(BeliefLargeTests, andWhenTwoHubsAreLost)
{
    expectTrue(believedPart(Large, { .failureDomains = 5, .lostHubs = 2 }), Large);
}

TEST(BeliefLargeTests, andWhenAThirdOfTheEntriesKnowsOnlyTheOthers)
{
    expectTrue(believedPart(Large, { .failureDomains = 5, .listsDiffer = true }), Large);
}
