#include "core/routing/internal/placing.h"

#include "core/routing/internal/catalog.h"
#include "core/routing/internal/ending.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

auto hasRoom(const Server &server) -> bool
{
    return takesWork(server) && server.inFlight < server.concurrency;
}

auto hasRoom(const Route &route) -> bool
{
    return std::any_of(route.servers.begin(), route.servers.end(), [](const auto *server) { return hasRoom(*server); });
}

auto wasTried(const Request &request, const Server &server) -> bool
{
    return std::find(request.tried.begin(), request.tried.end(), server.name) != request.tried.end();
}

auto mayTake(const Request &request, const Server &server) -> bool
{
    return !wasTried(request, server) && (request.relayed == 0 || server.canResume);
}

auto isLessLoaded(const Server &left, const Server &right) -> bool
{
    return static_cast<std::uint64_t>(left.inFlight) * right.concurrency < static_cast<std::uint64_t>(right.inFlight) * left.concurrency;
}

auto chooseServer(RouterState &state, const Request &request) -> Server *
{
    Server *best = nullptr;
    for (auto *server : routeOf(state, request.route).servers) {
        if (!hasRoom(*server) || !mayTake(request, *server)) {
            continue;
        }
        if (best == nullptr || isLessLoaded(*server, *best)) {
            best = server;
        }
    }
    return best;
}

auto parkedKey(const Request &request) -> std::tuple<int, TimePoint, RequestId>
{
    return { request.requestClass->definition.tier, request.deadline, request.call.request };
}

auto send(RouterState &state, Request &request, Attempt &attempt, TimePoint now, Actions &actions) -> void
{
    const auto &route = routeOf(state, request.route).key;
    const auto &limits = state.adopted->document.limits;
    const auto &server = *attempt.server;
    attempt.sent = true;
    attempt.sentAt = now;
    actions.emplace_back(Dispatch{
        .request = request.call.request,
        .attempt = attempt.id,
        .backend = server.name,
        .address = server.address,
        .model = route.kind == CallKind::Chat ? route.name : std::string(),
        .version = route.version,
        .adapter = route.adapter,
        .priority = request.requestClass->definition.tier,
        .resumeOffset = attempt.resumeOffset,
        .freshConnection = request.retries > 0,
        .firstTokenTimeout = limits.firstTokenTimeout,
        .progressTimeout = limits.progressTimeout,
    });
}

/// A non-repeatable request that its caller can repeat recognisably is claimed while its slot is held; any later and it could run
/// twice, any earlier and a request that is evicted from the queue would leave a claim that bars its caller's repeat.
auto place(RouterState &state, Request &request, Server &server, TimePoint now, Actions &actions) -> void
{
    state.lastAttempt += 1;
    const auto id = static_cast<AttemptId>(state.lastAttempt);
    auto &attempt = state.attempts[id];
    attempt = { .id = id, .request = request.call.request, .server = &server, .resumeOffset = request.relayed };
    request.attempts.push_back(id);
    request.stage = Stage::Placed;
    request.requestClass->inFlight += 1;
    server.inFlight += 1;
    if (!request.repeatable && !request.claimed && !request.call.idempotencyKey.empty()) {
        actions.emplace_back(ClaimKey{ .request = request.call.request, .workspace = request.call.workspace, .idempotencyKey = request.call.idempotencyKey });
        return;
    }
    send(state, request, attempt, now, actions);
}

/// The first parked request for which a slot is free on a server that it may use.
auto placeParked(RouterState &state, RouteId routeId, TimePoint now, Actions &actions) -> bool
{
    for (const auto &[tier, deadline, id] : routeOf(state, routeId).parked) {
        auto &request = state.requests.at(id);
        if (auto *server = chooseServer(state, request)) {
            leaveWaiting(state, request);
            place(state, request, *server, now, actions);
            return true;
        }
    }
    return false;
}

auto placeQueued(RouterState &state, std::span<const RouteId> routes, TimePoint now, Actions &actions) -> bool
{
    const auto taken = queueing::takeNext(state.queue, routes);
    if (!taken) {
        return false;
    }
    auto &request = state.requests.at(taken->request);
    place(state, request, *chooseServer(state, request), now, actions);
    return true;
}

} // namespace

auto leaveWaiting(RouterState &state, Request &request) -> void
{
    if (request.stage == Stage::Queued) {
        queueing::remove(state.queue, request.call.request);
    }
    if (request.stage == Stage::Parked) {
        routeOf(state, request.route).parked.erase(parkedKey(request));
    }
}

auto waitAgain(RouterState &state, Request &request, TimePoint now, Actions &actions) -> void
{
    const auto &servers = routeOf(state, request.route).servers;
    const auto canRun = [&](const auto *server) { return takesWork(*server) && mayTake(request, *server); };
    if (std::none_of(servers.begin(), servers.end(), canRun)) {
        refuse(state, request, { .reason = Reason::NoBackendServer, .step = "choose" }, actions);
        return;
    }
    state.touched.insert(request.route);
    if (!request.tried.empty() || request.relayed > 0) {
        request.stage = Stage::Parked;
        routeOf(state, request.route).parked.insert(parkedKey(request));
        return;
    }
    request.stage = Stage::Queued;
    queueing::enqueue(state.queue,
                      { .request = request.call.request,
                        .requestClass = request.requestClass->id,
                        .workspace = request.workspace->id,
                        .route = request.route,
                        .workspaceWeight = request.workspace->definition.weight,
                        .order = request.order,
                        .cost = std::max<std::uint32_t>(1, request.call.promptTokens),
                        .arrived = request.arrived,
                        .latestStart = request.latestStart,
                        .deadline = request.deadline });
    if (now >= request.latestStart) {
        queueing::demote(state.queue, request.call.request);
    }
}

auto dispatchWaiting(RouterState &state, TimePoint now, Actions &actions) -> void
{
    auto placed = true;
    while (placed) {
        placed = false;
        std::vector<RouteId> open;
        for (const auto route : state.touched) {
            if (hasRoom(routeOf(state, route))) {
                open.push_back(route);
            }
        }
        for (const auto route : open) {
            placed = placed || placeParked(state, route, now, actions);
        }
        placed = placed || placeQueued(state, open, now, actions);
    }
    state.touched.clear();
}

auto sendClaimed(RouterState &state, Request &request, TimePoint now, Actions &actions) -> void
{
    request.claimed = true;
    send(state, request, state.attempts.at(request.attempts.front()), now, actions);
}

} // namespace auburnspread::routing
