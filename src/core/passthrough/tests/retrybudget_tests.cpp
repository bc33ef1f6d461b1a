#include "core/passthrough/retrybudget.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;

namespace
{

constexpr RetryBounds Bounds{ .ratio = 0.2, .allowance = 54, .window = std::chrono::seconds(10) };
constexpr std::uint32_t Entries = 7;

} // namespace

/// Guards against backend servers that stay overloaded after a short failure because every entry retries every request. All responses
/// fail for a minute while requests arrive, and a retry is attempted for each. In every window, the retries must stay within the shared
/// limit.
TEST(RetryBudgetTests, entriesTogetherStayWithinTheSharedBoundInEveryWindow)
{
    RetryBudget budget;
    TimePoint now(std::chrono::hours(1));
    std::deque<TimePoint> sends;
    std::deque<TimePoint> retries;
    for (auto i = 0; i < 3000; ++i) {
        now += std::chrono::milliseconds(20);
        recordFirstSend(budget, Bounds, now);
        sends.push_back(now);
        if (tryConsumeRetry(budget, Bounds, Entries, now)) {
            retries.push_back(now);
        }
        const auto dropExpired = [now](std::deque<TimePoint> &times) {
            while (now - times.front() > Bounds.window) {
                times.pop_front();
            }
        };
        dropExpired(sends);
        if (!retries.empty()) {
            dropExpired(retries);
        }
        const auto allowed = Bounds.ratio * static_cast<double>(sends.size()) + Bounds.allowance / Entries;
        ASSERT_LE(static_cast<double>(retries.size()), allowed) << "after request " << i;
    }
    EXPECT_GT(retries.size(), 0U);
}

TEST(RetryBudgetTests, anIdleEntryHasItsShareOfTheAllowance)
{
    RetryBudget budget;
    const TimePoint now(std::chrono::hours(1));
    auto granted = 0;
    while (tryConsumeRetry(budget, Bounds, Entries, now)) {
        granted += 1;
    }
    EXPECT_GE(granted, 3);
    EXPECT_LE(granted, static_cast<int>(Bounds.allowance) / static_cast<int>(Entries));
    EXPECT_FALSE(tryConsumeRetry(budget, Bounds, Entries, now + Bounds.window / 2));
    EXPECT_TRUE(tryConsumeRetry(budget, Bounds, Entries, now + 2 * Bounds.window));
}
