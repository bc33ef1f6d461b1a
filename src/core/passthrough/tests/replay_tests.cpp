#include "core/passthrough/tests/replay.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr std::uint64_t Seeds = 3;

struct Shares {
    double onTime = 0;
    double refused = 0;
    double shortOnTime = 0;
};

/// Means over all seeds.
auto replayAll(ReplayOptions options) -> Shares
{
    Shares shares;
    for (options.load.seed = 1; options.load.seed <= Seeds; ++options.load.seed) {
        const auto result = replay(options);
        shares.onTime += result.longPrompts.onTimeShare() / Seeds;
        shares.refused += result.longPrompts.refusedShare() / Seeds;
        shares.shortOnTime += result.shortPrompts.onTimeShare() / Seeds;
    }
    return shares;
}

} // namespace

TEST(ReplayTests, anUnderloadedFleetServesAllOnTime)
{
    const auto shares = replayAll({ .load = { .burst = 1 } });
    EXPECT_GT(shares.onTime, 0.985);
    EXPECT_GT(shares.shortOnTime, 0.975);
    EXPECT_LT(shares.refused, 0.002);
}

/// Guards against refusals while engines stand idle. In a burst of three times the usual load, a third of the quotes was refused, because
/// reports were old when they were used and more engines than needed were reserved for short prompts. Each of these changes alone fails the
/// first check: reports every 100 ms, short prompts that may fill 0.65 of a batch, a queueing time of 0.7 of the target.
TEST(ReplayTests, aBurstKeepsAllEnginesBusy)
{
    const auto shares = replayAll({ .load = { .burst = 3 } });
    EXPECT_GT(shares.onTime, 0.685);
    EXPECT_LT(shares.refused, 0.205);
    EXPECT_GT(shares.shortOnTime, 0.97) << "short answers must stay on time";
}

TEST(ReplayTests, fresherReportsServeMoreOfABurst)
{
    const auto fresh = replayAll({ .load = { .burst = 3 } });
    const auto old = replayAll({ .load = { .burst = 3 }, .reportInterval = 2 * ReportInterval });
    EXPECT_GT(fresh.onTime, old.onTime + 0.02);
}
