/// \file
/// Connection draining of an entry that shuts down: when it starts to refuse new requests and when it exits. Pure functions.
///
/// Callers cache the list of entries for some seconds and keep their connections until a response closes them. If the entry
/// exited while callers still used its address, their new connections would be refused and requests on kept-alive connections
/// would be cut off. The entry therefore serves requests for as long as they may arrive. Once the cached addresses have expired, the router
/// refuses those that may not complete before the exit, and in the last period all of them.

#pragma once

#include "core/base/time.h"

namespace auburnspread::gateway
{

/// Time for which callers may cache the addresses of the entries. Some callers keep them three times as long.
constexpr Duration AddressCacheTime = std::chrono::seconds(1);

/// When the event loop served a periodic timer, and its last pauses. A process that does not run notices a signal late.
struct LoopTimes {
    TimePoint servedAt;
    TimePoint servedBeforeAt;
    TimePoint pauseBeganAt;      ///< of the first pause of the last series
    TimePoint firstPauseEndedAt; ///< of the same series
    TimePoint lastPauseEndedAt;
};

/// For an event loop that starts now.
auto beginLoopTimes(TimePoint now) -> LoopTimes;
auto recordService(LoopTimes &times, TimePoint now) -> void;
/// How far the event loop is behind: for how long the periodic timer is overdue, zero if it is not.
auto timeBehind(const LoopTimes &times, TimePoint now) -> Duration;
/// Earliest time at which a signal that is noticed now may have been sent.
auto earliestSignalTime(const LoopTimes &times, TimePoint now) -> TimePoint;

struct DrainState {
    TimePoint signalAt; ///< earliest time at which the termination signal may have been sent; the kill counts from the signal
    TimePoint noticedAt;
    Duration drainTime{}; ///< from the signal until the process is killed
    TimePoint lastBusyAt;
    bool refusesNewRequests = false;
    bool endsRequests = false;
};

enum class DrainStep {
    KeepServing,
    RefuseNewRequests, ///< from now on; returned once
    EndRequests,       ///< whose responses have not begun; returned once
    Exit,
};

auto beginDrain(TimePoint signalAt, TimePoint noticedAt, Duration drainTime) -> DrainState;

/// When the addresses that callers had cached before the signal have expired.
auto cachedAddressesExpireAt(const DrainState &drain) -> TimePoint;
/// When responses that are promised have ended: the process may be killed soon after.
auto promisesEndAt(const DrainState &drain) -> TimePoint;

/// Called periodically. \p isBusy: requests or attempts are in flight, or responses unwritten
auto advanceDrain(DrainState &drain, bool isBusy, TimePoint now) -> DrainStep;

} // namespace auburnspread::gateway
