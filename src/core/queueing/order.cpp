#include "core/queueing/internal/band.h"
#include "core/queueing/internal/lanes.h"
#include "core/queueing/requestqueue.h"

#include <algorithm>
#include <limits>
#include <set>

namespace auburnspread::queueing
{

namespace
{

using detail::ClassQueue;
using detail::Lane;

/// A lane that may be served next.
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

/// Keeps only lanes with requests that can still be on time, if there are any: late requests yield to them in the whole
/// tier.
auto keepOnTime(std::vector<Candidate> &candidates) -> void
{
    const auto isLate = [](const Candidate &candidate) { return candidate.lane->onTime.flows.empty(); };
    if (!std::all_of(candidates.begin(), candidates.end(), isLate)) {
        std::erase_if(candidates, isLate);
    }
}

/// Adds the credit of as many rounds of deficit round robin as the first candidate needs to be served, in one step.
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

/// Orders candidates: the class with the largest deficit counter first; within a class, the lane served least recently.
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

/// The request of the lane that the floor of its class would serve: the oldest one if it has waited longer than the
/// starvation bound, on-time requests first.
auto findOverdue(const RequestQueue &queue, const Candidate &candidate, TimePoint now) -> std::optional<RequestId>
{
    for (const auto *byOrder : { &candidate.lane->onTime.byOrder, &candidate.lane->late.byOrder }) {
        if (byOrder->empty()) {
            continue;
        }
        const auto oldest = byOrder->begin()->second;
        if (now - queue.requests.at(oldest).arrived > candidate.classQueue->starvationBound) {
            return oldest;
        }
    }
    return std::nullopt;
}

auto charge(RequestQueue &queue, const WaitingRequest &request) -> void
{
    auto &classQueue = queue.classes.at(request.requestClass);
    classQueue.deficit -= request.cost;
    queue.takes += 1;
    classQueue.lastTaken = queue.takes;
    classQueue.lanes.at(request.route).lastTaken = queue.takes;
}

} // namespace

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
    auto candidates = findCandidates(queue, routes, *tier);
    keepOnTime(candidates);
    replenish(candidates);
    const auto chosen = std::min_element(candidates.begin(), candidates.end(), goesBefore);
    auto &band = chosen->lane->onTime.flows.empty() ? chosen->lane->late : chosen->lane->onTime;
    const auto taken = queue.requests.at(detail::takeFrom(band, queue.requests));
    charge(queue, taken);
    detail::forget(queue, taken);
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
            const auto overdue = findOverdue(queue, candidate, now);
            const auto goesFirst = !starved || candidate.classQueue->lastTaken < longestAgo;
            if (overdue && goesFirst && mayUseFloor(candidate.requestClass)) {
                starved = overdue;
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

} // namespace auburnspread::queueing
