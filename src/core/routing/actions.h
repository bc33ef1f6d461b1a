/// \file
/// What the router wants done. An adapter carries the actions out in order and reports back by events.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/reason.h"
#include "core/base/time.h"
#include "core/routing/events.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::routing
{

/// Send the request to a backend server as attempt \c attempt.
struct Dispatch {
    RequestId request{};
    AttemptId attempt{};
    std::string backend;
    std::string address;
    std::string model;
    std::string version;
    std::string adapter;
    int priority = 0;               ///< the class's tier, 0 first
    std::uint32_t resumeOffset = 0; ///< tokens already relayed; 0: from the beginning, and what an earlier attempt left unsent is dropped
    bool freshConnection = false;   ///< do not reuse an idle connection
    Duration firstTokenTimeout{};
    Duration progressTimeout{};
};

/// Relay what this attempt sends, from now on and what was held; no other attempt of the request may relay. Tokens that another attempt
/// has relayed already are left out.
struct CommitAttempt {
    RequestId request{};
    AttemptId attempt{};
    std::uint32_t relayedTokens = 0; ///< of the whole request, as far as the router knows
};

/// Close the attempt's connection; whatever still arrives from it is discarded and counted as waste.
struct CancelAttempt {
    AttemptId attempt{};
};

/// The final answer of a request that got none: at once, never held back. After the first relayed byte it
/// becomes an SSE error event.
struct Refuse {
    RequestId request{};
    Reason reason{};
    Outcome outcome = Outcome::NotRun;
    std::optional<Duration> retryAfter;
    std::string step; ///< the step of the pipe at which it arose
    std::string peer; ///< the backend server or peer concerned; empty: none
};

/// The request ended well; the router forgot it. For accounting.
struct Completed {
    RequestId request{};
    std::string requestClass;
    Duration firstToken{};
    Duration answer{};
    std::uint32_t tokens = 0;
    bool onTime = false; ///< first token and whole answer within the class's targets
};

/// A retry is made; one counter for each failure that led to it.
struct Retried {
    RequestId request{};
    Failure failure{};
    bool resumed = false;
};

/// Claim a non-repeatable request's key before it is dispatched.
struct ClaimKey {
    RequestId request{};
    std::string workspace;
    std::string idempotencyKey;
};

/// Tell the cell about a fingerprint; the peers hear it as QuarantineHeard from this entry.
struct TellQuarantine {
    Fingerprint fingerprint{};
    QuarantineHeard::Mark mark = QuarantineHeard::Mark::Quarantined;
    std::string server; ///< of Suspect: the one that crashed; of Retrying: where it runs, empty: it is about to
};

/// Probe a backend server on a new connection and report ProbeSettled.
struct ProbeBackend {
    std::string backend;
    std::string address;
};

/// After DrainStarted: no request is left, the entry may exit.
struct Drained {
};

using Action = std::variant<Dispatch, CommitAttempt, CancelAttempt, Refuse, Completed, Retried, ClaimKey, TellQuarantine, ProbeBackend, Drained>;

using Actions = std::vector<Action>;

} // namespace auburnspread::routing
