#include "core/base/recentcount.h"

#include <algorithm>

namespace auburnspread
{

namespace
{

auto stepAt(TimePoint time) -> std::int64_t
{
    return time.time_since_epoch() / RecentCount::Step;
}

auto indexOfStep(std::int64_t step) -> std::size_t
{
    constexpr auto Counters = static_cast<std::int64_t>(RecentCount::Steps + 1);
    return static_cast<std::size_t>((step % Counters + Counters) % Counters);
}

} // namespace

auto addOne(RecentCount &count, TimePoint now) -> void
{
    const auto step = stepAt(now);
    const auto elapsedSteps = std::min<std::int64_t>(step - count.lastStep, RecentCount::Steps + 1);
    for (std::int64_t i = 0; i < elapsedSteps; ++i) {
        count.counts.at(indexOfStep(step - i)) = 0;
    }
    count.lastStep = std::max(count.lastStep, step);
    count.counts.at(indexOfStep(count.lastStep)) += 1;
}

auto countWithin(const RecentCount &count, Duration window, TimePoint now) -> std::uint32_t
{
    const auto step = stepAt(now);
    const auto first = step - (std::min(window, RecentCount::MaxWindow) + RecentCount::Step - Duration(1)) / RecentCount::Step;
    const auto oldest = std::max(first, count.lastStep - static_cast<std::int64_t>(RecentCount::Steps));
    std::uint32_t sum = 0;
    for (auto each = oldest; each <= count.lastStep; ++each) {
        sum += count.counts.at(indexOfStep(each));
    }
    return sum;
}

} // namespace auburnspread
