/// \file
/// Everything the pass-through router remembers between two events.

#pragma once

#include "core/passthrough/actions.h"
#include "core/passthrough/enginesplit.h"
#include "core/passthrough/events.h"
#include "core/passthrough/placement.h"
#include "core/passthrough/retrybudget.h"
#include "core/passthrough/router.h"
#include "core/passthrough/routetable.h"
#include "core/passthrough/servertable.h"
#include "core/passthrough/strain.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace auburnspread::passthrough
{

enum class Stage {
    Waiting, ///< for room on a backend server
    Running, ///< an attempt is under way
};

struct Request {
    RequestArrived call;
    std::shared_ptr<const RouteTable> table; ///< keeps \c route alive
    const Route *route = nullptr;
    std::string workspace;
    std::string service;
    int rank = 0;            ///< of urgency, 0 first
    int lessUrgentTiers = 0; ///< of the routes to the same service
    bool hasMoreUrgentTiers = false;
    Stage stage = Stage::Waiting;
    std::uint64_t order = 0;    ///< of arrival
    std::uint64_t tieBreak = 0; ///< differs between requests, also of different entries
    ServerPointer waitsFor;     ///< the server that it waits for
    std::uint32_t waitingTokens = 0;
    TimePoint arrived;
    TimePoint deadline;
    TimePoint latestWait; ///< sent later, it is of no use to its caller

    std::uint32_t sends = 0; ///< attempts whose bytes may have reached a backend server
    std::uint32_t failedConnections = 0;
    std::vector<std::string> avoid;       ///< servers that failed this request
    std::optional<Failure> repeatedAfter; ///< how its last attempt failed
    AttemptId attempt{};                  ///< while running
    bool late = false;                    ///< its first event can't be on time any more: goes behind those of its tier whose can
    bool mayHaveRun = false;
    bool answerBegun = false;
    bool callerGone = false;
    std::string lastEventId;
    std::string lastPeer;
};

struct Attempt {
    RequestId request{};
    ServerPointer server;
    RequestLoad load;
    bool started = false;
    TimePoint sentAt;
    Duration estimatedStart{};
    AnswerPace pace;
    double readTokens = 0; ///< that were to be read before its first event, its own included
};

/// Arrivals a second, of about the last second.
struct ArrivalRate {
    double perSecond = 0;
    TimePoint updatedAt;
};

/// The requests that wait for one service, in the order in which they are sent.
struct Pool {
    using Place = std::tuple<int, bool, std::uint64_t, RequestId>; ///< rank, whether late, order of arrival
    std::set<Place> waiting;
    RetryBudget budget;
    EngineSplit split;
    ArrivalRate arrivals;
    std::array<Strain, 2> strain;       ///< of answers to long and to short prompts, which have engines of their own
    double unreadEach = 0;              ///< moving average of the tokens that a request has to be read
    EngineSpeed speed;                  ///< as own attempts show it
    std::array<double, 2> bias{ 1, 1 }; ///< moving averages of observed to estimated start, of long and of short prompts
};

/// Broken connections while a request with some fingerprint ran.
struct CrashRecord {
    std::uint32_t crashes = 0;
    TimePoint at;
};

using Due = std::pair<TimePoint, RequestId>;

struct RouterState {
    RouterOptions options;
    TimePoint now;
    std::shared_ptr<const RouteTable> table; ///< null: no configuration yet
    TimePoint confirmedAt;
    std::optional<TimePoint> outdatedSince; ///< see ConfigurationOutdated
    ServerTable servers;
    std::uint32_t entries = 1;
    std::uint32_t repeatShares = 1; ///< entries among which the repeats that are allowed are divided
    bool closing = false;

    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::map<std::string, Pool> pools; ///< by service
    std::set<Due> due;                 ///< when a request must be looked at
    std::unordered_map<Fingerprint, CrashRecord> crashes;
    std::unordered_map<std::string, Duration> longestDeadlines;     ///< that callers gave, by route
    std::unordered_map<std::string, BaselineErrorRate> usualErrors; ///< by route
    std::uint64_t seed = 0;                                         ///< of this entry's tie-breaks
    std::uint64_t lastOrder = 0;
    std::uint64_t lastAttempt = 0;
};

} // namespace auburnspread::passthrough
