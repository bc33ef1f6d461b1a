#include "gateway/leaving.h"

namespace auburnspread::gateway
{

namespace
{

constexpr int LongestKeepFactor = 3;
/// Requests that arrive later than this before the end may not end in time, and are refused.
constexpr Duration ClosingTime = std::chrono::milliseconds(2500);
/// The process ends by itself before it is killed.
constexpr Duration EndMargin = std::chrono::milliseconds(300);
/// Without a request for this long after callers have forgotten it, nobody uses the entry.
constexpr Duration QuietTime = std::chrono::milliseconds(300);

} // namespace

auto beginLeaving(TimePoint now) -> Leaving
{
    return { .since = now, .lastBusyAt = now };
}

auto stepLeaving(Leaving &leaving, bool isBusy, Duration leavingTime, TimePoint now) -> LeavingStep
{
    const auto gone = now - leaving.since;
    leaving.lastBusyAt = isBusy ? now : leaving.lastBusyAt;
    const auto isUnused = gone > AddressKeep * LongestKeepFactor && now - leaving.lastBusyAt > QuietTime;
    if (isUnused || gone >= leavingTime - EndMargin) {
        return LeavingStep::End;
    }
    if (!leaving.refuses && gone >= leavingTime - ClosingTime) {
        leaving.refuses = true;
        return LeavingStep::RefuseNew;
    }
    return LeavingStep::ServeOn;
}

} // namespace auburnspread::gateway
