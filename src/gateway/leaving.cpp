#include "gateway/leaving.h"

namespace auburnspread::gateway
{

namespace
{

constexpr int MaxCacheTimeFactor = 3;
/// On a busy VM the process notices the signal this much later.
constexpr Duration SignalDelay = std::chrono::milliseconds(200);
/// Requests that arrive in this period before the exit may not complete in time and are refused.
constexpr Duration RefusalPeriod = std::chrono::milliseconds(2500);
/// The process exits this much before the end of the drain time, after which it is killed.
constexpr Duration ExitMargin = std::chrono::milliseconds(300);
/// Time before the exit in which the last responses are written.
constexpr Duration LastResponsesPeriod = std::chrono::milliseconds(100);
/// Once the callers' cached addresses have expired, an entry that had no request for this long is no longer in use.
constexpr Duration IdleTime = std::chrono::milliseconds(300);

} // namespace

auto beginDrain(TimePoint now) -> DrainState
{
    return { .startedAt = now, .lastBusyAt = now };
}

auto cachedAddressesExpireAt(const DrainState &drain) -> TimePoint
{
    return drain.startedAt + AddressCacheTime * MaxCacheTimeFactor - SignalDelay;
}

auto exitDeadlineOf(const DrainState &drain, Duration drainTime) -> TimePoint
{
    return drain.startedAt + drainTime - ExitMargin;
}

auto advanceDrain(DrainState &drain, bool isBusy, Duration drainTime, TimePoint now) -> DrainStep
{
    const auto exitAt = exitDeadlineOf(drain, drainTime);
    drain.lastBusyAt = isBusy ? now : drain.lastBusyAt;
    const auto isUnused = now - drain.startedAt > AddressCacheTime * MaxCacheTimeFactor && now - drain.lastBusyAt > IdleTime;
    if (isUnused) {
        return DrainStep::Exit;
    }
    if (!drain.refusesNewRequests && now - drain.startedAt >= drainTime - RefusalPeriod) {
        drain.refusesNewRequests = true;
        return DrainStep::RefuseNewRequests;
    }
    if (!drain.endsRequests && now >= exitAt - LastResponsesPeriod) {
        drain.endsRequests = true;
        return DrainStep::EndRequests;
    }
    return now >= exitAt ? DrainStep::Exit : DrainStep::KeepServing;
}

} // namespace auburnspread::gateway
