#include "core/queueing/requestqueue.h"

#include <algorithm>
#include <limits>

namespace auburnspread::queueing
{

namespace
{

using detail::Band;
using detail::ClassQueue;
using detail::Flow;
using detail::Lane;

/// Waiting requests of the class that are not on its reserved places.
auto evictableOf(const ClassQueue &classQueue) -> std::uint32_t
{
    return classQueue.waiting - std::min(classQueue.waiting, classQueue.reservedPlaces);
}

auto countIn(RequestQueue &queue, ClassQueue &classQueue, int change) -> void
{
    auto &evictable = queue.evictable.at(static_cast<std::size_t>(classQueue.tier));
    evictable -= evictableOf(classQueue);
    classQueue.waiting += static_cast<std::uint32_t>(change);
    evictable += evictableOf(classQueue);
}

auto insertInto(Band &band, const WaitingRequest &request) -> void
{
    const auto [place, isNew] = band.flows.try_emplace(request.workspace);
    auto &flow = place->second;
    if (isNew) {
        flow.turn = band.turns.insert(band.turns.end(), request.workspace);
    }
    band.weights -= isNew ? 0 : flow.weight;
    flow.weight = std::max<std::uint32_t>(request.workspaceWeight, 1);
    band.weights += flow.weight;
    band.waiting += 1;
    flow.requests.emplace(Flow::Key{ request.deadline, request.order }, request.request);
    band.largestCost = std::max(band.largestCost, request.cost);
}

auto removeFlow(Band &band, WorkspaceId workspace) -> void
{
    const auto place = band.flows.find(workspace);
    band.turns.erase(place->second.turn);
    band.weights -= place->second.weight;
    band.flows.erase(place);
    if (band.flows.empty()) {
        band.largestCost = 1;
    }
}

auto eraseFrom(Band &band, const WaitingRequest &request) -> bool
{
    const auto place = band.flows.find(request.workspace);
    if (place == band.flows.end() || place->second.requests.erase({ request.deadline, request.order }) == 0) {
        return false;
    }
    band.waiting -= 1;
    if (place->second.requests.empty()) {
        removeFlow(band, request.workspace);
    }
    return true;
}

/// One step of deficit round robin: the front workspace is served until its deficit is spent, then goes to the back.
auto takeFrom(Band &band, const std::unordered_map<RequestId, WaitingRequest> &requests) -> RequestId
{
    const auto workspace = band.turns.front();
    auto &flow = band.flows.at(workspace);
    if (flow.deficit <= 0) {
        flow.deficit += static_cast<std::int64_t>(band.largestCost) * flow.weight;
    }
    const auto first = flow.requests.begin();
    const auto request = first->second;
    flow.requests.erase(first);
    band.waiting -= 1;
    flow.deficit -= requests.at(request).cost;
    if (flow.requests.empty()) {
        removeFlow(band, workspace);
    } else if (flow.deficit <= 0) {
        band.turns.splice(band.turns.end(), band.turns, flow.turn);
    }
    return request;
}

/// Forgets the request everywhere but in its band.
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
        // An idle class keeps no credit, and no more debt than one request's: it may not be locked out by what it used long ago.
        classQueue.deficit = std::clamp<std::int64_t>(classQueue.deficit, -static_cast<std::int64_t>(request.cost), 0);
    }
    queue.requests.erase(request.request);
}

/// A lane that may go next.
struct Candidate {
    ClassId requestClass{};
    RouteId route{};
    ClassQueue *classQueue = nullptr;
    Lane *lane = nullptr;
};

auto findCandidates(RequestQueue &queue, std::span<const RouteId> routes, int tier) -> std::vector<Candidate>
{
    std::vector<Candidate> candidates;
    for (const auto route : routes) {
        const auto place = queue.routes.find(route);
        if (place == queue.routes.end()) {
            continue;
        }
        for (const auto requestClass : place->second.classes.at(static_cast<std::size_t>(tier))) {
            auto &classQueue = queue.classes.at(requestClass);
            candidates.push_back({ .requestClass = requestClass, .route = route, .classQueue = &classQueue, .lane = &classQueue.lanes.at(route) });
        }
    }
    return candidates;
}

/// Rounds of deficit round robin until the first candidate may be served, done at once.
auto replenish(const std::vector<Candidate> &candidates) -> void
{
    auto rounds = std::numeric_limits<std::int64_t>::max();
    for (const auto &candidate : candidates) {
        const auto weight = static_cast<std::int64_t>(candidate.classQueue->weight);
        const auto missing = std::max<std::int64_t>(0, 1 - candidate.classQueue->deficit);
        rounds = std::min(rounds, (missing + weight - 1) / weight);
    }
    if (rounds <= 0) {
        return;
    }
    std::set<ClassId> credited;
    for (const auto &candidate : candidates) {
        if (credited.insert(candidate.requestClass).second) {
            candidate.classQueue->deficit += rounds * static_cast<std::int64_t>(candidate.classQueue->weight);
        }
    }
}

/// The class with most credit; of its lanes the one that was served least recently.
auto goesBefore(const Candidate &left, const Candidate &right) -> bool
{
    if (left.requestClass != right.requestClass) {
        if (left.classQueue->deficit != right.classQueue->deficit) {
            return left.classQueue->deficit > right.classQueue->deficit;
        }
        return left.requestClass < right.requestClass;
    }
    if (left.lane->lastTaken != right.lane->lastTaken) {
        return left.lane->lastTaken < right.lane->lastTaken;
    }
    return left.route < right.route;
}

auto charge(RequestQueue &queue, const WaitingRequest &request) -> void
{
    auto &classQueue = queue.classes.at(request.requestClass);
    classQueue.deficit -= request.cost;
    queue.takes += 1;
    classQueue.lastTaken = queue.takes;
    classQueue.lanes.at(request.route).lastTaken = queue.takes;
}

auto findLane(const RequestQueue &queue, ClassId requestClass, RouteId route) -> const Lane *
{
    const auto classQueue = queue.classes.find(requestClass);
    if (classQueue == queue.classes.end()) {
        return nullptr;
    }
    const auto lane = classQueue->second.lanes.find(route);
    return lane == classQueue->second.lanes.end() ? nullptr : &lane->second;
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
    insertInto(place->second.onTime, request);
    place->second.byOrder.emplace(request.order, request.request);
    route.waiting += 1;
    countIn(queue, classQueue, 1);
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
    if (!eraseFrom(lane.onTime, waiting)) {
        eraseFrom(lane.late, waiting);
    }
    forget(queue, waiting);
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
    if (eraseFrom(lane.onTime, waiting)) {
        insertInto(lane.late, waiting);
    }
}

auto highestTier(const RequestQueue &queue, std::span<const RouteId> routes) -> std::optional<int>
{
    std::optional<int> highest;
    for (const auto route : routes) {
        const auto place = queue.routes.find(route);
        if (place == queue.routes.end()) {
            continue;
        }
        const auto &tiers = place->second.classes;
        const auto first = std::find_if(tiers.begin(), tiers.end(), [](const auto &classes) { return !classes.empty(); });
        if (first == tiers.end()) {
            continue;
        }
        const auto tier = static_cast<int>(first - tiers.begin());
        highest = highest ? std::min(*highest, tier) : tier;
    }
    return highest;
}

auto takeNext(RequestQueue &queue, std::span<const RouteId> routes) -> std::optional<WaitingRequest>
{
    const auto tier = highestTier(queue, routes);
    if (!tier) {
        return std::nullopt;
    }
    const auto candidates = findCandidates(queue, routes, *tier);
    replenish(candidates);
    const auto chosen = std::min_element(candidates.begin(), candidates.end(), goesBefore);
    auto &band = chosen->lane->onTime.flows.empty() ? chosen->lane->late : chosen->lane->onTime;
    const auto taken = queue.requests.at(takeFrom(band, queue.requests));
    charge(queue, taken);
    forget(queue, taken);
    return taken;
}

auto takeStarved(RequestQueue &queue, std::span<const RouteId> routes, TimePoint now, const std::function<bool(ClassId)> &mayUseFloor)
    -> std::optional<WaitingRequest>
{
    std::optional<RequestId> starved;
    std::uint64_t longestAgo = 0;
    const auto highest = highestTier(queue, routes).value_or(configuration::TierCount);
    for (int tier = highest + 1; tier < configuration::TierCount; ++tier) {
        for (const auto &candidate : findCandidates(queue, routes, tier)) {
            const auto oldest = candidate.lane->byOrder.begin()->second;
            const auto isOverdue = now - queue.requests.at(oldest).arrived > candidate.classQueue->starvationBound;
            const auto goesFirst = !starved || candidate.classQueue->lastTaken < longestAgo;
            if (isOverdue && goesFirst && mayUseFloor(candidate.requestClass)) {
                starved = oldest;
                longestAgo = candidate.classQueue->lastTaken;
            }
        }
    }
    if (!starved) {
        return std::nullopt;
    }
    const auto taken = queue.requests.at(*starved);
    charge(queue, taken);
    remove(queue, *starved);
    return taken;
}

auto putBack(RequestQueue &queue, const WaitingRequest &request, bool late) -> void
{
    enqueue(queue, request);
    if (late) {
        demote(queue, request.request);
    }
    queue.classes.at(request.requestClass).deficit += request.cost;
}

auto settle(RequestQueue &queue, ClassId requestClass, std::uint32_t charged, std::uint32_t used) -> void
{
    auto &classQueue = queue.classes.at(requestClass);
    if (classQueue.waiting > 0) {
        classQueue.deficit += static_cast<std::int64_t>(charged) - static_cast<std::int64_t>(used);
    }
}

auto boundedLength(const RequestQueue &queue) -> std::uint32_t
{
    std::uint32_t length = 0;
    for (const auto count : queue.evictable) {
        length += count;
    }
    return length;
}

auto hasReservedPlace(const RequestQueue &queue, ClassId requestClass) -> bool
{
    const auto &classQueue = queue.classes.at(requestClass);
    return classQueue.waiting < classQueue.reservedPlaces;
}

auto findVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>
{
    int lowest = configuration::TierCount - 1;
    while (lowest > tier && queue.evictable.at(static_cast<std::size_t>(lowest)) == 0) {
        --lowest;
    }
    if (lowest <= tier) {
        return std::nullopt;
    }
    std::optional<RequestId> victim;
    std::uint64_t newest = 0;
    for (const auto &[id, classQueue] : queue.classes) {
        if (classQueue.tier != lowest || evictableOf(classQueue) == 0) {
            continue;
        }
        for (const auto &[route, lane] : classQueue.lanes) {
            const auto &[order, request] = *lane.byOrder.rbegin();
            if (!victim || order > newest) {
                victim = request;
                newest = order;
            }
        }
    }
    return victim;
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
    if (lane == nullptr) {
        return 0;
    }
    const auto &band = lane->onTime;
    const auto flow = band.flows.find(workspace);
    const auto isNew = flow == band.flows.end();
    const std::uint64_t own = isNew ? 0 : flow->second.requests.size();
    const std::uint64_t ownWeight = std::max<std::uint32_t>(weight, 1);
    const auto weights = band.weights + (isNew ? ownWeight : 0);
    const auto turns = (own + 1) * weights / ownWeight;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(band.waiting, turns - 1));
}

} // namespace auburnspread::queueing
