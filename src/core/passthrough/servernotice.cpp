#include "core/passthrough/servernotice.h"

#include <algorithm>
#include <utility>

namespace auburnspread::passthrough
{

auto isNotice(const ServerNotice &notice) -> bool
{
    return notice.isLeaving || notice.backoff;
}

auto applyNotice(StatedAvailability &availability, const ServerNotice &notice, TimePoint now) -> bool
{
    const auto startsLeaving = notice.isLeaving && !std::exchange(availability.isLeaving, true);
    if (!notice.backoff) {
        return startsLeaving;
    }
    const auto startsBackoff = !isInBackoff(availability, now);
    availability.backoffUntil = std::max(availability.backoffUntil, now + *notice.backoff);
    return startsLeaving || startsBackoff;
}

auto isInBackoff(const StatedAvailability &availability, TimePoint now) -> bool
{
    return now < availability.backoffUntil;
}

auto acceptsRequests(const StatedAvailability &availability, TimePoint now) -> bool
{
    return !availability.isLeaving && !isInBackoff(availability, now);
}

} // namespace auburnspread::passthrough
