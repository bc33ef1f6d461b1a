/// \file
/// What the router of the pass-through face wants done, in order.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/reason.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::passthrough
{

/// Send the request to a backend server.
struct Send {
    RequestId request{};
    AttemptId attempt{};
    std::string server; ///< id; another server at this address must not run the request
    std::string address;
    std::string workspace;                ///< that the key belongs to; empty: none
    int rank = 0;                         ///< of urgency, 0 first: by the route's tier, within it by the workspace's
    Duration remaining{};                 ///< until the request's deadline
    std::string lastEventId;              ///< resume after this event; empty: from the beginning
    bool isStream = false;                ///< relay each event as it arrives
    bool isRepeat = false;                ///< the request was sent before
    std::optional<Failure> repeatedAfter; ///< of the attempt before; not set: this is the first
    Duration startTimeout{};              ///< without any answer by then the attempt has failed
    Duration silenceTimeout{};            ///< a stream without a further event for this long has failed
    std::string fetchFrom;                ///< address of an engine to copy KV cache from; empty: none
    /// \name Why this server, for logs
    /// @{
    Duration estimatedStart{};        ///< expected time to the first byte
    std::uint32_t promptTokens = 0;   ///< of the request
    std::uint32_t unreadTokens = 0;   ///< of these, that the server is expected to read
    std::uint32_t fetchedTokens = 0;  ///< of these, that it copies from another engine
    std::uint32_t requestsBefore = 0; ///< on the server, of all entries
    std::uint32_t tokensBefore = 0;   ///< of prompts that wait there
    std::uint32_t roomTokens = 0;     ///< that all engines may still be given to read
    std::uint32_t waitingTokens = 0;  ///< of prompts that wait at all entries
    int preference = 0;               ///< place of the server among those of the request's session, from 1; 0: none
    /// @}
};

/// Close the attempt's connection; whatever still arrives is dropped.
struct Cancel {
    AttemptId attempt{};
};

/// Give the caller the whole answer of this attempt.
struct Deliver {
    RequestId request{};
    AttemptId attempt{};
    int status = 0;
};

/// The final answer of a request that gets none from a backend server, at once.
struct Refuse {
    RequestId request{};
    Reason reason{};
    Outcome outcome = Outcome::NotRun;
    int status = 0;
    std::optional<Duration> retryAfter;
    std::string peer;          ///< backend server concerned; empty: none
    Duration informationAge{}; ///< how old the configuration is that decided; for logs
};

/// End the answer that was begun so that it can't be taken for complete.
struct Break {
    RequestId request{};
    Reason reason{};
    std::string peer;
};

/// A stream was relayed to its end.
struct Complete {
    RequestId request{};
};

/// Tell the other entries that \c crashes backend servers broke off while they ran this request.
struct TellCrashes {
    Fingerprint fingerprint{};
    std::uint32_t crashes = 0;
};

/// This entry believes from now on that a backend server takes requests at this rate; for logs.
struct LimitChanged {
    std::string server;
    std::optional<double> perSecond; ///< from all entries together; not set: any
    Duration age{};                  ///< of the answer that said so
    std::uint32_t sharers = 0;       ///< entries that send there
    bool isSharer = false;           ///< this entry is one of them
};

using Action = std::variant<Send, Cancel, Deliver, Refuse, Break, Complete, TellCrashes, LimitChanged>;
using Actions = std::vector<Action>;

} // namespace auburnspread::passthrough
