#include "core/passthrough/tests/replay.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr std::uint64_t Seeds = 3;

struct Parts {
    double onTime = 0;
    double refused = 0;
    double shortOnTime = 0;
};

/// Means over some seeds.
auto replayAll(ReplayOptions options) -> Parts
{
    Parts parts;
    for (options.load.seed = 1; options.load.seed <= Seeds; ++options.load.seed) {
        const auto result = replay(options);
        parts.onTime += result.longPrompts.onTimePart() / Seeds;
        parts.refused += result.longPrompts.refusedPart() / Seeds;
        parts.shortOnTime += result.shortPrompts.onTimePart() / Seeds;
    }
    return parts;
}

} // namespace

TEST(ReplayTests, aCalmFleetServesAllOnTime)
{
    const auto parts = replayAll({ .load = { .burst = 1 } });
    EXPECT_GT(parts.onTime, 0.985);
    EXPECT_GT(parts.shortOnTime, 0.975);
    EXPECT_LT(parts.refused, 0.002);
}

/// What callers see: a third of the quotes of a burst refused although engines stand idle at times. Three times as many come
/// as on a calm day. Word of the engines is old when it comes, and more engines than needed are kept for short answers. Reports
/// every 100 ms, shortPrompts that fill 0.65 of a batch, or a wait of 0.7 of the target: each alone fails the first line.
TEST(ReplayTests, aBurstIsServedByEnginesThatReadAllTheTime)
{
    const auto parts = replayAll({ .load = { .burst = 3 } });
    EXPECT_GT(parts.onTime, 0.685);
    EXPECT_LT(parts.refused, 0.205);
    EXPECT_GT(parts.shortOnTime, 0.97) << "short answers pay nothing for it";
}

TEST(ReplayTests, fresherReportsServeMoreOfABurst)
{
    const auto fresh = replayAll({ .load = { .burst = 3 } });
    const auto old = replayAll({ .load = { .burst = 3 }, .reportInterval = 2 * ReportInterval });
    EXPECT_GT(fresh.onTime, old.onTime + 0.02);
}
