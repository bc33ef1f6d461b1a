#include "core/routing/internal/dispatching.h"

#include "core/routing/internal/choosing.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/placing.h"
#include "core/routing/internal/suspects.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

using quarantine::Verdict;

/// One of this many dispatches from the queue may go to a floor.
///
/// A class whose requests wait past its starvation bound while higher tiers use every slot would never be answered. Its
/// floor mends that, and cannot shed a higher tier: it takes nothing from a request that runs or waits, only the slot
/// that becomes free next; it is bounded by the class's floor slots in flight and by this part of all dispatches, so
/// that higher tiers keep all other slots; and the queue places of waiting higher-tier requests do not depend on it.
constexpr std::uint32_t FloorPeriod = 4;

/// Parked requests looked at for one free slot. A parked request fails to fit only if every free slot is on a server
/// that failed it already; looking at all of them each time would make a mass failure quadratic.
constexpr int ParkedLookedAt = 8;

/// How long a suspect waits for a backend server with little else in flight before it takes any.
constexpr Duration QuietPatience = std::chrono::seconds(1);

enum class Result {
    Placed,
    SetAside, ///< refused, held or parked: it is not in the queue any more
    NoSlot,   ///< no free slot fits it
};

/// Keeps the request back behind an equal one, if not too many are kept back already: they are outside the queue and its bound.
auto holdOrRefuse(RouterState &state, Request &request, Actions &actions) -> void
{
    if (mayHold(state, request)) {
        hold(state, request, actions);
        return;
    }
    refuse(state, request, { .reason = Reason::QueueFull, .step = "quarantine" }, actions);
}

/// Whether a suspect has waited long enough for a quiet backend server. Under full load there is none: all that ran on a crashed
/// server, innocent but for one, would wait until their deadlines. On a busy one a second crash costs more, but once: its victims
/// were not at the first crash, so the blame still falls on the one that was at both.
auto isOutOfPatience(const RouterState &state, const Request &request) -> bool
{
    return request.heldSince && state.now - *request.heldSince >= QuietPatience;
}

/// A suspect, or a request behind an equal one, that found no server may not stand in the way of others.
auto setAside(RouterState &state, Request &request, const quarantine::Decision &decision, Actions &actions) -> void
{
    if (decision.verdict == Verdict::RunAlone && isOutOfPatience(state, request)) {
        park(state, request);
        return;
    }
    holdOrRefuse(state, request, actions);
}

/// Places a request that was taken out of its waiting place.
auto tryPlace(RouterState &state, Request &request, bool onFloor, Actions &actions) -> Result
{
    const auto decision = decideSuspect(state, request);
    if (decision.verdict == Verdict::Refuse) {
        refuse(state, request, { .reason = Reason::Quarantined, .step = "quarantine" }, actions);
        return Result::SetAside;
    }
    if (decision.verdict == Verdict::Wait) {
        holdOrRefuse(state, request, actions);
        return Result::SetAside;
    }
    const auto alone = decision.verdict == Verdict::RunAlone;
    const auto quietOnly = alone && !isOutOfPatience(state, request);
    const auto server = chooseServer(state, request, { .quietOnly = quietOnly, .onlyServer = decision.server });
    if (server) {
        place(state, request, { .server = *server, .alone = alone, .onFloor = onFloor }, actions);
        if (alone) {
            cancelOtherAttempts(state, request, request.attempts.back(), actions);
        }
        return Result::Placed;
    }
    if (decision.verdict == Verdict::Run || !request.attempts.empty()) {
        return Result::NoSlot;
    }
    setAside(state, request, decision, actions);
    return Result::SetAside;
}

/// Whether a request that waits beside its silent attempts may not be sent again now, for the sake of equal ones.
auto mustStay(const RouterState &state, const Request &request) -> bool
{
    const auto verdict = decideSuspect(state, request).verdict;
    return verdict == Verdict::Wait || verdict == Verdict::Refuse;
}

/// Places the first parked request for which a slot is free on a server that it may use, if it is of \p tier or higher.
auto placeParked(RouterState &state, RouteId route, int tier, Actions &actions) -> bool
{
    auto &parked = routeOf(state, route).parked;
    auto left = ParkedLookedAt;
    for (auto next = parked.begin(); next != parked.end() && left > 0; --left) {
        const auto [parkedTier, deadline, id] = *next;
        if (parkedTier > tier) {
            return false;
        }
        ++next;
        auto &request = state.requests.at(id);
        if (!request.attempts.empty() && mustStay(state, request)) {
            stayWithAttempts(state, request);
            continue;
        }
        leaveWaiting(state, request);
        const auto result = tryPlace(state, request, false, actions);
        if (result == Result::Placed) {
            return true;
        }
        if (result == Result::NoSlot) {
            request.stage = Stage::Parked;
            parked.insert({ parkedTier, deadline, id });
        }
    }
    return false;
}

auto mayUseFloor(const RouterState &state, ClassId requestClass) -> bool
{
    const auto &owner = *state.classesById.at(requestClass);
    return owner.floorInFlight < owner.definition.floorSlots;
}

struct Taken {
    queueing::WaitingRequest waiting;
    bool onFloor = false;
};

auto takeFromQueue(RouterState &state, std::span<const RouteId> routes) -> std::optional<Taken>
{
    if (state.floorCredit >= FloorPeriod) {
        const auto allowed = [&](ClassId requestClass) { return mayUseFloor(state, requestClass); };
        if (const auto starved = queueing::takeStarved(state.queue, routes, state.now, allowed)) {
            return Taken{ .waiting = *starved, .onFloor = true };
        }
    }
    if (const auto next = queueing::takeNext(state.queue, routes)) {
        return Taken{ .waiting = *next };
    }
    return std::nullopt;
}

/// What the queue learns from a request that left it for a backend server.
auto noteLeftQueue(RouterState &state, Request &request, bool onFloor) -> void
{
    const auto &requestClass = *request.requestClass;
    const auto isSpare = !onFloor && (isLate(state, request) || state.now == request.queuedAt);
    state.floorCredit = onFloor ? 0 : std::min(state.floorCredit + 1, FloorPeriod);
    admission::recordSpareShare(estimatesOf(request), isSpare, requestClass.definition.answerTarget, state.now);
    if (state.now > request.queuedAt) {
        admission::recordDequeue(estimatesOf(request), state.now - request.queuedAt, request.forecastWait, state.now);
    }
}

/// Takes the next request from the queue. Routes on which it found no slot that fits are removed from \p routes.
auto placeQueued(RouterState &state, std::vector<RouteId> &routes, Actions &actions) -> bool
{
    const auto taken = takeFromQueue(state, routes);
    if (!taken) {
        return false;
    }
    auto &request = state.requests.at(taken->waiting.request);
    const auto result = tryPlace(state, request, taken->onFloor, actions);
    if (result == Result::Placed) {
        noteLeftQueue(state, request, taken->onFloor);
    }
    if (result == Result::NoSlot) {
        queueing::putBack(state.queue, taken->waiting, isLate(state, request));
        std::erase(routes, request.route);
    }
    return true;
}

/// Touched routes with a free slot.
auto openRoutes(RouterState &state, const std::set<RouteId> &without) -> std::vector<RouteId>
{
    std::vector<RouteId> open;
    for (const auto route : state.touched) {
        if (!without.contains(route) && freeSlots(state, route) > 0) {
            open.push_back(route);
        }
    }
    return open;
}

} // namespace

auto dispatchWaiting(RouterState &state, Actions &actions) -> void
{
    std::set<RouteId> closed;
    while (true) {
        auto open = openRoutes(state, closed);
        const auto tier = queueing::highestTier(state.queue, open).value_or(configuration::TierCount);
        const auto parkedFirst = std::any_of(open.begin(), open.end(), [&](RouteId route) { return placeParked(state, route, tier, actions); });
        if (parkedFirst) {
            continue;
        }
        const auto before = open;
        if (!placeQueued(state, open, actions)) {
            break;
        }
        if (open.size() < before.size()) {
            std::set_difference(before.begin(), before.end(), open.begin(), open.end(), std::inserter(closed, closed.end()));
        }
    }
    state.touched.clear();
}

} // namespace auburnspread::routing
