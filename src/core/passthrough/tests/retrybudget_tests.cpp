#include "core/passthrough/retrybudget.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;

namespace
{

constexpr RetryBounds Bounds{ .ratio = 0.2, .allowance = 54, .window = std::chrono::seconds(10) };
constexpr std::uint32_t Entries = 7;

} // namespace

/// What callers see: backend servers that failed for a moment stay slow, because every entry sends everything twice.
/// All answers fail for a minute while requests arrive; each entry asks for a repeat of each. In any window, what the
/// entries were given together must stay within the bound that they share.
TEST(RetryBudgetTests, entriesTogetherStayWithinTheSharedBoundInEveryWindow)
{
    RetryBudget budget;
    TimePoint now(std::chrono::hours(1));
    std::deque<TimePoint> sends;
    std::deque<TimePoint> repeats;
    for (auto i = 0; i < 3000; ++i) {
        now += std::chrono::milliseconds(20);
        noteFirstSend(budget, Bounds, now);
        sends.push_back(now);
        if (takeRepeat(budget, Bounds, Entries, now)) {
            repeats.push_back(now);
        }
        const auto forget = [now](std::deque<TimePoint> &times) {
            while (now - times.front() > Bounds.window) {
                times.pop_front();
            }
        };
        forget(sends);
        if (!repeats.empty()) {
            forget(repeats);
        }
        const auto allowed = Bounds.ratio * static_cast<double>(sends.size()) + Bounds.allowance / Entries;
        ASSERT_LE(static_cast<double>(repeats.size()), allowed) << "after request " << i;
    }
    EXPECT_GT(repeats.size(), 0U);
}

TEST(RetryBudgetTests, aQuietEntryHasItsPartOfTheAllowance)
{
    RetryBudget budget;
    const TimePoint now(std::chrono::hours(1));
    auto given = 0;
    while (takeRepeat(budget, Bounds, Entries, now)) {
        given += 1;
    }
    EXPECT_GE(given, 3);
    EXPECT_LE(given, static_cast<int>(Bounds.allowance) / static_cast<int>(Entries));
    EXPECT_FALSE(takeRepeat(budget, Bounds, Entries, now + Bounds.window / 2));
    EXPECT_TRUE(takeRepeat(budget, Bounds, Entries, now + 2 * Bounds.window));
}
