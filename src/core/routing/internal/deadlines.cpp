#include "core/routing/internal/deadlines.h"

#include "core/routing/internal/ending.h"
#include "core/routing/internal/hedging.h"

namespace auburnspread::routing
{

namespace
{

constexpr int GracePart = 4; ///< of the class's answer target

auto isWorthFinishing(Request &request) -> bool
{
    const auto callerSetIt = request.call.deadline && *request.call.deadline < request.requestClass->definition.answerTarget;
    if (!request.firstTokenAt || request.attempts.empty() || callerSetIt || request.endsAt != request.deadline) {
        return false;
    }
    return admission::expectedRest(estimatesOf(request), request.relayed) <= request.requestClass->definition.answerTarget / GracePart;
}

/// A late request that is begun now would not be likely to end in time: the slot is of more use to the next one, and its caller
/// learns at once that it was not run. What waits on its class's reserved places stays, so that a class whose answers always
/// take longer than its target is still answered.
auto onLatestRun(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto &requestClass = *request.requestClass;
    if (request.stage != Stage::Queued || queueing::waitingOf(state.queue, requestClass.id) <= requestClass.definition.floorSlots) {
        return;
    }
    routeOf(state, request.route).unmet += 1;
    refuse(state, request, { .reason = Reason::DeadlineUnreachable, .step = "queue" }, actions);
}

auto onEnd(RouterState &state, Request &request, Actions &actions) -> void
{
    if (isWorthFinishing(request)) {
        request.endsAt = request.deadline + request.requestClass->definition.answerTarget / GracePart;
        state.timers.insert({ request.endsAt, request.call.request, TimerKind::End });
        return;
    }
    const auto peer = request.attempts.empty() ? std::string() : state.attempts.at(request.attempts.front()).serverName;
    refuse(state, request, { .reason = Reason::DeadlinePassed, .step = peer.empty() ? "queue" : "relay", .peer = peer }, actions);
}

} // namespace

auto fireTimers(RouterState &state, Actions &actions) -> void
{
    while (!state.timers.empty() && std::get<TimePoint>(*state.timers.begin()) <= state.now) {
        const auto [time, id, kind] = *state.timers.begin();
        state.timers.erase(state.timers.begin());
        auto &request = state.requests.at(id);
        switch (kind) {
        case TimerKind::LatestStart:
            queueing::demote(state.queue, id);
            break;
        case TimerKind::LatestRun:
            onLatestRun(state, request, actions);
            break;
        case TimerKind::Hedge:
            request.hedgeAt.reset();
            onHedgeDue(state, request, actions);
            break;
        case TimerKind::End:
            onEnd(state, request, actions);
            break;
        }
    }
}

} // namespace auburnspread::routing
