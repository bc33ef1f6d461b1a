/// \file
/// What the placer wants done. An adapter carries the actions out and reports back by events.

#pragma once

#include "core/base/time.h"
#include "core/placement/decision.h"
#include "core/placement/events.h"

#include <string>
#include <variant>
#include <vector>

namespace auburnspread::placement
{

/// Create the session or renew it, write the lock key with it, and report the key's ModifyIndex.
struct AcquireLease {
    CallId call{};
};

struct RenewLease {
    CallId call{};
};

/// Give the lease back: destroy the session.
struct ReleaseLease {
};

/// Read the document from the platform's service, not from a cache.
struct ReadDocument {
    CallId call{};
};

struct ReadServer {
    CallId call{};
    std::string backend;
    std::string address;
};

/// Order a backend server into a state. It names the wanted state, not a step: a repeat changes nothing.
struct SendOrder {
    CallId call{};
    std::string backend;
    std::string address;
    FencingNumber fence = 0;
    std::uint64_t version = 0; ///< of the document that wants it
    ServerState state;
    /// The adapter compares its clock with this just before it writes, and reports NotSent if it is past. The
    /// decision alone is not enough: the process may have been paused between it and the write.
    TimePoint sendBefore;
};

/// A decision and its cause, for logs and counters. Repeated only when it changes.
struct Explain {
    Decision decision{};
    std::string backend; ///< empty: concerns the placer itself
    std::string detail;
};

/// After StopRequested: nothing is under way, the process may exit.
struct Stopped {
};

using Action = std::variant<AcquireLease, RenewLease, ReleaseLease, ReadDocument, ReadServer, SendOrder, Explain, Stopped>;
using Actions = std::vector<Action>;

} // namespace auburnspread::placement
