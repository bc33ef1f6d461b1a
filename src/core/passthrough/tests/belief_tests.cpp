#include "core/passthrough/tests/replay.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

struct FleetSize {
    std::size_t entries = 0;
    std::size_t engines = 0;
};

constexpr FleetSize Small{ .entries = 7, .engines = 18 };
constexpr FleetSize Grown{ .entries = 66, .engines = 60 };
constexpr FleetSize Large{ .entries = 295, .engines = 160 };

/// The least part of the true work that was believed, from half a second after the troubles begin in the middle.
auto leastBelief(const FleetSize &size, const ReportTroubles &troubles) -> double
{
    constexpr double LongPromptsPerEngine = 3.7;
    constexpr double ShortPromptsPerEngine = 3.1;
    const auto result = replay({
        .load = {
            .entries = size.entries,
            .engines = size.engines,
            .longPromptsPerSecond = LongPromptsPerEngine * static_cast<double>(size.engines),
            .shortPromptsPerSecond = ShortPromptsPerEngine * static_cast<double>(size.engines),
            .burst = 2,
            .sessions = 10 * size.engines,
            .length = std::chrono::seconds(3),
        },
        .reports = troubles,
        .rest = std::chrono::seconds(0),
    });
    constexpr std::size_t FirstAfterTroubles = 4;
    constexpr std::size_t End = 6;
    double least = 1;
    for (auto i = FirstAfterTroubles; i < End; ++i) {
        least = std::min(least, result.beliefs.at(i).part());
    }
    return least;
}

/// Of the true work, half a second after any loss; and none of it twice.
constexpr double LeastBelieved = 0.8;

} // namespace

/// What callers see: quotes sent to engines that are full, as the entry believes a third of what runs there. Reports are summed up by
/// entries that die, or that know only a part of the fleet.
TEST(BeliefTests, mostOfTheTrueWorkIsBelievedAtEachSize)
{
    for (const auto &size : { Small, Grown, Large }) {
        EXPECT_GT(leastBelief(size, { .failureDomains = 5 }), LeastBelieved) << size.entries;
    }
}

TEST(BeliefTests, andWhenTwoHubsAreLost)
{
    for (const auto &size : { Grown, Large }) {
        EXPECT_GT(leastBelief(size, { .failureDomains = 5, .lostHubs = 2 }), LeastBelieved) << size.entries;
    }
}

TEST(BeliefTests, andWhenAThirdOfTheEntriesKnowsOnlyTheOthers)
{
    for (const auto &size : { Grown, Large }) {
        EXPECT_GT(leastBelief(size, { .failureDomains = 5, .listsDiffer = true }), LeastBelieved) << size.entries;
    }
}
