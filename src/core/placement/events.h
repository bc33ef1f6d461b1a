/// \file
/// What can happen to the placer.

#pragma once

#include "core/configuration/document.h"
#include "core/placement/serverstate.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace auburnspread::placement
{

/// Number of one call that the placer asked for; its answer carries it, so that late answers are told apart.
enum class CallId : std::uint64_t {};

/// Rises with each write of the lock key: an order with a greater number was decided later.
using FencingNumber = std::uint64_t;

/// The lock key is held by this process's session; \c fence is the key's ModifyIndex after this write.
struct LeaseGranted {
    CallId call{};
    FencingNumber fence = 0;
};

enum class LeaseFailure {
    HeldElsewhere, ///< another session holds the lock key
    SessionGone,   ///< the platform's service does not know the session any more
    Unknown,       ///< no answer: the write may have taken effect
};

/// Answer to AcquireLease or RenewLease.
struct LeaseFailed {
    CallId call{};
    LeaseFailure failure{};
};

struct LeaseRenewed {
    CallId call{};
};

/// A document, read because of ReadDocument (\c call is set) or heard from a watch.
struct DocumentRead {
    CallId call{};
    std::shared_ptr<const configuration::AdoptedDocument> document;
};

struct DocumentReadFailed {
    CallId call{};
};

/// What a backend server says of itself.
struct ServerReport {
    FencingNumber fence = 0; ///< of the last order it took
    ServerState state;
    Variants loading; ///< what it was ordered to have and still loads

    auto operator==(const ServerReport &) const -> bool = default;
};

struct ServerRead {
    CallId call{};
    std::string backend;
    ServerReport report;
};

struct ServerReadFailed {
    CallId call{};
    std::string backend;
};

enum class OrderResult {
    Accepted,
    OldFence, ///< the backend server checks and knows a newer fencing number
    Refused,  ///< an error answer: the order did not take effect
    NotSent,  ///< the lease ran out before the order left, or the connection was not made
    Unknown,  ///< no answer in time: it may take effect still
};

struct OrderSettled {
    CallId call{};
    std::string backend;
    OrderResult result{};
    FencingNumber currentFence = 0; ///< with OldFence
};

/// The platform's list says that a backend server's VM leaves (or no longer does).
struct BackendLeaving {
    std::string backend;
    bool leaving = true;
};

struct StopRequested {
};

struct Tick {
};

using Event = std::variant<LeaseGranted,
                           LeaseFailed,
                           LeaseRenewed,
                           DocumentRead,
                           DocumentReadFailed,
                           ServerRead,
                           ServerReadFailed,
                           OrderSettled,
                           BackendLeaving,
                           StopRequested,
                           Tick>;

} // namespace auburnspread::placement
