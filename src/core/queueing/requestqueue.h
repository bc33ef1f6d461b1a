/// \file
/// The requests that wait in one entry, and who goes next: the highest tier first; within it those that can still be on
/// time before those that can't; then classes by deficit round robin over tokens, weighted; within a class workspaces
/// likewise; within a workspace the nearest deadline.
///
/// Every operation costs O(log n) in the number of waiting requests, and besides that only depends on how many routes
/// one backend server carries and how many classes share a tier.

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

/// What a request needs of a backend server: a model in one version with one adapter, or a service.
enum class RouteId : std::uint32_t {};

struct WaitingRequest {
    RequestId request{};
    ClassId requestClass{};
    WorkspaceId workspace{};
    RouteId route{};
    std::uint32_t workspaceWeight = 1;
    std::uint64_t order = 0; ///< position among all arrivals; unique
    std::uint32_t cost = 1;  ///< tokens charged when it is taken; at least 1
    TimePoint arrived;
    TimePoint deadline;
};

namespace detail
{

/// The waiting requests of one workspace in one band.
struct Flow {
    using Key = std::pair<TimePoint, std::uint64_t>; ///< deadline, order
    std::map<Key, RequestId> requests;
    std::list<WorkspaceId>::iterator turn;
    std::int64_t deficit = 0;
    std::uint32_t weight = 1;
};

/// Deficit round robin over workspaces.
struct Band {
    std::unordered_map<WorkspaceId, Flow> flows;
    std::list<WorkspaceId> turns;               ///< who is served next, front first
    std::map<std::uint64_t, RequestId> byOrder; ///< oldest first
    std::uint64_t weights = 0;                  ///< of all flows
    std::uint32_t waiting = 0;
    std::uint32_t largestCost = 1; ///< the quantum: no smaller than any cost in the band, so that one turn serves one request at least
};

/// One class on one route.
struct Lane {
    Band onTime;
    Band late;                                  ///< served only while nothing of the tier is \c onTime
    std::map<std::uint64_t, RequestId> byOrder; ///< of both bands: oldest first
    std::uint64_t lastTaken = 0;                ///< when the lane was served last, counted in takes
};

struct ClassQueue {
    int tier = configuration::TierCount - 1;
    std::uint32_t weight = 1;
    std::uint32_t reservedPlaces = 0;
    Duration starvationBound{};
    std::int64_t deficit = 0;
    std::uint64_t lastTaken = 0; ///< when the class was served last, counted in takes
    std::uint32_t waiting = 0;
    std::map<RouteId, Lane> lanes; ///< only lanes in which something waits
};

struct RouteQueue {
    std::uint32_t waiting = 0;
    std::array<std::vector<ClassId>, configuration::TierCount> classes; ///< with a lane on this route, by tier
};

} // namespace detail

struct RequestQueue {
    std::unordered_map<RequestId, WaitingRequest> requests;
    std::map<ClassId, detail::ClassQueue> classes;
    std::unordered_map<RouteId, detail::RouteQueue> routes;
    std::array<std::uint32_t, configuration::TierCount> evictable{}; ///< waiting beyond the reserved places, by tier
    std::uint64_t takes = 0;
};

struct ClassOptions {
    int tier = configuration::TierCount - 1;
    std::uint32_t weight = 1;
    std::uint32_t reservedPlaces = 1; ///< places of the class's own beyond the queue bound
    Duration starvationBound{};
};

/// Declares or changes a class. Nothing of the class may be waiting.
auto setClass(RequestQueue &queue, ClassId requestClass, const ClassOptions &options) -> void;

/// The class must have been declared.
auto enqueue(RequestQueue &queue, const WaitingRequest &request) -> void;

/// Whether it was waiting.
auto remove(RequestQueue &queue, RequestId request) -> bool;

/// Marks a waiting request as no longer able to be on time: those of its tier that still can go before it.
auto demote(RequestQueue &queue, RequestId request) -> void;

/// The highest tier that waits on any of \p routes.
auto highestTier(const RequestQueue &queue, std::span<const RouteId> routes) -> std::optional<int>;

/// Takes the request that goes next on any of \p routes.
auto takeNext(RequestQueue &queue, std::span<const RouteId> routes) -> std::optional<WaitingRequest>;

/// Takes a request that waits past its class's starvation bound on any of \p routes, among classes that \p mayUseFloor
/// allows: of the class that was served least recently the oldest one that can still be on time, or else the oldest. By age
/// alone a class with a long queue would keep the others out, and the floor would serve late requests only. Classes of the
/// highest tier that waits are left out: they are served by right, each by its weight.
auto takeStarved(RequestQueue &queue, std::span<const RouteId> routes, TimePoint now, const std::function<bool(ClassId)> &mayUseFloor)
    -> std::optional<WaitingRequest>;

/// Puts back a request that was taken but could not be placed, and undoes its charge.
auto putBack(RequestQueue &queue, const WaitingRequest &request, bool late) -> void;

/// Corrects the class's account once the real cost of a request is known; lengths are not known in advance.
auto settle(RequestQueue &queue, ClassId requestClass, std::uint32_t charged, std::uint32_t used) -> void;

/// Waiting requests that count towards the queue bound: all but those on their class's reserved places.
auto boundedLength(const RequestQueue &queue) -> std::uint32_t;

/// Whether a further request of the class would take one of the class's reserved places.
auto hasReservedPlace(const RequestQueue &queue, ClassId requestClass) -> bool;

/// The request to evict for one of tier \p tier: the newest of the lowest tier below it; nothing if no lower tier holds a place that counts.
auto findVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>;

/// The newest late request of tier \p tier beyond the reserved places of its class: it gives way to one that can still be on time.
auto findLateVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>;

auto waitingOn(const RequestQueue &queue, RouteId route) -> std::uint32_t;
/// All that wait on the route, in no particular order. Costs as much as there are.
auto listWaiting(const RequestQueue &queue, RouteId route) -> std::vector<RequestId>;

auto waitingOf(const RequestQueue &queue, ClassId requestClass) -> std::uint32_t;
auto waitingOf(const RequestQueue &queue, ClassId requestClass, RouteId route) -> std::uint32_t;

/// Requests of the class on the route that will go before a new one of the workspace, by the workspaces' weights.
auto countAhead(const RequestQueue &queue, ClassId requestClass, RouteId route, WorkspaceId workspace, std::uint32_t weight) -> std::uint32_t;

/// The same before a new one that is late.
auto countAheadOfLate(const RequestQueue &queue, ClassId requestClass, RouteId route, WorkspaceId workspace, std::uint32_t weight) -> std::uint32_t;

} // namespace auburnspread::queueing
