/// \file
/// Output actions of the pass-through router. The adapter carries them out in the order in which they are returned.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/nametable.h"
#include "core/base/reason.h"
#include "core/base/time.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/crashledger.h"
#include "core/passthrough/servernotice.h"
#include "core/passthrough/streamversions.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::passthrough
{

/// Send the request to a backend server.
struct Send {
    RequestId request{};
    AttemptId attempt{};
    std::string server; ///< server id; a different server at the same address must not run the request
    std::string address;
    std::string workspace;                ///< workspace that the key belongs to; empty: none
    int rank = 0;                         ///< priority, 0 is the most urgent: by the route's tier, then by the workspace's tier
    Duration remaining{};                 ///< time left until the request's deadline
    std::string lastEventId;              ///< resume after this event; empty: from the beginning
    bool isStream = false;                ///< forward each event as it arrives
    bool isAtMostOnce = false;            ///< the server must not be interrupted while it executes the request
    bool isRepeat = false;                ///< the request was sent before
    std::optional<Failure> repeatedAfter; ///< failure of the previous attempt; not set: this is the first attempt
    SoftwareVersion version;              ///< of the server
    std::string resumedAttempt;           ///< see RequestArrived; for logs
    bool isHeldToVersion = false;         ///< the stream may go on at servers of this version only
    Duration startTimeout{};              ///< the attempt is reported as silent if no response starts within this time; 0: never
    Duration silenceTimeout{};            ///< a stream is reported as silent if no further event arrives within this time; 0: never
    std::string fetchFrom;                ///< address of an engine to copy KV cache from; empty: none
    /// \name Reasons for the choice of the server, for logs
    /// @{
    Duration estimatedStart{};        ///< expected time to the first byte
    std::uint32_t promptTokens = 0;   ///< length of the request's prompt
    std::uint32_t unreadTokens = 0;   ///< prompt tokens that the server is expected to process
    std::uint32_t fetchedTokens = 0;  ///< prompt tokens that the server copies from another engine
    std::uint32_t requestsBefore = 0; ///< requests of all entries that are in flight on the server
    std::uint32_t tokensBefore = 0;   ///< prompt tokens that wait on the server
    std::uint32_t roomTokens = 0;     ///< prompt tokens that all engines together can still accept
    std::uint32_t waitingTokens = 0;  ///< prompt tokens that are queued at all entries
    int preference = 0;               ///< rank of the server among the preferred servers of the session, from 1; 0: not among them
    std::uint64_t trialOf = 0;        ///< prompt part that is suspected of crashing servers and decided the choice; 0: none
    /// @}
};

/// Why an entry forwards a request to another entry.
enum class ForwardCause {
    ServiceCutOff,     ///< this entry can't reach the servers of the service
    FailedConnections, ///< connections to several servers failed for this request
};
auto forwardCauseName(ForwardCause cause) -> std::string_view;

/// Forward the request to another entry, which sends it to a backend server as if its caller had asked there. The response is relayed.
struct Forward {
    RequestId request{};
    AttemptId attempt{};
    std::string peer;                   ///< address at which the entry takes callers' requests
    Duration remaining{};               ///< time left until the request's deadline
    std::uint32_t sends = 0;            ///< attempts on backend servers that this entry has used up
    std::string lastEventId;            ///< resume after this event; empty: from the beginning
    bool isStream = false;              ///< relay each event as it arrives
    bool isAtMostOnce = false;          ///< see Send
    std::optional<StreamOrigin> origin; ///< where the stream that is resumed began, if it is known
    std::string service;                ///< for logs, as are all below
    ForwardCause cause{};
    std::size_t failedServers = 0; ///< servers of the service that failed since one last responded
    Duration silentFor{};          ///< time since the first of these failures
};

/// Try to establish a connection to the backend server, without a request, and report the result as ServerProbed.
struct ProbeServer {
    std::string server;
    std::string address;
};

/// This entry can't reach the servers of a service any more, or reaches them again. Idle connections to the servers must be closed when it
/// can't, because what is sent on them may be lost.
struct ReachabilityChanged {
    std::string service;
    bool isReachable = false;
    std::vector<std::string> servers; ///< all servers of the service
    std::size_t failedServers = 0;    ///< number of servers that failed since one last responded
    Duration silentFor{};             ///< time since the first of these failures
};

/// Close the attempt's connection and discard whatever still arrives on it.
struct Cancel {
    AttemptId attempt{};
};

/// The caller of a request that may run once has left: cancel the attempt if its server can't have the whole request, and report it by
/// RequestTakenBack. Otherwise the attempt goes on.
struct TakeBack {
    RequestId request{};
    AttemptId attempt{};
};

/// Send the caller the buffered response of this attempt.
struct Deliver {
    RequestId request{};
    AttemptId attempt{};
    int status = 0;
};

/// Send the caller a final response for a request that gets none from a backend server.
struct Refuse {
    RequestId request{};
    Reason reason{};
    Outcome outcome = Outcome::NotRun;
    int status = 0;
    std::optional<Duration> retryAfter;
    std::string peer;          ///< backend server concerned; empty: none
    Duration informationAge{}; ///< age of the configuration that the decision was based on; for logs
};

/// Terminate a response that has started, in a way that the caller can't mistake for its end.
struct AbortAnswer {
    RequestId request{};
    Reason reason{};
    std::string peer;
};

/// A stream was forwarded to its end.
struct Complete {
    RequestId request{};
};

/// Report to the other entries which backend servers dropped the connection while they ran this suspect.
struct ReportCrashes {
    Suspect suspect;
    std::vector<CrashIncident> incidents; ///< empty: the suspect proved sound after such incidents
    TimePoint provenAt;                   ///< see CrashesReported
    bool isQuarantined = false;
    Duration firstIncidentAge{}; ///< time since the first of the incidents; for logs
};

/// The rate limit that this entry applies to a backend server changed; for logs.
struct RateLimitChanged {
    std::string server;
    std::optional<double> perSecond; ///< requests from all entries together; not set: no limit
    Duration age{};                  ///< time since the response that stated the limit
    std::uint32_t sharers = 0;       ///< number of entries that send requests to the server
    bool isSharer = false;           ///< whether this entry is one of them
};

/// A backend server stated that it wants no requests; for logs.
struct NoticeApplied {
    std::string server;
    ServerNotice notice;
};

/// A server bears another number of rejections than this entry knew; for logs.
struct BrittlenessChanged {
    std::string server;
    std::string service;
    std::optional<double> rejectionsPerSecond; ///< caused by all entries together; not set: any number
    bool mayFill = false;                      ///< whether this entry is one of those that may fill the server
};

/// Report to other entries where a stream began. It must be sent before the first event goes to the caller, who may take the stream up at
/// once elsewhere.
struct ReportOrigin {
    StreamId stream{};
    StreamOrigin origin;
    std::vector<std::string> entries; ///< names of the entries
};

/// Ask other entries where a stream began, and which versions the service has had; they answer by OriginReported or OriginUnknown.
struct AskOrigin {
    RequestId request{};
    StreamId stream{};
    std::string service;
    std::vector<std::string> entries; ///< names of the entries
};

/// How an entry came to know where the stream that a caller takes up again began; for logs.
enum class OriginSource {
    Own,         ///< this entry began it, or was told
    Forwarded,   ///< the entry that forwarded the request knew it
    OtherEntry,  ///< another entry answered
    SoleVersion, ///< the service has had no other version for as long as the stream can be old
    Unknown,
};
auto originSourceName(OriginSource source) -> std::string_view;

/// A stream that a caller takes up again is held to a software version, or its version is not known; for logs.
struct OriginResolved {
    RequestId request{};
    StreamOrigin origin; ///< version empty if the source is Unknown
    OriginSource source{};
    std::string resumedAttempt;
    Duration after{};   ///< time since the request arrived
    Duration listAge{}; ///< age of the list of backend servers
    Duration history{}; ///< time for which this entry knows all versions of the service
};

/// Why a request whose server is silent is not sent to another server as well.
enum class KeptBecause {
    AttemptsUsed,    ///< the route allows no further attempt
    DeadlineNear,    ///< no other response would arrive in time
    AccessUncertain, ///< its key is withdrawn, or may be
    Quarantined,     ///< it crashes the servers that run it, or a part of its prompt is suspected of that
    UrgentWaiting,   ///< a more urgent request waits for a server of the service
    NoServer,        ///< no other server that responds has room
    RetryBudget,     ///< the retry budget of the service is used up
};
auto keptBecauseTable() -> std::span<const NamedValue<KeptBecause>>;
auto keptBecauseName(KeptBecause reason) -> std::string_view;

/// What becomes of a request whose server is silent; for logs. Repeated when the decision changes.
struct SilenceJudged {
    RequestId request{};
    AttemptId attempt{};
    std::string server;
    Failure timeout{};
    Duration silentFor{};
    std::optional<Duration> othersSilentFor; ///< time since any other server of the service sent this entry something; not set: none has
    std::optional<KeptBecause> keptBecause;  ///< not set: the request is sent to another server as well
};

/// One of several attempts of a request went on, and the others are cancelled; for logs.
struct AttemptPreferred {
    RequestId request{};
    AttemptId attempt{};
    std::string server;
    bool isReplacement = false; ///< whether it was sent because the server of an earlier one was silent
};

/// An entry that is leaving accepted a request, or refused it because it may not be answered before the entry exits; for logs.
struct LateRequestJudged {
    RequestId request{};
    std::string route;
    Duration remaining{}; ///< until the entry exits
    Duration timeLimit{}; ///< within which the request ends, whatever its server does
};

constexpr auto isAccepted(const LateRequestJudged &judged) -> bool
{
    return judged.timeLimit <= judged.remaining;
}

using Action = std::variant<Send,
                            Cancel,
                            TakeBack,
                            Deliver,
                            Refuse,
                            AbortAnswer,
                            Complete,
                            ReportCrashes,
                            RateLimitChanged,
                            NoticeApplied,
                            Forward,
                            ProbeServer,
                            ReachabilityChanged,
                            ReportOrigin,
                            AskOrigin,
                            OriginResolved,
                            BrittlenessChanged,
                            SilenceJudged,
                            AttemptPreferred,
                            LateRequestJudged>;
using Actions = std::vector<Action>;

} // namespace auburnspread::passthrough
