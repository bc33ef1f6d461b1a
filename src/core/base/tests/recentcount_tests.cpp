#include "core/base/recentcount.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

using namespace auburnspread;

namespace
{

auto countBetween(const std::vector<TimePoint> &times, TimePoint after, TimePoint until) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(times.begin(), times.end(), [&](TimePoint each) { return each > after && each <= until; }));
}

} // namespace

/// Guards against a count that misses events, which would allow more requests than a limit.
RC_GTEST_PROP(RecentCountTests, allEventsWithinTheWindowAndNoneOlderThanOneMoreStepAreCounted, (const std::vector<std::uint16_t> &pauses))
{
    RecentCount count;
    std::vector<TimePoint> times;
    TimePoint now(std::chrono::hours(1));
    for (const auto pause : pauses) {
        now += std::chrono::milliseconds(pause % 3000);
        addOne(count, now);
        times.push_back(now);
        for (const Duration window : { Duration(std::chrono::seconds(1)), RecentCount::MaxWindow }) {
            const auto counted = countWithin(count, window, now);
            RC_ASSERT(counted >= countBetween(times, now - window, now));
            RC_ASSERT(counted <= countBetween(times, now - window - RecentCount::Step, now));
        }
    }
    RC_ASSERT(countWithin(count, RecentCount::MaxWindow, now + std::chrono::seconds(5)) == 0U);
}
