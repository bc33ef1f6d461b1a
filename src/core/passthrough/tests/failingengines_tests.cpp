#include "core/passthrough/tests/replay.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr std::uint64_t Seeds = 3;
constexpr LoadPattern SmallBurst{ .entries = 16, .engines = 25, .longPromptsPerSecond = 92, .shortPromptsPerSecond = 78, .burst = 3 };

auto replayFailing(std::size_t failing, std::uint64_t seed) -> ReplayResult
{
    auto load = SmallBurst;
    load.seed = seed;
    return replay({ .load = load, .engines = { .failing = failing } });
}

} // namespace

/// Guards against an engine that attracts the waiting requests of all entries because it fails each request at once.
TEST(ReplayTests, anEngineThatFailsAtOnceAttractsNoRequests)
{
    constexpr std::uint64_t MostFailed = 50;
    constexpr double MostShare = 2;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto attempts = replayFailing(1, seed).attempts;
        EXPECT_LT(attempts.failed, MostFailed) << "seed " << seed;
        EXPECT_LT(attempts.failingShare(SmallBurst.engines, 1), MostShare) << "seed " << seed;
    }
}

/// The same with several engines, which are ejected at the same time.
TEST(ReplayTests, threeEnginesThatFailAtOnceAttractNoRequests)
{
    constexpr double MostShare = 2;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        EXPECT_LT(replayFailing(3, seed).attempts.failingShare(SmallBurst.engines, 3), MostShare) << "seed " << seed;
    }
}
