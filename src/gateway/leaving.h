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

struct DrainState {
    TimePoint startedAt;
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

auto beginDrain(TimePoint now) -> DrainState;

/// When the addresses that callers had cached before the drain have expired.
auto cachedAddressesExpireAt(const DrainState &drain) -> TimePoint;
/// When the entry exits at the latest.
auto exitDeadlineOf(const DrainState &drain, Duration drainTime) -> TimePoint;

/// Called periodically. \p isBusy: requests or attempts are in flight, or responses unwritten; \p drainTime: maximum time
/// from beginDrain() to the exit.
auto advanceDrain(DrainState &drain, bool isBusy, Duration drainTime, TimePoint now) -> DrainStep;

} // namespace auburnspread::gateway
