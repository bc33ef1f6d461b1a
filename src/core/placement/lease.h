/// \file
/// The placer's lease as its holder counts it. The holder's count always ends before the platform's service gives
/// the lease to another, because it starts before the renewal is sent and the service's starts when it arrives.

#pragma once

#include "core/base/time.h"
#include "core/placement/events.h"

#include <optional>

namespace auburnspread::placement
{

struct LeaseOptions {
    Duration duration = std::chrono::seconds(15); ///< the session's TTL in the platform's service
    Duration renewInterval = std::chrono::seconds(5);
    Duration retryInterval = std::chrono::seconds(1);    ///< after a call of the holder that was not answered
    Duration standbyInterval = std::chrono::seconds(20); ///< mean time between two tries of a process that does not hold the lease
    Duration safetyMargin = std::chrono::seconds(3);     ///< no order is sent this long before the lease ends
    Duration callTimeout = std::chrono::seconds(5);      ///< a call without an answer by then is given up
};

/// A call that is not answered yet.
struct PendingCall {
    CallId call{};
    TimePoint sentAt; ///< before the call left; a lease counts from here
};

struct Lease {
    std::optional<FencingNumber> fence; ///< absent: not held
    TimePoint heldSince;                ///< when this process learnt that it holds the lease
    TimePoint validUntil;
    std::optional<PendingCall> pending;
    TimePoint nextCallAt;
    TimePoint nextWriteAt; ///< not before: the next write of the lock key for a new fencing number
};

/// Whether an order may leave at \p now.
auto mayOrder(const Lease &lease, const LeaseOptions &options, TimePoint now) -> bool;

/// The moment from which no order may leave any more, unless the lease is renewed before.
auto ordersEndAt(const Lease &lease, const LeaseOptions &options) -> TimePoint;

/// Whether the lease was held and its own count has run out.
auto hasExpired(const Lease &lease, TimePoint now) -> bool;

/// The lease is not held any more; a call under way is no longer waited for.
auto dropLease(Lease &lease, TimePoint now) -> void;

/// Takes a successful answer in. Returns whether this starts a new tenure.
auto grantLease(Lease &lease, const LeaseOptions &options, FencingNumber fence, TimePoint now) -> bool;
auto renewLease(Lease &lease, const LeaseOptions &options, TimePoint now) -> void;

} // namespace auburnspread::placement
