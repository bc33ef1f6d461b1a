#include "gateway/leaving.h"

#include "gateway/upstream.h"

#include <algorithm>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr int MaxCacheTimeFactor = 3;
/// Between the sending of the signal and its delivery, on a busy VM.
constexpr Duration SignalDelay = std::chrono::milliseconds(200);
/// Requests that arrive in this period before the exit may not complete in time and are refused.
constexpr Duration RefusalPeriod = std::chrono::milliseconds(2500);
/// The process exits this much before the end of the drain time, after which it is killed.
constexpr Duration ExitMargin = std::chrono::milliseconds(300);
/// Time before the exit in which the last responses are written.
constexpr Duration LastResponsesPeriod = std::chrono::milliseconds(100);
/// Once the callers' cached addresses have expired, an entry that had no request for this long is no longer in use.
constexpr Duration IdleTime = std::chrono::milliseconds(300);

/// A longer time between two services of the timer is a pause.
constexpr Duration MinPause = std::chrono::milliseconds(100);
/// A signal that came in a pause is noticed within this time after it: other events may be served first. Pauses within it are a series.
constexpr Duration PauseAftermath = std::chrono::seconds(1);

} // namespace

auto beginLoopTimes(TimePoint now) -> LoopTimes
{
    return { .servedAt = now, .servedBeforeAt = now };
}

//! NOTE after a pause the loop may serve the timer in the same round as other events, and again, before it gets to the signal
auto recordService(LoopTimes &times, TimePoint now) -> void
{
    if (now - times.servedAt >= MinPause) {
        if (times.servedAt - times.firstPauseEndedAt >= PauseAftermath) {
            times.pauseBeganAt = times.servedBeforeAt;
            times.firstPauseEndedAt = now;
        }
        times.lastPauseEndedAt = now;
    }
    times.servedBeforeAt = std::exchange(times.servedAt, now);
}

auto timeBehind(const LoopTimes &times, TimePoint now) -> Duration
{
    return std::max(now - times.servedAt - ReviewInterval, Duration::zero());
}

auto earliestSignalTime(const LoopTimes &times, TimePoint now) -> TimePoint
{
    const auto hasJustPaused = now - times.lastPauseEndedAt < PauseAftermath;
    return hasJustPaused ? std::min(times.pauseBeganAt, times.servedBeforeAt) : times.servedBeforeAt;
}

auto beginDrain(TimePoint signalAt, TimePoint noticedAt, Duration drainTime) -> DrainState
{
    return { .signalAt = signalAt, .noticedAt = noticedAt, .drainTime = drainTime, .lastBusyAt = noticedAt };
}

auto cachedAddressesExpireAt(const DrainState &drain) -> TimePoint
{
    return drain.signalAt + AddressCacheTime * MaxCacheTimeFactor - SignalDelay;
}

auto promisesEndAt(const DrainState &drain) -> TimePoint
{
    return drain.signalAt + drain.drainTime - ExitMargin;
}

auto advanceDrain(DrainState &drain, bool isBusy, TimePoint now) -> DrainStep
{
    drain.lastBusyAt = isBusy ? now : drain.lastBusyAt;
    const auto isUnused = now - drain.noticedAt > AddressCacheTime * MaxCacheTimeFactor && now - drain.lastBusyAt > IdleTime;
    if (isUnused) {
        return DrainStep::Exit;
    }
    if (!drain.refusesNewRequests && now - drain.signalAt >= drain.drainTime - RefusalPeriod) {
        drain.refusesNewRequests = true;
        return DrainStep::RefuseNewRequests;
    }
    if (!drain.endsRequests && now >= promisesEndAt(drain) - LastResponsesPeriod) {
        drain.endsRequests = true;
        return DrainStep::EndRequests;
    }
    // the signal may have been sent right before it was noticed: begun streams go on, at the risk of the kill
    return now >= drain.noticedAt + drain.drainTime - ExitMargin ? DrainStep::Exit : DrainStep::KeepServing;
}

} // namespace auburnspread::gateway
