#include "core/routing/internal/ending.h"

#include "core/routing/internal/suspects.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

auto retryAfterOf(const Refusal &refusal) -> std::optional<Duration>
{
    if (!reasonInfo(refusal.reason).retryHelps) {
        return std::nullopt;
    }
    return std::max(refusal.retryAfter.value_or(DefaultRetryAfter), DefaultRetryAfter);
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

/// A caller that is told when to come back comes back; with a request that may have run and must not run twice it may not.
auto mayInviteBack(const Request &request) -> bool
{
    return request.repeatable || !request.mayHaveRun;
}

auto outcomeOf(const Request &request, Reason reason) -> Outcome
{
    if (reason == Reason::Quarantined) {
        return Outcome::Quarantined;
    }
    return request.mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun;
}

/// Forgets the attempt; whatever still arrives from it is late.
auto releaseAttempt(RouterState &state, AttemptId id) -> void
{
    const auto place = state.attempts.find(id);
    const auto &attempt = place->second;
    auto &request = state.requests.at(attempt.request);
    std::erase(request.attempts, id);
    request.requestClass->inFlight -= 1;
    request.requestClass->floorInFlight -= attempt.onFloor ? 1 : 0;
    const auto &routes = state.routesOfServer[attempt.server];
    state.touched.insert(routes.begin(), routes.end());
    state.attempts.erase(place);
}

auto forget(RouterState &state, Request &request, std::uint32_t usedTokens) -> void
{
    const auto id = request.call.request;
    leaveWaiting(state, request);
    state.timers.erase({ request.latestStart, id, TimerKind::LatestStart });
    state.timers.erase({ request.latestRun, id, TimerKind::LatestRun });
    state.timers.erase({ request.endsAt, id, TimerKind::End });
    if (request.hedgeAt) {
        state.timers.erase({ *request.hedgeAt, id, TimerKind::Hedge });
    }
    limits::release(request.workspace->usage, request.cost, usedTokens);
    queueing::settle(state.queue, request.requestClass->id, request.cost, usedTokens);
    state.requests.erase(id);
}

auto learnAnswer(RouterState &state, Request &request, const Attempt &attempt, std::uint32_t tokens) -> void
{
    if (request.call.kind == CallKind::Chat && attempt.resumeOffset == 0 && request.firstTokenAt) {
        admission::recordAnswer(estimatesOf(request), tokens, state.now - *request.firstTokenAt);
    }
}

auto makeCompleted(const Request &request, std::uint32_t tokens, TimePoint now) -> Completed
{
    const auto firstToken = request.firstTokenAt.value_or(now) - request.arrived;
    return {
        .request = request.call.request,
        .requestClass = request.call.requestClass,
        .firstToken = firstToken,
        .answer = now - request.arrived,
        .tokens = tokens,
        .onTime = firstToken <= firstTokenBound(request) && now <= request.deadline,
    };
}

} // namespace

auto refuseCall(const RequestArrived &call, const Refusal &refusal, Actions &actions) -> void
{
    const auto outcome = refusal.reason == Reason::Quarantined ? Outcome::Quarantined : Outcome::NotRun;
    actions.emplace_back(makeRefuse(call.request, refusal, outcome));
}

auto refuse(RouterState &state, Request &request, const Refusal &refusal, Actions &actions) -> void
{
    cancelAttempts(state, request, actions);
    state.wastedTokens += request.relayed;
    request.requestClass->refused += 1;
    if (request.mayHaveRun && request.call.fingerprint != Fingerprint{}) {
        retry::recordGivenUp(state.repeats, static_cast<std::uint32_t>(request.workspace->id), request.call.fingerprint, state.now);
    }
    auto final = makeRefuse(request.call.request, refusal, outcomeOf(request, refusal.reason));
    if (!mayInviteBack(request)) {
        final.retryAfter.reset();
    }
    actions.emplace_back(final);
    forget(state, request, request.mayHaveRun ? request.call.promptTokens + request.relayed : 0);
}

auto finishAttempt(RouterState &state, AttemptId id, std::uint32_t tokens, Actions &actions) -> void
{
    const auto attempt = state.attempts.at(id);
    auto &request = state.requests.at(attempt.request);
    const auto fingerprint = request.call.fingerprint;
    learnAnswer(state, request, attempt, tokens);
    balancing::noteFinished(*state.balancing, id, tokens - std::min(tokens, attempt.resumeOffset), state.now);
    tellCell(quarantine::recordCompletion(state.quarantine, id, state.now), actions);
    releaseAttempt(state, id);
    cancelAttempts(state, request, actions);
    const auto completed = makeCompleted(request, tokens, state.now);
    request.requestClass->completed += 1;
    request.requestClass->onTime += completed.onTime ? 1 : 0;
    actions.emplace_back(completed);
    forget(state, request, request.call.promptTokens + tokens);
    releaseHeld(state, fingerprint, actions);
}

auto failAttempt(RouterState &state, AttemptId id, Failure failure, Actions &actions) -> void
{
    const auto &attempt = state.attempts.at(id);
    auto &request = state.requests.at(attempt.request);
    const auto view = balancing::viewServer(*state.balancing, attempt.server);
    request.mayHaveRun = request.mayHaveRun || !provesNotStarted(failure);
    request.tried.push_back({ .name = attempt.serverName, .failureDomain = view.failureDomain });
    balancing::noteFailed(*state.balancing, id, failure, state.now);
    const auto isCrash = looksLikeCrash(failure);
    tellCell(isCrash ? quarantine::recordCrash(state.quarantine, id, state.now) : quarantine::recordInconclusiveEnd(state.quarantine, id, state.now), actions);
    releaseAttempt(state, id);
    releaseHeld(state, request.call.fingerprint, actions);
}

auto cancelAttempt(RouterState &state, AttemptId id, Actions &actions) -> void
{
    const auto &attempt = state.attempts.at(id);
    auto &request = state.requests.at(attempt.request);
    if (attempt.sent) {
        request.mayHaveRun = true;
        actions.emplace_back(CancelAttempt{ .attempt = id });
    }
    balancing::noteCancelled(*state.balancing, id, state.now);
    tellCell(quarantine::recordInconclusiveEnd(state.quarantine, id, state.now), actions);
    releaseAttempt(state, id);
    releaseHeld(state, request.call.fingerprint, actions);
}

auto cancelAttempts(RouterState &state, Request &request, Actions &actions) -> void
{
    while (!request.attempts.empty()) {
        cancelAttempt(state, request.attempts.back(), actions);
    }
}

auto cancelOtherAttempts(RouterState &state, Request &request, AttemptId kept, Actions &actions) -> void
{
    const auto live = request.attempts;
    for (const auto attempt : live) {
        if (attempt != kept) {
            cancelAttempt(state, attempt, actions);
        }
    }
}

} // namespace auburnspread::routing
