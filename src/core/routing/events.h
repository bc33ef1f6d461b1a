/// \file
/// What can happen to the router. Events are plain data; an adapter turns sockets, timers and messages into them.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/configuration/document.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::routing
{

enum class CallKind {
    Chat,    ///< a model class: POST /v1/chat/completions
    Service, ///< a plain service: ANY /services/<name>/<path>
};

/// A caller's request after its bytes were read and its fields identified. Names are not checked yet.
struct RequestArrived {
    RequestId request{};
    CallKind kind = CallKind::Chat;
    std::string workspace;
    std::string requestClass;
    std::string model;   ///< empty: the class's default
    std::string version; ///< empty: the model's default
    std::string adapter; ///< empty: none
    std::string service; ///< of a service call
    std::string method;
    std::string path;                 ///< of a service call, without /services/<name>
    std::string idempotencyKey;       ///< empty: none
    std::optional<bool> repeatable;   ///< the caller's header; absent: from the class or the service's table
    std::optional<Duration> deadline; ///< may only shorten the class's target
    std::uint32_t promptTokens = 0;   ///< estimated from the body's length
    std::uint32_t maxTokens = 0;      ///< 0: not given
    Fingerprint fingerprint{};
    std::uint64_t prefixHash = 0; ///< of the prompt's beginning, for prefix-cache affinity; 0: none
    bool stream = true;           ///< false: nothing reaches the caller before the whole answer is there, so it may be restarted from nothing
};

/// The caller closed its connection.
struct CallerGone {
    RequestId request{};
};

/// The first token, or the response headers of a plain service, arrived. Held until CommitAttempt.
struct AttemptStarted {
    AttemptId attempt{};
};

/// More tokens of a committed attempt were relayed. Sent at intervals, not for each token.
struct AttemptProgress {
    AttemptId attempt{};
    std::uint32_t relayedTokens = 0; ///< of the whole request so far
};

/// The answer is complete and was relayed with its terminator.
struct AttemptFinished {
    AttemptId attempt{};
    std::uint32_t relayedTokens = 0; ///< of the whole request
};

struct AttemptFailed {
    AttemptId attempt{};
    Failure failure{};
    std::uint32_t relayedTokens = 0; ///< of the whole request: where a resumed attempt must begin
    std::uint32_t wastedTokens = 0;  ///< received from this attempt and not relayed
};

/// A backend server has sent nothing of an answer for as long as the attempt's timeouts allow. The attempt goes on; the event is repeated
/// while the silence lasts, and AttemptStarted or AttemptProgress follows once the server sends again.
struct AttemptSilent {
    AttemptId attempt{};
    Failure timeout{};               ///< FirstTokenTimeout or ProgressTimeout
    std::uint32_t relayedTokens = 0; ///< of the whole request: where another attempt begins
};

/// A backend server's own load report; it lags.
struct LoadReported {
    std::string backend;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Duration age{};
};

/// A backend server answered or failed a health probe on a connection of its own.
struct ProbeSettled {
    std::string backend;
    bool healthy = false;
};

/// The platform's list, or an operator, says that a backend server's VM leaves (or no longer does).
struct BackendLeaving {
    std::string backend;
    bool leaving = true;
};

enum class ClaimResult {
    Claimed,     ///< this entry may dispatch the request, once
    Duplicate,   ///< the key was claimed before, here or elsewhere
    Unavailable, ///< not known: the platform's service does not answer
};

struct ClaimSettled {
    RequestId request{};
    ClaimResult result{};
};

/// What another entry of the cell holds, heard a few times a second.
struct PeerReported {
    struct BackendUse {
        std::string backend;
        std::uint32_t inFlight = 0;
    };
    struct ModelDemand {
        std::string model; ///< or `service:` and the name of a plain service
        std::uint32_t waiting = 0;
        std::uint32_t inFlight = 0;
    };
    struct WorkspaceUse {
        std::string workspace;
        std::uint32_t requests = 0; ///< asked for since the last report, refused ones included
        std::uint32_t tokens = 0;   ///< that these are expected to use
        std::uint32_t inFlight = 0; ///< accepted and not yet ended
    };
    std::string entry;
    std::vector<BackendUse> backends;
    std::vector<ModelDemand> demand;
    std::vector<WorkspaceUse> workspaces;
};

/// The entries of the cell that are alive and not leaving, this one included if it is not leaving.
struct CellChanged {
    std::vector<std::string> entries;
};

/// Another entry, or an operator, says that a fingerprint is suspect, quarantined or released.
struct QuarantineHeard {
    enum class Mark {
        Suspect,    ///< one crash was seen while it ran
        Retrying,   ///< its one retry runs, or is about to run, at \c entry
        RetryEnded, ///< that retry ended without a crash or an answer
        Cleared,    ///< it completed
        Quarantined,
        Released, ///< by an operator
    };
    Fingerprint fingerprint{};
    Mark mark = Mark::Quarantined;
    std::string entry;  ///< who says so; empty: an operator here
    std::string server; ///< of Suspect: the one that crashed; of Retrying: where it runs, empty: it is about to
};

struct ConfigurationAdopted {
    std::shared_ptr<const configuration::AdoptedDocument> configuration;
};

/// This entry leaves: nothing new is accepted, what is in flight or queued ends.
struct DrainStarted {
};

/// Time has passed; deadlines, starvation and probation are checked.
struct Tick {
};

using Event = std::variant<RequestArrived,
                           CallerGone,
                           AttemptStarted,
                           AttemptProgress,
                           AttemptFinished,
                           AttemptFailed,
                           AttemptSilent,
                           LoadReported,
                           ProbeSettled,
                           BackendLeaving,
                           ClaimSettled,
                           PeerReported,
                           CellChanged,
                           QuarantineHeard,
                           ConfigurationAdopted,
                           DrainStarted,
                           Tick>;

} // namespace auburnspread::routing
