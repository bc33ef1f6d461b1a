/// \file
/// Everything the router remembers between two events.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/configuration/document.h"
#include "core/queueing/requestqueue.h"
#include "core/routing/actions.h"
#include "core/routing/events.h"
#include "core/routing/router.h"

#include <cstdint>
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

using queueing::ClassId;
using queueing::RouteId;
using queueing::WorkspaceId;

struct ClassState {
    ClassId id{};
    configuration::RequestClass definition;
    bool inDocument = true;
    std::uint32_t inFlight = 0;
    std::uint64_t completed = 0;
    std::uint64_t onTime = 0;
    std::uint64_t refused = 0;
};

struct WorkspaceState {
    WorkspaceId id{};
    configuration::Workspace definition;
    bool inDocument = true;
    std::uint32_t open = 0; ///< accepted and not yet ended
};

/// A backend server: an engine or a server of a plain service.
struct Server {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::uint32_t concurrency = 0;
    std::uint32_t inFlight = 0;
    bool canResume = false;
    bool honoursPriority = false;
    bool leaving = false;
    bool inDocument = true;
    std::vector<RouteId> routes;
};

/// What a request needs of a backend server; see RouteId.
struct RouteKey {
    CallKind kind = CallKind::Chat;
    std::string name; ///< of the model or the service
    std::string version;
    std::string adapter;

    auto operator<=>(const RouteKey &) const = default;
};

struct Route {
    RouteKey key;
    std::vector<Server *> servers;                          ///< that fit
    std::set<std::tuple<int, TimePoint, RequestId>> parked; ///< by tier and deadline: see Stage::Parked
};

enum class Stage {
    Queued,
    Parked, ///< waits outside the queue for a server that fits it in particular: a retry, which must go elsewhere
    Placed, ///< holds a slot of a backend server
};

struct Request {
    RequestArrived call;
    Stage stage = Stage::Queued;
    ClassState *requestClass = nullptr;
    WorkspaceState *workspace = nullptr;
    RouteId route{};
    std::uint64_t order = 0;
    TimePoint arrived;
    TimePoint latestStart;
    TimePoint deadline;
    bool repeatable = false;
    bool claimed = false;
    bool mayHaveRun = false;   ///< an ended attempt does not prove that it was not started
    std::uint32_t relayed = 0; ///< tokens
    std::uint32_t retries = 0;
    std::optional<TimePoint> firstTokenAt;
    std::vector<AttemptId> attempts; ///< live ones
    std::vector<std::string> tried;  ///< backend servers that failed it
};

struct Attempt {
    AttemptId id{};
    RequestId request{};
    Server *server = nullptr;
    bool sent = false; ///< false: the slot is held while the idempotency key is claimed
    bool committed = false;
    std::uint32_t resumeOffset = 0;
    TimePoint sentAt;
};

enum class TimerKind {
    LatestStart,
    Deadline,
};

using Timer = std::tuple<TimePoint, RequestId, TimerKind>;

struct RouterState {
    RouterOptions options;
    std::shared_ptr<const configuration::AdoptedDocument> adopted;
    bool draining = false;
    bool drained = false;

    std::map<std::string, ClassState> classes;
    std::unordered_map<std::string, WorkspaceState> workspaces;
    std::map<std::string, Server> servers;
    std::unordered_map<std::string, const configuration::Model *> models;
    std::unordered_map<std::string, const configuration::Service *> services;
    std::map<RouteKey, RouteId> routeIds;
    std::vector<Route> routes; ///< by RouteId

    queueing::RequestQueue queue;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::set<Timer> timers;

    std::uint64_t arrivals = 0;
    std::uint64_t lastWorkspace = 0;
    std::uint64_t lastAttempt = 0;
    std::uint64_t wastedTokens = 0;
    std::set<RouteId> touched; ///< routes on which something may be dispatched after this event
};

inline auto routeOf(RouterState &state, RouteId route) -> Route &
{
    return state.routes.at(static_cast<std::size_t>(route));
}

} // namespace auburnspread::routing
