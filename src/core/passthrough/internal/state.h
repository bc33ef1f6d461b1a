/// \file
/// State that the pass-through router keeps between events.

#pragma once

#include "core/passthrough/actions.h"
#include "core/passthrough/crashledger.h"
#include "core/passthrough/enginesplit.h"
#include "core/passthrough/events.h"
#include "core/passthrough/peertable.h"
#include "core/passthrough/placement.h"
#include "core/passthrough/reachability.h"
#include "core/passthrough/retrybudget.h"
#include "core/passthrough/router.h"
#include "core/passthrough/routetable.h"
#include "core/passthrough/servertable.h"
#include "core/passthrough/strain.h"
#include "core/passthrough/streamkeepers.h"
#include "core/passthrough/streamversions.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspread::passthrough
{

enum class Stage {
    Resolving, ///< not queued until it is known which software version began its stream
    Waiting,   ///< queued until a backend server has room
    Running,   ///< an attempt is in progress
};

struct Request {
    RequestArrived call;
    std::shared_ptr<const RouteTable> table; ///< keeps \c route alive
    const Route *route = nullptr;
    std::string workspace;
    std::string service;
    int rank = 0;            ///< priority, 0 is the most urgent
    int lessUrgentTiers = 0; ///< number of less urgent tiers among the routes to the same service
    bool hasMoreUrgentTiers = false;
    Stage stage = Stage::Waiting;
    std::uint64_t order = 0;     ///< sequence number of the arrival
    std::uint64_t tieBreak = 0;  ///< differs between requests, also of different entries
    ServerPointer awaitedServer; ///< while queued: the server that the request waits for
    std::uint32_t waitingTokens = 0;
    TimePoint arrived;
    TimePoint deadline;
    TimePoint queueDeadline; ///< latest time at which sending the request is still useful to its caller

    std::uint32_t sends = 0; ///< attempts whose bytes may have reached a backend server
    std::uint32_t failedConnections = 0;
    std::vector<std::string> serversToAvoid; ///< servers that failed this request
    std::vector<std::string> peersTried;     ///< entries to which it was forwarded in vain
    std::optional<Failure> repeatedAfter;    ///< failure of the previous attempt
    /// Attempts in progress while the stage is Running, oldest first. There are several if servers are silent: the first one that goes on
    /// serves the request, and the others are cancelled.
    std::vector<AttemptId> attempts;
    bool usesModel = false; ///< whether its service's engines are scheduled by the engine model
    bool isShort = false;   ///< whether it belongs on the engines for short prompts
    bool isLate = false;    ///< its first event can't meet the target any more, so it is queued behind the requests of its tier that can
    bool mayHaveRun = false;
    bool answerBegun = false;
    bool callerGone = false;
    std::string lastEventId;
    std::string lastPeer;
    std::optional<StreamOrigin> origin;    ///< set once the stream has begun: it goes on at this service and version only
    std::vector<std::string> askedEntries; ///< while Resolving: entries that have not answered yet
    TimePoint askedAt;                     ///< while Resolving: time of the last question
};

struct Attempt {
    RequestId request{};
    ServerPointer server;
    RequestLoad load;
    SoftwareVersion version; ///< of the server when the attempt was sent
    bool started = false;
    bool hasBegun = false;                  ///< its stream is being forwarded to the caller, which counts as evidence for the server
    std::uint32_t events = 0;               ///< of its response that arrived
    TimePoint provenAt;                     ///< when it last proved the parts of its prompt sound; not set: not yet
    bool isSilent = false;                  ///< see AttemptSilent
    std::optional<KeptBecause> keptBecause; ///< latest decision while it is silent
    TimePoint sentAt;
    Duration estimatedStart{};
    Duration typicalStart{}; ///< the same for an engine of typical speed
    AnswerPace pace;
    EventPace eventPace;
    double tokensUntilStart = 0; ///< prompt tokens that the server had to process before the first event, including its own prompt
};

/// A request that another entry handles for this one.
struct Forwarding {
    RequestId request{};
    std::string peer;
};

/// Exponentially decaying estimate of the arrival rate over about the last second.
struct ArrivalRate {
    double perSecond = 0;
    TimePoint updatedAt;
};

/// State of one service: its queue, in dispatch order, and what was learnt from its requests.
struct Pool {
    using QueuePosition = std::tuple<int, bool, std::uint64_t, RequestId>; ///< rank, whether late, order of arrival, id
    std::set<QueuePosition> waiting;
    RetryBudget budget;
    EngineSplit split;
    ArrivalRate arrivals;
    std::array<Strain, 2> strain; ///< of responses to long [0] and to short [1] prompts, which run on separate engines
    PromptLengths promptLengths;
    std::array<TypicalValue, 2> typicalStarts; ///< observed time to the first byte relative to Attempt::typicalStart, of long [0] and short [1] prompts
    std::array<TypicalValue, 2> typicalPaces;  ///< milliseconds between events, likewise
    double averageUnreadTokens = 0;            ///< moving average of the prompt tokens that a server has to process for a request
    EngineSpeed speed;                         ///< estimate from this entry's attempts
    std::array<double, 2> startTimeBias{
        1,
        1
    }; ///< moving averages of the ratio of observed to estimated time to the first byte, for long [0] and short [1] prompts
};

/// Longest time that requests of a route had under former configurations. It holds until the last of them must have ended.
struct FormerLimit {
    Duration longest{};
    TimePoint until;
};

/// Deadlines that callers set for new streams of a route.
struct CallerDeadlines {
    Duration longest{};
    std::uint32_t streams = 0;
};

using DueCheck = std::pair<TimePoint, RequestId>;

/// A service whose engines are scheduled by the engine model.
struct ModelledService {
    std::optional<Duration> shortestPause; ///< shortest pause between events that a route of the service allows; not set: any
};

struct RouterState {
    RouterOptions options;
    TimePoint now;
    std::shared_ptr<const RouteTable> table; ///< null: no configuration yet
    TimePoint confirmedAt;
    std::optional<TimePoint> outdatedSince; ///< see ConfigurationOutdated
    ServerTable servers;
    std::uint32_t entries = 1;
    std::uint32_t retryBudgetShares = 1; ///< number of entries that the retry allowance is divided among
    std::optional<LeavingStarted> leaving;
    bool closing = false;

    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<AttemptId, Forwarding> forwardings;
    PeerTable peers;
    std::map<std::string, Reachability> reachability;        ///< by service
    std::map<std::string, Pool> pools;                       ///< by service
    std::map<std::string, ModelledService> modelledServices; ///< services whose engines are scheduled by the engine model
    std::set<DueCheck> dueChecks;                            ///< times at which the queue deadline or the deadline of a request passes
    CrashLedger crashes;
    StreamVersions streams;
    std::map<std::string, VersionHistory> versionHistories;           ///< by service
    std::vector<KeeperCandidate> keepers;                             ///< the other entries
    std::unordered_map<StreamId, std::vector<RequestId>> resolving;   ///< requests in stage Resolving, by stream
    TimePoint serversConfirmedAt;                                     ///< time as of which the list of servers was last known to be current
    std::unordered_map<std::string, FormerLimit> formerLimits;        ///< by route
    std::unordered_map<std::string, Duration> longestDeadlines;       ///< longest deadlines that callers set, by route
    std::unordered_map<std::string, CallerDeadlines> callerDeadlines; ///< by route
    std::unordered_map<std::string, RouteErrorRates> usualErrors;     ///< by route
    std::uint64_t seed = 0;                                           ///< seed of this entry's tie-breaks
    std::uint64_t lastOrder = 0;
    std::uint64_t lastAttempt = 0;
};

} // namespace auburnspread::passthrough
