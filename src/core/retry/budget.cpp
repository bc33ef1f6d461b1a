#include "core/retry/budget.h"

#include <algorithm>

namespace auburnspread::retry
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double MaxLevel = 20; ///< bounds the burst of retries after a long time without failures
constexpr double MinLevel = -20;
constexpr double IdleClassRetriesPerSecond = 0.2;
constexpr double InitialLevel = 10; ///< a backend server may crash right after the start, with several requests in flight

auto refill(Budget &budget, TimePoint now) -> void
{
    if (!budget.filled) {
        budget = { .level = InitialLevel, .at = now, .filled = true };
    }
    // The time-based refill stops at one retry: it serves classes with few requests and is no second budget for busy ones.
    const auto age = Seconds(now - budget.at).count();
    if (budget.level < 1) {
        budget.level = std::min(1.0, budget.level + age * IdleClassRetriesPerSecond);
    }
    budget.at = now;
}

} // namespace

auto addRetryCredit(Budget &budget, std::uint32_t percent, TimePoint now) -> void
{
    refill(budget, now);
    budget.level = std::min(MaxLevel, budget.level + percent / 100.0);
}

auto takeRetry(Budget &budget, TimePoint now) -> bool
{
    refill(budget, now);
    if (budget.level < 1) {
        return false;
    }
    budget.level -= 1;
    return true;
}

auto chargeRepeat(Budget &budget, TimePoint now) -> void
{
    refill(budget, now);
    budget.level = std::max(MinLevel, budget.level - 1);
}

} // namespace auburnspread::retry
