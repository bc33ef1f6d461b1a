#include "core/routing/internal/arriving.h"

#include "core/routing/internal/catalog.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/identify.h"
#include "core/routing/internal/placing.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

/// Makes room in the queue if that is possible at all for a request of this class.
auto findPlace(RouterState &state, const ClassState &requestClass, Actions &actions) -> bool
{
    if (queueing::hasReservedPlace(state.queue, requestClass.id)) {
        return true;
    }
    if (queueing::boundedLength(state.queue) < state.adopted->document.limits.queueLength) {
        return true;
    }
    const auto victim = queueing::findVictim(state.queue, requestClass.definition.tier);
    if (!victim) {
        return false;
    }
    refuse(state, state.requests.at(*victim), { .reason = Reason::Shed, .step = "queue" }, actions);
    return true;
}

} // namespace

auto acceptRequest(RouterState &state, const RequestArrived &call, TimePoint now, Actions &actions) -> void
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
    auto &requestClass = *identified.requestClass;
    if (!findPlace(state, requestClass, actions)) {
        requestClass.refused += 1;
        refuseCall(call, { .reason = Reason::QueueFull, .step = "queue" }, actions);
        return;
    }
    const auto &definition = requestClass.definition;
    state.arrivals += 1;
    identified.workspace->open += 1;
    auto &request = state.requests[call.request];
    request.call = call;
    request.requestClass = identified.requestClass;
    request.workspace = identified.workspace;
    request.route = findRoute(state, identified.route);
    request.order = state.arrivals;
    request.arrived = now;
    request.latestStart = now + definition.firstTokenTarget;
    request.deadline = now + std::min(definition.answerTarget, call.deadline.value_or(definition.answerTarget));
    request.repeatable = identified.repeatable;
    state.timers.insert({ request.latestStart, call.request, TimerKind::LatestStart });
    state.timers.insert({ request.deadline, call.request, TimerKind::Deadline });
    waitAgain(state, request, now, actions);
}

} // namespace auburnspread::routing
