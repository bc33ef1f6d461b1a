/// \file
/// What a backend server states about its availability in its own answers.
///
/// The registry may be unreachable, or list a change seconds after the server stated it. An entry therefore applies what a server states
/// at once, in addition to the list, and only to this run of the server: a server that restarts or that takes over an address is not
/// affected. Entries do not share these statements: a backoff is requested from the entry that gets the answer.

#pragma once

#include "core/base/time.h"

#include <optional>

namespace auburnspread::passthrough
{

/// The statement in the head of one answer.
struct ServerNotice {
    bool isLeaving = false;          ///< the server takes no new requests and is about to exit
    std::optional<Duration> backoff; ///< the server has rejected the request and wants no further ones from this entry for so long
};

/// Whether the answer states anything.
auto isNotice(const ServerNotice &notice) -> bool;

/// What a server has stated so far.
struct StatedAvailability {
    bool isLeaving = false; ///< never cleared: a server that is leaving does not change its mind, and later answers may arrive out of order
    TimePoint backoffUntil; ///< latest end of the requested backoffs
};

/// \return whether the server no longer accepts requests for a reason that was not known before
auto applyNotice(StatedAvailability &availability, const ServerNotice &notice, TimePoint now) -> bool;

/// Whether the server has requested a backoff that has not ended.
auto isInBackoff(const StatedAvailability &availability, TimePoint now) -> bool;

/// Whether the server wants new requests, as far as it has stated.
auto acceptsRequests(const StatedAvailability &availability, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
