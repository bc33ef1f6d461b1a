#include "core/passthrough/servernotice.h"

#include <utility>

namespace auburnspread::passthrough
{

auto applyNotice(StatedAvailability &availability, const ServerNotice &notice) -> bool
{
    return notice.isLeaving && !std::exchange(availability.isLeaving, true);
}

auto acceptsRequests(const StatedAvailability &availability) -> bool
{
    return !availability.isLeaving;
}

} // namespace auburnspread::passthrough
