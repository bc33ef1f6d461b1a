/// \file
/// The queue of requests that wait in one entry. The next request is chosen by these rules in order: the highest tier
/// first; within a tier, requests that can still be on time before late ones; then classes by weighted deficit round
/// robin over tokens; within a class, workspaces likewise; within a workspace, the nearest deadline.
///
/// Every operation costs O(log n) in the number of waiting requests. Otherwise the cost depends only on the number of
/// routes that one backend server serves and the number of classes that share a tier.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/configuration/document.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspread::queueing
{

/// A request class, numbered by the owner of the queue.
enum class ClassId : std::uint32_t {};

/// A workspace, numbered by the owner of the queue.
enum class WorkspaceId : std::uint32_t {};

/// What a request requires from a backend server: a model in one version with one adapter, or a service.
enum class RouteId : std::uint32_t {};

struct WaitingRequest {
    RequestId request{};
    ClassId requestClass{};
    WorkspaceId workspace{};
    RouteId route{};
    std::uint32_t workspaceWeight = 1;
    std::uint64_t order = 0; ///< position among all arrivals; unique
    std::uint32_t cost = 1;  ///< tokens charged when the request is taken; at least 1
    TimePoint arrived;
    TimePoint deadline;
};

namespace detail
{

/// Waiting requests of one workspace in one band.
struct Flow {
    using Key = std::pair<TimePoint, std::uint64_t>; ///< deadline, order
    std::map<Key, RequestId> requests;
    std::list<WorkspaceId>::iterator turn; ///< position in Band::turns
    std::int64_t deficit = 0;
    std::uint32_t weight = 1;
};

/// Waiting requests of one lane that are all on time or all late, served by deficit round robin over workspaces.
struct Band {
    std::unordered_map<WorkspaceId, Flow> flows;
    std::list<WorkspaceId> turns;               ///< workspaces in the order of service, next one first
    std::map<std::uint64_t, RequestId> byOrder; ///< oldest first
    std::uint64_t weights = 0;                  ///< sum of the weights of all flows
    std::uint32_t waiting = 0;
    std::uint32_t largestCost = 1; ///< the quantum: at least as large as any cost in the band, so that one turn serves at least one request
};

/// Waiting requests of one class on one route.
struct Lane {
    Band onTime;
    Band late;                                  ///< served only while no candidate lane of the tier has requests in \c onTime
    std::map<std::uint64_t, RequestId> byOrder; ///< requests of both bands, oldest first
    std::uint64_t lastTaken = 0;                ///< value of RequestQueue::takes when the lane was last served
};

struct ClassQueue {
    int tier = configuration::TierCount - 1;
    std::uint32_t weight = 1;
    std::uint32_t reservedPlaces = 0;
    Duration starvationBound{};
    std::int64_t deficit = 0;
    std::uint64_t lastTaken = 0; ///< value of RequestQueue::takes when the class was last served
    std::uint32_t waiting = 0;
    std::map<RouteId, Lane> lanes; ///< only lanes with waiting requests
};

struct RouteQueue {
    std::uint32_t waiting = 0;
    std::array<std::vector<ClassId>, configuration::TierCount> classes; ///< classes with a lane on this route, by tier
};

} // namespace detail

struct RequestQueue {
    std::unordered_map<RequestId, WaitingRequest> requests;
    std::map<ClassId, detail::ClassQueue> classes;
    std::unordered_map<RouteId, detail::RouteQueue> routes;
    std::array<std::uint32_t, configuration::TierCount> evictable{}; ///< requests waiting beyond the reserved places, by tier
    std::uint64_t takes = 0;                                         ///< number of requests taken so far
};

struct ClassOptions {
    int tier = configuration::TierCount - 1;
    std::uint32_t weight = 1;
    std::uint32_t reservedPlaces = 1; ///< queue places of the class that do not count towards the queue bound
    Duration starvationBound{};
};

/// Declares or changes a class. No request of the class may be waiting.
auto setClass(RequestQueue &queue, ClassId requestClass, const ClassOptions &options) -> void;

/// Adds a request. Its class must have been declared.
auto enqueue(RequestQueue &queue, const WaitingRequest &request) -> void;

/// Removes a request and returns whether it was waiting.
auto remove(RequestQueue &queue, RequestId request) -> bool;

/// Marks a waiting request as late. Requests of its tier that can still be on time are served before it.
auto demote(RequestQueue &queue, RequestId request) -> void;

/// The highest tier with a request waiting on any of \p routes.
auto highestTier(const RequestQueue &queue, std::span<const RouteId> routes) -> std::optional<int>;

/// Removes and returns the next request on any of \p routes.
auto takeNext(RequestQueue &queue, std::span<const RouteId> routes) -> std::optional<WaitingRequest>;

/// Removes and returns a request on any of \p routes that has waited longer than the starvation bound of its class, among
/// the classes that \p mayUseFloor allows. It is taken from the class that was served least recently: the oldest request
/// that can still be on time, otherwise the oldest late one. By age alone, a class with a long queue would starve the
/// others, and the floor would serve only late requests. Classes of the highest waiting tier are excluded: takeNext()
/// serves them by their weights.
auto takeStarved(RequestQueue &queue, std::span<const RouteId> routes, TimePoint now, const std::function<bool(ClassId)> &mayUseFloor)
    -> std::optional<WaitingRequest>;

/// Puts back a request that was taken but could not be dispatched, and refunds its charge.
auto putBack(RequestQueue &queue, const WaitingRequest &request, bool late) -> void;

/// Corrects the deficit of the class once the actual cost of a request is known; lengths are not known in advance.
auto settle(RequestQueue &queue, ClassId requestClass, std::uint32_t charged, std::uint32_t used) -> void;

/// Number of waiting requests that count towards the queue bound: all but those on the reserved places of their class.
auto boundedLength(const RequestQueue &queue) -> std::uint32_t;

/// Whether another request of the class would take one of the reserved places of the class.
auto hasReservedPlace(const RequestQueue &queue, ClassId requestClass) -> bool;

/// The request to evict in favour of one of tier \p tier: the newest of the lowest tier below it. Nothing if no lower tier
/// has a request that counts towards the queue bound.
auto findVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>;

/// The newest late request of tier \p tier beyond the reserved places of its class, to evict in favour of one that can
/// still be on time.
auto findLateVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>;

/// Number of requests that wait on the route.
auto waitingOn(const RequestQueue &queue, RouteId route) -> std::uint32_t;
/// All requests that wait on the route, in no particular order. The cost is linear in their number.
auto listWaiting(const RequestQueue &queue, RouteId route) -> std::vector<RequestId>;

/// Number of waiting requests of the class, on all routes or on one.
auto waitingOf(const RequestQueue &queue, ClassId requestClass) -> std::uint32_t;
auto waitingOf(const RequestQueue &queue, ClassId requestClass, RouteId route) -> std::uint32_t;

/// Number of requests of the class on the route that are served before a new one of the workspace, by the weights of the
/// workspaces.
auto countAhead(const RequestQueue &queue, ClassId requestClass, RouteId route, WorkspaceId workspace, std::uint32_t weight) -> std::uint32_t;

/// Number of requests that are served before a new late one of the workspace.
auto countAheadOfLate(const RequestQueue &queue, ClassId requestClass, RouteId route, WorkspaceId workspace, std::uint32_t weight) -> std::uint32_t;

} // namespace auburnspread::queueing
