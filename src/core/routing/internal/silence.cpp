#include "core/routing/internal/silence.h"

#include "core/routing/internal/attempts.h"
#include "core/routing/internal/choosing.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/suspects.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>
#include <utility>

namespace auburnspread::routing
{

namespace
{

auto areAllSilent(const RouterState &state, const Request &request) -> bool
{
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](AttemptId id) { return state.attempts.at(id).isSilent; });
}

/// Balancing hears of each silence once.
auto noteSilence(RouterState &state, Attempt &attempt, Failure timeout) -> void
{
    if (!std::exchange(attempt.isSilent, true)) {
        balancing::noteSilent(*state.balancing, attempt.id, timeout, state.now);
        quarantine::recordSilence(state.quarantine, attempt.id, true);
        state.touched.insert(state.requests.at(attempt.request).route); // equal requests may wait for it
    }
}

/// Whether some server could take the request; a whole answer may begin anew if none can go on with it.
auto findWayToGoOn(RouterState &state, Request &request) -> bool
{
    if (canEverRun(state, request)) {
        return true;
    }
    if (request.call.stream || request.relayed == 0) {
        return false;
    }
    request.restarts = true;
    if (canEverRun(state, request)) {
        return true;
    }
    request.restarts = false;
    return false;
}

auto maySendElsewhere(RouterState &state, Request &request, const FailedAttempt &silent) -> bool
{
    const auto verdict = decideSuspect(state, request).verdict;
    return verdict != quarantine::Verdict::Wait && verdict != quarantine::Verdict::Refuse
        && !retry::findRetryObstacle(describeFailure(request, silent), state.now) && findWayToGoOn(state, request) && payRetry(state, request);
}

} // namespace

auto payRetry(const RouterState &state, Request &request) -> bool
{
    request.isRetryPaid = request.isRetryPaid || retry::takeRetry(request.requestClass->retryBudget, state.now);
    return request.isRetryPaid;
}

auto describeFailure(const Request &request, const FailedAttempt &failed) -> retry::FailedRequest
{
    const auto isChat = request.call.kind == CallKind::Chat;
    return {
        .failure = failed.failure,
        .repeatable = request.repeatable,
        .resumable = isChat,
        // A service's answer has no offsets: once committed, an unknown part of it is out.
        .answerBegun = request.call.stream && (isChat ? request.relayed > 0 : failed.wasCommitted),
        .retriesMade = request.retries,
        .deadline = request.deadline,
    };
}

auto onSilent(RouterState &state, const AttemptSilent &event, Actions &actions) -> void
{
    const auto place = state.attempts.find(event.attempt);
    if (place == state.attempts.end() || !place->second.sent) {
        return;
    }
    if (state.options.policy == Policy::Naive) {
        actions.emplace_back(CancelAttempt{ .attempt = event.attempt });
        onFailed(state, { .attempt = event.attempt, .failure = event.timeout, .relayedTokens = event.relayedTokens }, actions);
        return;
    }
    auto &attempt = place->second;
    auto &request = state.requests.at(attempt.request);
    request.relayed = std::max(request.relayed, event.relayedTokens);
    noteSilence(state, attempt, event.timeout);
    if (!areAllSilent(state, request)) {
        return;
    }
    announceOwnRetry(state, request, actions);
    if (request.stage != Stage::Placed) {
        return;
    }
    const auto wasPaid = request.isRetryPaid;
    if (!maySendElsewhere(state, request, { .failure = event.timeout, .wasCommitted = attempt.committed })) {
        request.restarts = false;
        return;
    }
    request.retries += 1;
    if (!wasPaid) {
        actions.emplace_back(Retried{ .request = request.call.request, .failure = event.timeout, .resumed = resumeOffsetOf(request) > 0 });
    }
    state.touched.insert(request.route);
    park(state, request);
}

auto preferAttempt(RouterState &state, Request &request, AttemptId attempt, Actions &actions) -> void
{
    stayWithAttempts(state, request);
    request.restarts = false;
    cancelOtherAttempts(state, request, attempt, actions);
}

auto noteActivity(RouterState &state, Attempt &attempt) -> bool
{
    quarantine::recordSilence(state.quarantine, attempt.id, false);
    return std::exchange(attempt.isSilent, false);
}

auto cancelCommitted(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto live = request.attempts;
    for (const auto id : live) {
        if (state.attempts.at(id).committed) {
            cancelAttempt(state, id, actions);
        }
    }
}

auto beginAnewIfRestarted(RouterState &state, Request &request, const Attempt &attempt) -> void
{
    if (request.call.stream || attempt.resumeOffset > 0 || request.relayed == 0) {
        return;
    }
    state.wastedTokens += request.relayed;
    request.relayed = 0;
    request.firstTokenAt.reset();
}

} // namespace auburnspread::routing
