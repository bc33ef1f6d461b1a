#include "core/routing/internal/waiting.h"

#include "core/routing/internal/choosing.h"
#include "core/routing/internal/ending.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

auto parkedKey(const Request &request) -> Route::ParkedKey
{
    return { request.requestClass->definition.tier, request.deadline, request.call.request };
}

auto enqueue(RouterState &state, Request &request) -> void
{
    request.stage = Stage::Queued;
    request.queuedAt = state.now;
    const auto classId = request.requestClass->id;
    if (queueing::waitingOf(state.queue, classId, request.route) == 0) {
        admission::recordQueueStart(estimatesOf(request), state.now);
    }
    queueing::enqueue(state.queue,
                      { .request = request.call.request,
                        .requestClass = classId,
                        .workspace = request.workspace->id,
                        .route = request.route,
                        .workspaceWeight = request.workspace->definition.weight,
                        .order = request.order,
                        .cost = request.cost,
                        .arrived = request.arrived,
                        .deadline = request.deadline });
    if (isLate(state, request)) {
        queueing::demote(state.queue, request.call.request);
    }
}

auto leaveHeld(RouterState &state, const Request &request) -> void
{
    const auto place = state.held.find(request.call.fingerprint);
    if (place == state.held.end()) {
        return;
    }
    place->second.erase({ request.order, request.call.request });
    if (place->second.empty()) {
        state.held.erase(place);
    }
}

/// Why a request for which no backend server is left ends.
auto whyStranded(const Request &request) -> Reason
{
    if (request.relayed > 0) {
        return Reason::StreamBroken;
    }
    return request.tried.empty() ? Reason::NoBackendServer : Reason::BackendFailed;
}

auto refuseStrandedParked(RouterState &state, Route &route, Actions &actions) -> void
{
    const auto parked = route.parked;
    for (const auto &[tier, deadline, id] : parked) {
        auto &request = state.requests.at(id);
        if (canEverRun(state, request)) {
            continue;
        }
        if (stayWithAttempts(state, request)) {
            continue;
        }
        leaveWaiting(state, request);
        waitForSlot(state, request, actions);
    }
}

auto refuseStrandedQueued(RouterState &state, RouteId routeId, Actions &actions) -> void
{
    const auto &route = routeOf(state, routeId);
    if (queueing::waitingOn(state.queue, routeId) == 0 || balancing::countServers(*state.balancing, queryOf(route)) > 0) {
        return;
    }
    const auto stays = [&](ServerIndex server) { return !balancing::viewServer(*state.balancing, server).leaving; };
    if (std::any_of(route.servers.begin(), route.servers.end(), stays)) {
        return;
    }
    for (const auto id : queueing::listWaiting(state.queue, routeId)) {
        refuse(state, state.requests.at(id), { .reason = Reason::NoBackendServer, .step = "queue" }, actions);
    }
}

} // namespace

auto waitForSlot(RouterState &state, Request &request, Actions &actions) -> void
{
    if (!canEverRun(state, request)) {
        const auto peer = request.tried.empty() ? std::string() : request.tried.back().name;
        refuse(state, request, { .reason = whyStranded(request), .step = "choose", .peer = peer }, actions);
        return;
    }
    state.touched.insert(request.route);
    if (request.tried.empty() && request.relayed == 0) {
        enqueue(state, request);
    } else {
        park(state, request);
    }
}

auto park(RouterState &state, Request &request) -> void
{
    request.stage = Stage::Parked;
    routeOf(state, request.route).parked.insert(parkedKey(request));
}

auto stayWithAttempts(RouterState &state, Request &request) -> bool
{
    if (request.stage != Stage::Parked || request.attempts.empty()) {
        return false;
    }
    leaveWaiting(state, request);
    request.stage = Stage::Placed;
    request.retries -= 1;
    request.restarts = false;
    return true;
}

auto leaveWaiting(RouterState &state, Request &request) -> void
{
    switch (request.stage) {
    case Stage::Queued:
        queueing::remove(state.queue, request.call.request);
        return;
    case Stage::Parked:
        routeOf(state, request.route).parked.erase(parkedKey(request));
        return;
    case Stage::Held:
        leaveHeld(state, request);
        return;
    case Stage::Placed:
        return;
    }
}

auto countWaitingAside(const RouterState &state) -> std::map<ClassId, std::uint32_t>
{
    std::map<ClassId, std::uint32_t> counts;
    for (const auto &route : state.routes) {
        for (const auto &[tier, deadline, id] : route.parked) {
            counts[state.requests.at(id).requestClass->id] += 1;
        }
    }
    for (const auto &[fingerprint, requests] : state.held) {
        for (const auto &[order, id] : requests) {
            counts[state.requests.at(id).requestClass->id] += 1;
        }
    }
    return counts;
}

auto touchWaiting(RouterState &state) -> void
{
    for (std::size_t index = 0; index < state.routes.size(); ++index) {
        const auto route = static_cast<RouteId>(index);
        if (!state.routes.at(index).parked.empty() || queueing::waitingOn(state.queue, route) > 0) {
            state.touched.insert(route);
        }
    }
}

auto reviewWaiting(RouterState &state, Actions &actions) -> void
{
    for (std::size_t index = 0; index < state.routes.size(); ++index) {
        refuseStrandedParked(state, state.routes.at(index), actions);
        refuseStrandedQueued(state, static_cast<RouteId>(index), actions);
    }
}

} // namespace auburnspread::routing
