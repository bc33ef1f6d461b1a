#include "core/base/recentcount.h"

#include <algorithm>

namespace auburnspread
{

namespace
{

auto stepOf(TimePoint time) -> std::int64_t
{
    return time.time_since_epoch() / RecentCount::Step;
}

auto slotOf(std::int64_t step) -> std::size_t
{
    constexpr auto Slots = static_cast<std::int64_t>(RecentCount::Steps + 1);
    return static_cast<std::size_t>((step % Slots + Slots) % Slots);
}

} // namespace

auto addOne(RecentCount &count, TimePoint now) -> void
{
    const auto step = stepOf(now);
    const auto passed = std::min<std::int64_t>(step - count.lastStep, RecentCount::Steps + 1);
    for (std::int64_t i = 0; i < passed; ++i) {
        count.counts.at(slotOf(step - i)) = 0;
    }
    count.lastStep = std::max(count.lastStep, step);
    count.counts.at(slotOf(count.lastStep)) += 1;
}

auto countWithin(const RecentCount &count, Duration window, TimePoint now) -> std::uint32_t
{
    const auto step = stepOf(now);
    const auto first = step - (std::min(window, RecentCount::Longest) + RecentCount::Step - Duration(1)) / RecentCount::Step;
    const auto oldest = std::max(first, count.lastStep - static_cast<std::int64_t>(RecentCount::Steps));
    std::uint32_t sum = 0;
    for (auto each = oldest; each <= count.lastStep; ++each) {
        sum += count.counts.at(slotOf(each));
    }
    return sum;
}

} // namespace auburnspread
