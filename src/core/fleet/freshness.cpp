#include "core/fleet/freshness.h"

#include <algorithm>

namespace auburnspread::fleet
{

namespace
{

/// Time in which an entry that starts finds others that have recent data.
constexpr Duration StartupTime = std::chrono::milliseconds(2200);
/// Delay after a read that brought nothing.
constexpr Duration RetryDelay = std::chrono::milliseconds(6400);

} // namespace

auto makeFreshness(TimePoint startedAt) -> Freshness
{
    return { .startedAt = startedAt };
}

auto takeDueRead(Freshness &freshness, TimePoint asOf, TimePoint now) -> bool
{
    if (now < nextReadAt(freshness, asOf)) {
        return false;
    }
    freshness.lastReadAt = now;
    return true;
}

auto nextReadAt(const Freshness &freshness, TimePoint asOf) -> TimePoint
{
    const auto dueAt = (asOf < freshness.startedAt ? freshness.startedAt + StartupTime : asOf) + MaxDataAge;
    const auto hasBroughtNothing = freshness.lastReadAt && asOf < *freshness.lastReadAt;
    return hasBroughtNothing ? std::max(dueAt, *freshness.lastReadAt + RetryDelay) : dueAt;
}

} // namespace auburnspread::fleet
