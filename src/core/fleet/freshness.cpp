#include "core/fleet/freshness.h"

#include <algorithm>

namespace auburnspread::fleet
{

namespace
{

/// Time in which an entry that starts finds others that have recent data.
constexpr Duration StartupTime = std::chrono::milliseconds(2200);
/// Delay after a read that brought nothing, doubled each time.
constexpr Duration MinRetryDelay = std::chrono::milliseconds(800);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(3200);

auto hasBroughtNothing(const Freshness &freshness, TimePoint asOf) -> bool
{
    return freshness.lastRead && asOf < freshness.lastRead->at;
}

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
    const auto retryDelay = hasBroughtNothing(freshness, asOf) ? 2 * freshness.lastRead->retryDelay : MinRetryDelay;
    freshness.lastRead = { .at = now, .retryDelay = std::min(retryDelay, MaxRetryDelay) };
    return true;
}

auto nextReadAt(const Freshness &freshness, TimePoint asOf) -> TimePoint
{
    const auto dueAt = (asOf < freshness.startedAt ? freshness.startedAt + StartupTime : asOf) + MaxDataAge;
    return hasBroughtNothing(freshness, asOf) ? std::max(dueAt, freshness.lastRead->at + freshness.lastRead->retryDelay) : dueAt;
}

} // namespace auburnspread::fleet
