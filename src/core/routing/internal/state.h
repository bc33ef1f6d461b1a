/// \file
/// Everything the router remembers between two events.

#pragma once

#include "core/admission/forecast.h"
#include "core/balancing/balancing.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/configuration/document.h"
#include "core/limits/workspacelimits.h"
#include "core/quarantine/quarantine.h"
#include "core/queueing/requestqueue.h"
#include "core/retry/budget.h"
#include "core/retry/repeats.h"
#include "core/routing/actions.h"
#include "core/routing/events.h"
#include "core/routing/router.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace auburnspread::routing
{

using balancing::ServerIndex;
using queueing::ClassId;
using queueing::RouteId;
using queueing::WorkspaceId;

struct ClassState {
    ClassId id{};
    configuration::RequestClass definition;
    bool inDocument = true;
    std::unordered_map<RouteId, admission::Estimates> estimates;
    retry::Budget retryBudget;
    std::uint32_t floorInFlight = 0; ///< attempts on slots that were given to the class's floor
    std::uint32_t inFlight = 0;
    std::uint64_t completed = 0;
    std::uint64_t onTime = 0;
    std::uint64_t refused = 0;
};

struct WorkspaceState {
    WorkspaceId id{};
    configuration::Workspace definition;
    bool inDocument = true;
    limits::TierSet tiers = 0; ///< of its classes
    limits::WorkspaceUsage usage;
};

/// What a request needs of a backend server; see RouteId.
struct RouteKey {
    CallKind kind = CallKind::Chat;
    std::string name; ///< of the model or the service
    std::string version;
    std::string adapter;

    auto operator<(const RouteKey &other) const -> bool
    {
        return std::tie(kind, name, version, adapter) < std::tie(other.kind, other.name, other.version, other.adapter);
    }
};

struct Route {
    using ParkedKey = std::tuple<int, TimePoint, RequestId>; ///< tier, deadline
    RouteKey key;
    std::vector<ServerIndex> servers; ///< that fit
    std::vector<ServerIndex> cannotResume;
    std::set<ParkedKey> parked;
    std::uint32_t unmet = 0; ///< refused for want of slots since the last report
    std::size_t turn = 0;    ///< of round robin
};

enum class Stage {
    Queued,
    Parked, ///< a retry: waits outside the queue, since not every server of its route will do; silent attempts may go on meanwhile
    Held,   ///< waits for an equal request: see suspects.h
    Placed, ///< holds a slot of a backend server
};

/// A backend server on which an attempt of the request failed.
struct TriedServer {
    std::string name;
    std::string failureDomain;
};

struct Request {
    RequestArrived call;
    Stage stage = Stage::Queued;
    ClassState *requestClass = nullptr;
    WorkspaceState *workspace = nullptr;
    RouteId route{};
    std::uint64_t order = 0;
    std::uint32_t cost = 1; ///< tokens it is charged with until its length is known
    bool repeatable = false;
    bool claimed = false;
    bool late = false;       ///< its first token can't be on time: it goes behind those of its tier whose can
    bool mayHaveRun = false; ///< an attempt that ended does not prove that it was not started

    TimePoint arrived;
    TimePoint queuedAt;
    Duration forecastWait{};
    TimePoint latestStart; ///< started later, the answer cannot be on time any more
    TimePoint latestRun;   ///< begun later, the answer is not likely to be whole by the deadline
    TimePoint deadline;
    TimePoint endsAt;                   ///< the deadline, or later for an answer that is worth finishing
    std::optional<TimePoint> heldSince; ///< since when it waits as a suspect or behind an equal request
    std::optional<TimePoint> hedgeAt;
    std::optional<TimePoint> firstTokenAt;

    std::uint32_t relayed = 0; ///< tokens
    std::uint32_t retries = 0;
    std::vector<AttemptId> attempts; ///< live ones
    std::vector<TriedServer> tried;
    bool isRetryPaid = false; ///< the retry budget was charged for an attempt that is not sent yet
    bool restarts = false;    ///< the next attempt begins a whole answer anew beside a silent one that has begun it
};

struct Attempt {
    AttemptId id{};
    RequestId request{};
    ServerIndex server{};
    std::string serverName;
    std::string failureDomain; ///< of the server
    bool sent = false;         ///< false: the slot is held while the idempotency key is claimed
    bool committed = false;
    bool isSilent = false; ///< its timeout has passed, and nothing has come since
    bool alone = false;
    bool onFloor = false;
    std::uint32_t resumeOffset = 0;
    TimePoint sentAt;
};

enum class TimerKind {
    LatestStart,
    LatestRun,
    End,
    Hedge,
};

using Timer = std::tuple<TimePoint, RequestId, TimerKind>;

/// What the other entries of the cell have open, so that a new report replaces the old one.
struct PeerState {
    std::unordered_map<std::string, std::uint32_t> open; ///< by workspace
};

struct RouterState {
    RouterOptions options;
    TimePoint now;
    std::shared_ptr<const configuration::AdoptedDocument> adopted;
    bool draining = false;
    bool drained = false;

    std::map<std::string, ClassState> classes;
    std::unordered_map<ClassId, ClassState *> classesById;
    std::unordered_map<std::string, WorkspaceState> workspaces;
    std::unordered_map<std::string, const configuration::Model *> models;
    std::unordered_map<std::string, const configuration::Service *> services;
    std::map<RouteKey, RouteId> routeIds;
    std::deque<Route> routes; ///< by RouteId
    std::unordered_map<ServerIndex, std::vector<RouteId>> routesOfServer;
    std::map<std::string, PeerState> peers;
    std::uint32_t entries = 1;                                ///< of the cell
    std::map<std::string, WorkspaceState *> activeWorkspaces; ///< of which the next report says something

    balancing::StatePointer balancing;
    quarantine::State quarantine;
    queueing::RequestQueue queue;
    retry::Repeats repeats;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::map<Fingerprint, std::set<std::pair<std::uint64_t, RequestId>>> held; ///< in order of arrival
    std::set<Timer> timers;

    std::uint64_t lastArrival = 0;
    std::uint32_t lastClass = 0;
    std::uint32_t lastWorkspace = 0;
    std::uint64_t lastAttempt = 0;
    std::uint32_t floorCredit = 0;
    std::uint64_t wastedTokens = 0;
    std::set<RouteId> touched; ///< routes on which something may be dispatched after this event
};

inline auto routeOf(RouterState &state, RouteId route) -> Route &
{
    return state.routes.at(static_cast<std::size_t>(route));
}

/// Whether its first token can't be on time any more.
inline auto isLate(const RouterState &state, const Request &request) -> bool
{
    return request.late || state.now >= request.latestStart;
}

/// Time from arrival within which the first token must come for the request to be on time. The caller of a whole answer
/// sees no first token, so only the answer's own target binds.
inline auto firstTokenBound(const Request &request) -> Duration
{
    const auto answer = request.deadline - request.arrived;
    return request.call.stream ? std::min(request.requestClass->definition.firstTokenTarget, answer) : answer;
}

/// At which token a new attempt of the request begins.
inline auto resumeOffsetOf(const Request &request) -> std::uint32_t
{
    return request.restarts ? 0 : request.relayed;
}

inline auto estimatesOf(Request &request) -> admission::Estimates &
{
    return request.requestClass->estimates[request.route];
}

} // namespace auburnspread::routing
