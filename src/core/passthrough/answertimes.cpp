#include "core/passthrough/answertimes.h"

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

constexpr Duration SliceLength = std::chrono::milliseconds(500);
constexpr Duration Memory = std::chrono::minutes(1);

auto sliceBegin(TimePoint time) -> TimePoint
{
    return time - time.time_since_epoch() % SliceLength;
}

auto oldestSlice(TimePoint now) -> TimePoint
{
    return sliceBegin(now - Memory);
}

} // namespace

auto recordAnswerTime(AnswerTimes &times, TimePoint arrived, AnswerEnd end, TimePoint now) -> void
{
    times.slices.erase(times.slices.begin(), times.slices.lower_bound(oldestSlice(now)));
    auto &slice = times.slices[sliceBegin(now)];
    slice.longest = std::max(slice.longest, now - arrived);
    slice.hasRunOut = slice.hasRunOut || end == AnswerEnd::OutOfTime;
    if (end == AnswerEnd::Whole && sliceBegin(arrived) >= oldestSlice(now)) {
        times.slices[sliceBegin(arrived)].answered += 1;
    }
}

auto knownAnswerTimes(const AnswerTimes &times, Duration limit, TimePoint now) -> KnownAnswerTimes
{
    KnownAnswerTimes known{ .since = now };
    for (auto each = times.slices.lower_bound(oldestSlice(now)); each != times.slices.end(); ++each) {
        const auto &[begin, slice] = *each;
        known.longest = std::max(known.longest, slice.longest);
        known.hasRunOut = known.hasRunOut || slice.hasRunOut;
        if (slice.answered > 0 && begin + SliceLength <= now - limit) {
            known.requests += slice.answered;
            known.since = std::min(known.since, begin);
        }
    }
    return known;
}

auto isOutdated(const AnswerTimes &times, TimePoint now) -> bool
{
    return times.slices.empty() || times.slices.rbegin()->first < oldestSlice(now);
}

} // namespace auburnspread::passthrough
