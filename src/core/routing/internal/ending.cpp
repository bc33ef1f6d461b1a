#include "core/routing/internal/ending.h"

#include "core/routing/internal/placing.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

constexpr auto DefaultRetryAfter = std::chrono::seconds(1);

auto retryAfterOf(const Refusal &refusal) -> std::optional<Duration>
{
    if (refusal.retryAfter || !entryOf(refusal.reason).retryHelps) {
        return refusal.retryAfter;
    }
    return DefaultRetryAfter;
}

auto makeRefuse(RequestId request, const Refusal &refusal, Outcome outcome) -> Refuse
{
    return {
        .request = request,
        .reason = refusal.reason,
        .outcome = outcome,
        .retryAfter = retryAfterOf(refusal),
        .step = refusal.step,
        .peer = refusal.peer,
    };
}

auto outcomeOf(const Request &request, Reason reason) -> Outcome
{
    if (reason == Reason::Quarantined) {
        return Outcome::Quarantined;
    }
    return request.mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun;
}

auto forget(RouterState &state, Request &request) -> void
{
    leaveWaiting(state, request);
    state.timers.erase({ request.latestStart, request.call.request, TimerKind::LatestStart });
    state.timers.erase({ request.deadline, request.call.request, TimerKind::Deadline });
    request.workspace->open -= 1;
    state.requests.erase(request.call.request);
}

} // namespace

auto refuseCall(const RequestArrived &call, const Refusal &refusal, Actions &actions) -> void
{
    const auto outcome = refusal.reason == Reason::Quarantined ? Outcome::Quarantined : Outcome::NotRun;
    actions.emplace_back(makeRefuse(call.request, refusal, outcome));
}

auto releaseAttempt(RouterState &state, AttemptId attempt) -> void
{
    const auto place = state.attempts.find(attempt);
    auto &server = *place->second.server;
    auto &request = state.requests.at(place->second.request);
    std::erase(request.attempts, attempt);
    request.requestClass->inFlight -= 1;
    server.inFlight -= 1;
    state.touched.insert(server.routes.begin(), server.routes.end());
    if (!server.inDocument && server.inFlight == 0) {
        state.servers.erase(server.name);
    }
    state.attempts.erase(place);
}

auto cancelAttempt(RouterState &state, Request &request, AttemptId attempt, Actions &actions) -> void
{
    if (state.attempts.at(attempt).sent) {
        request.mayHaveRun = true;
        actions.emplace_back(CancelAttempt{ .attempt = attempt });
    }
    releaseAttempt(state, attempt);
}

auto refuse(RouterState &state, Request &request, const Refusal &refusal, Actions &actions) -> void
{
    while (!request.attempts.empty()) {
        cancelAttempt(state, request, request.attempts.back(), actions);
    }
    state.wastedTokens += request.relayed;
    request.requestClass->refused += 1;
    actions.emplace_back(makeRefuse(request.call.request, refusal, outcomeOf(request, refusal.reason)));
    forget(state, request);
}

auto complete(RouterState &state, Request &request, std::uint32_t tokens, TimePoint now, Actions &actions) -> void
{
    auto &requestClass = *request.requestClass;
    const auto firstToken = request.firstTokenAt.value_or(now) - request.arrived;
    const auto onTime = firstToken <= requestClass.definition.firstTokenTarget && now <= request.deadline;
    requestClass.completed += 1;
    requestClass.onTime += onTime ? 1 : 0;
    actions.emplace_back(Completed{
        .request = request.call.request,
        .requestClass = request.call.requestClass,
        .firstToken = firstToken,
        .answer = now - request.arrived,
        .tokens = tokens,
        .onTime = onTime,
    });
    forget(state, request);
}

} // namespace auburnspread::routing
