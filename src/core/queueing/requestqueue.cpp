#include "core/queueing/requestqueue.h"

#include "core/queueing/internal/band.h"
#include "core/queueing/internal/lanes.h"

#include <algorithm>

namespace auburnspread::queueing
{

namespace detail
{

namespace
{

auto countIn(RequestQueue &queue, ClassQueue &classQueue, int change) -> void
{
    auto &evictable = queue.evictable.at(static_cast<std::size_t>(classQueue.tier));
    evictable -= evictableOf(classQueue);
    classQueue.waiting += static_cast<std::uint32_t>(change);
    evictable += evictableOf(classQueue);
}

} // namespace

auto evictableOf(const ClassQueue &classQueue) -> std::uint32_t
{
    return classQueue.waiting - std::min(classQueue.waiting, classQueue.reservedPlaces);
}

auto forget(RequestQueue &queue, const WaitingRequest &request) -> void
{
    auto &classQueue = queue.classes.at(request.requestClass);
    auto &route = queue.routes.at(request.route);
    const auto lane = classQueue.lanes.find(request.route);
    lane->second.byOrder.erase(request.order);
    if (lane->second.byOrder.empty()) {
        classQueue.lanes.erase(lane);
        std::erase(route.classes.at(static_cast<std::size_t>(classQueue.tier)), request.requestClass);
    }
    route.waiting -= 1;
    countIn(queue, classQueue, -1);
    if (classQueue.waiting == 0) {
        // An idle class keeps no credit, and at most the debt of one request, so that its past use does not block it later.
        classQueue.deficit = std::clamp<std::int64_t>(classQueue.deficit, -static_cast<std::int64_t>(request.cost), 0);
    }
    queue.requests.erase(request.request);
}

} // namespace detail

namespace
{

using detail::Lane;

auto findLane(const RequestQueue &queue, ClassId requestClass, RouteId route) -> const Lane *
{
    const auto classQueue = queue.classes.find(requestClass);
    if (classQueue == queue.classes.end()) {
        return nullptr;
    }
    const auto lane = classQueue->second.lanes.find(route);
    return lane == classQueue->second.lanes.end() ? nullptr : &lane->second;
}

/// Number of requests of the band that are served before a new one of the workspace.
auto countTurnsBefore(const detail::Band &band, WorkspaceId workspace, std::uint32_t weight) -> std::uint32_t
{
    const auto flow = band.flows.find(workspace);
    const auto isNew = flow == band.flows.end();
    const std::uint64_t own = isNew ? 0 : flow->second.requests.size();
    const std::uint64_t ownWeight = std::max<std::uint32_t>(weight, 1);
    const auto weights = band.weights + (isNew ? ownWeight : 0);
    const auto turns = (own + 1) * weights / ownWeight;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(band.waiting, turns - 1));
}

} // namespace

auto setClass(RequestQueue &queue, ClassId requestClass, const ClassOptions &options) -> void
{
    auto &classQueue = queue.classes[requestClass];
    classQueue.tier = options.tier;
    classQueue.weight = std::max<std::uint32_t>(options.weight, 1);
    classQueue.reservedPlaces = options.reservedPlaces;
    classQueue.starvationBound = options.starvationBound;
}

auto enqueue(RequestQueue &queue, const WaitingRequest &request) -> void
{
    auto &classQueue = queue.classes.at(request.requestClass);
    auto &route = queue.routes[request.route];
    const auto [place, isNew] = classQueue.lanes.try_emplace(request.route);
    if (isNew) {
        route.classes.at(static_cast<std::size_t>(classQueue.tier)).push_back(request.requestClass);
    }
    detail::insertInto(place->second.onTime, request);
    place->second.byOrder.emplace(request.order, request.request);
    route.waiting += 1;
    detail::countIn(queue, classQueue, 1);
    queue.requests.emplace(request.request, request);
}

auto remove(RequestQueue &queue, RequestId request) -> bool
{
    const auto place = queue.requests.find(request);
    if (place == queue.requests.end()) {
        return false;
    }
    const auto waiting = place->second;
    auto &lane = queue.classes.at(waiting.requestClass).lanes.at(waiting.route);
    if (!detail::eraseFrom(lane.onTime, waiting)) {
        detail::eraseFrom(lane.late, waiting);
    }
    detail::forget(queue, waiting);
    return true;
}

auto demote(RequestQueue &queue, RequestId request) -> void
{
    const auto place = queue.requests.find(request);
    if (place == queue.requests.end()) {
        return;
    }
    const auto &waiting = place->second;
    auto &lane = queue.classes.at(waiting.requestClass).lanes.at(waiting.route);
    if (detail::eraseFrom(lane.onTime, waiting)) {
        detail::insertInto(lane.late, waiting);
    }
}

auto waitingOn(const RequestQueue &queue, RouteId route) -> std::uint32_t
{
    const auto place = queue.routes.find(route);
    return place == queue.routes.end() ? 0 : place->second.waiting;
}

auto listWaiting(const RequestQueue &queue, RouteId route) -> std::vector<RequestId>
{
    std::vector<RequestId> waiting;
    for (const auto &[id, classQueue] : queue.classes) {
        if (const auto *lane = findLane(queue, id, route)) {
            std::transform(lane->byOrder.begin(), lane->byOrder.end(), std::back_inserter(waiting), [](const auto &entry) { return entry.second; });
        }
    }
    return waiting;
}

auto waitingOf(const RequestQueue &queue, ClassId requestClass) -> std::uint32_t
{
    const auto place = queue.classes.find(requestClass);
    return place == queue.classes.end() ? 0 : place->second.waiting;
}

auto waitingOf(const RequestQueue &queue, ClassId requestClass, RouteId route) -> std::uint32_t
{
    const auto *lane = findLane(queue, requestClass, route);
    return lane == nullptr ? 0 : static_cast<std::uint32_t>(lane->byOrder.size());
}

auto countAhead(const RequestQueue &queue, ClassId requestClass, RouteId route, WorkspaceId workspace, std::uint32_t weight) -> std::uint32_t
{
    const auto *lane = findLane(queue, requestClass, route);
    return lane == nullptr ? 0 : countTurnsBefore(lane->onTime, workspace, weight);
}

auto countAheadOfLate(const RequestQueue &queue, ClassId requestClass, RouteId route, WorkspaceId workspace, std::uint32_t weight) -> std::uint32_t
{
    const auto *lane = findLane(queue, requestClass, route);
    return lane == nullptr ? 0 : lane->onTime.waiting + countTurnsBefore(lane->late, workspace, weight);
}

} // namespace auburnspread::queueing
