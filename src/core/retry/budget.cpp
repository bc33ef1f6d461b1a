#include "core/retry/budget.h"

#include <algorithm>

namespace auburnspread::retry
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double Most = 20; ///< what is paid in and not used does not pile up into a storm
constexpr double Least = -20;
constexpr double QuietClassPerSecond = 0.2;
constexpr double Initial = 10; ///< a backend server may crash right after the start, with several requests in flight

auto refill(Budget &budget, TimePoint now) -> void
{
    if (!budget.filled) {
        budget = { .level = Initial, .at = now, .filled = true };
    }
    // The minimum fills up to one retry only: it is for quiet classes, not a second budget for busy ones.
    const auto age = Seconds(now - budget.at).count();
    if (budget.level < 1) {
        budget.level = std::min(1.0, budget.level + age * QuietClassPerSecond);
    }
    budget.at = now;
}

} // namespace

auto payIn(Budget &budget, std::uint32_t percent, TimePoint now) -> void
{
    refill(budget, now);
    budget.level = std::min(Most, budget.level + percent / 100.0);
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
    budget.level = std::max(Least, budget.level - 1);
}

} // namespace auburnspread::retry
