#include "core/routing/internal/arriving.h"

#include "core/routing/internal/choosing.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/naive.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

/// A fresh request pays into the retry budget of its class; one that its caller repeats draws on it.
auto accountRepeat(RouterState &state, const Request &request) -> void
{
    auto &budget = request.requestClass->retryBudget;
    const auto workspace = static_cast<std::uint32_t>(request.workspace->id);
    const auto repeated = request.call.fingerprint != Fingerprint{} && retry::takeRepeat(state.repeats, workspace, request.call.fingerprint, state.now);
    if (repeated) {
        retry::chargeRepeat(budget, state.now);
    } else {
        retry::addRetryCredit(budget, state.adopted->document.limits.retryBudgetPercent, state.now);
    }
}

/// Puts the request behind those of its tier whose first token can still be on time.
auto markLate(Request &request) -> void
{
    request.late = true;
    request.forecastWait = Duration::zero(); // its wait says nothing about that of those before it
}

auto forecastLateWait(const RouterState &state, Request &request) -> Duration
{
    const auto &workspace = *request.workspace;
    const auto ahead = queueing::countAheadOfLate(state.queue, request.requestClass->id, request.route, workspace.id, workspace.definition.weight);
    return admission::forecastLateWait(estimatesOf(request), ahead, state.now);
}

/// Why the request can no longer meet its answer target, if so; one that only misses its first-token target is marked late. The forecast
/// never bars a class's reserved places: a class in which nothing waits always gets a request in, so none is starved by a
/// forecast, and a wrong forecast is put right by what comes.
auto whyUnreachable(RouterState &state, Request &request) -> std::optional<Refusal>
{
    const auto &requestClass = *request.requestClass;
    const auto ahead = queueing::countAhead(state.queue, requestClass.id, request.route, request.workspace->id, request.workspace->definition.weight);
    request.forecastWait = admission::forecastWait(estimatesOf(request), ahead, state.now);
    if (queueing::waitingOf(state.queue, requestClass.id) == 0 || queueing::hasReservedPlace(state.queue, requestClass.id)) {
        return std::nullopt;
    }
    const auto answer = request.deadline - request.arrived;
    const admission::Targets targets{ .firstToken = firstTokenBound(request), .answer = answer };
    if (!admission::targetOverrun(estimatesOf(request), request.forecastWait, targets)) {
        return std::nullopt;
    }
    markLate(request);
    const auto missed = admission::targetOverrun(estimatesOf(request), forecastLateWait(state, request), { .firstToken = answer, .answer = answer });
    if (!missed) {
        return std::nullopt;
    }
    return Refusal{ .reason = Reason::DeadlineUnreachable, .step = "forecast", .retryAfter = missed };
}

/// Whether the queue has a place for one more request, if need be that of a lower tier or of a late one of its own.
auto findPlace(RouterState &state, const Request &request, Actions &actions) -> bool
{
    const auto &requestClass = *request.requestClass;
    if (queueing::hasReservedPlace(state.queue, requestClass.id)) {
        return true;
    }
    if (queueing::boundedLength(state.queue) < state.adopted->document.limits.queueLength) {
        return true;
    }
    auto victim = queueing::findVictim(state.queue, requestClass.definition.tier);
    if (!victim && !request.late) {
        victim = queueing::findLateVictim(state.queue, requestClass.definition.tier);
    }
    if (!victim) {
        return false;
    }
    auto &evicted = state.requests.at(*victim);
    routeOf(state, evicted.route).unmet += 1;
    refuse(state, evicted, { .reason = Reason::Shed, .step = "queue" }, actions);
    return true;
}

auto queueRequest(RouterState &state, Request &request, Actions &actions) -> void
{
    auto &unmet = routeOf(state, request.route).unmet;
    if (const auto unreachable = whyUnreachable(state, request)) {
        unmet += 1;
        refuse(state, request, *unreachable, actions);
        return;
    }
    const auto goesAtOnce = freeSlots(state, request.route) > 0 && queueing::waitingOn(state.queue, request.route) == 0;
    if (!goesAtOnce && !findPlace(state, request, actions)) {
        unmet += 1;
        refuse(state, request, { .reason = Reason::QueueFull, .step = "queue", .retryAfter = request.forecastWait }, actions);
        return;
    }
    waitForSlot(state, request, actions);
}

auto expectedCost(ClassState &requestClass, RouteId route, const RequestArrived &call) -> std::uint32_t
{
    if (call.kind == CallKind::Service) {
        return 1;
    }
    return std::max<std::uint32_t>(1, call.promptTokens + admission::expectedTokens(requestClass.estimates[route], call.maxTokens));
}

} // namespace

auto admitRequest(RouterState &state, const RequestArrived &call, const Identified &identified) -> Request &
{
    const auto &definition = identified.requestClass->definition;
    state.lastArrival += 1;
    auto &request = state.requests[call.request];
    request.call = call;
    request.requestClass = identified.requestClass;
    request.workspace = identified.workspace;
    request.route = identified.route;
    request.order = state.lastArrival;
    request.cost = expectedCost(*identified.requestClass, identified.route, call);
    request.repeatable = identified.repeatable;
    request.arrived = state.now;
    request.deadline = state.now + std::min(definition.answerTarget, call.deadline.value_or(definition.answerTarget));
    const auto latestRun = request.deadline - admission::typicalAnswer(estimatesOf(request));
    const auto latestFirstToken = state.now + definition.firstTokenTarget - admission::quickFirstToken(estimatesOf(request));
    request.latestStart = call.stream ? latestFirstToken : latestRun;
    request.latestRun = std::max(request.latestStart, latestRun);
    request.endsAt = request.deadline;
    state.timers.insert({ request.latestStart, call.request, TimerKind::LatestStart });
    state.timers.insert({ request.latestRun, call.request, TimerKind::LatestRun });
    state.timers.insert({ request.endsAt, call.request, TimerKind::End });
    return request;
}

auto acceptRequest(RouterState &state, const RequestArrived &call, Actions &actions) -> void
{
    if (state.draining) {
        refuseCall(call, { .reason = Reason::Draining, .step = "admit" }, actions);
        return;
    }
    const auto checked = identify(state, call);
    if (const auto *reason = std::get_if<Reason>(&checked)) {
        refuseCall(call, { .reason = *reason, .step = "identify" }, actions);
        return;
    }
    const auto &identified = std::get<Identified>(checked);
    if (state.options.policy == Policy::Naive) {
        acceptNaively(state, call, identified, actions);
        return;
    }
    if (call.fingerprint != Fingerprint{} && quarantine::isQuarantined(state.quarantine, call.fingerprint, state.now)) {
        identified.requestClass->refused += 1;
        refuseCall(call, { .reason = Reason::Quarantined, .step = "quarantine" }, actions);
        return;
    }
    auto &workspace = *identified.workspace;
    const limits::LimitRequest ask{ .tokens = expectedCost(*identified.requestClass, identified.route, call),
                                    .reserve = limits::reserveForTier(workspace.tiers, identified.requestClass->definition.tier) };
    state.activeWorkspaces.try_emplace(workspace.definition.name, &workspace);
    if (const auto limited = limits::admit(workspace.usage, workspace.definition, ask, state.entries, state.now)) {
        identified.requestClass->refused += 1;
        refuseCall(call, { .reason = limited->reason, .step = "limits", .retryAfter = limited->retryAfter }, actions);
        return;
    }
    auto &request = admitRequest(state, call, identified);
    accountRepeat(state, request);
    queueRequest(state, request, actions);
}

} // namespace auburnspread::routing
