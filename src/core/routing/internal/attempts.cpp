#include "core/routing/internal/attempts.h"

#include "core/retry/decision.h"
#include "core/routing/internal/choosing.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/naive.h"
#include "core/routing/internal/placing.h"
#include "core/routing/internal/silence.h"
#include "core/routing/internal/suspects.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>
#include <utility>

namespace auburnspread::routing
{

namespace
{

auto findLive(RouterState &state, AttemptId attempt) -> Attempt *
{
    const auto place = state.attempts.find(attempt);
    return place == state.attempts.end() || !place->second.sent ? nullptr : &place->second;
}

auto awaitsClaim(const RouterState &state, const Request &request) -> bool
{
    return !request.attempts.empty() && !state.attempts.at(request.attempts.front()).sent;
}

/// An answer of which the caller has seen nothing yet begins anew if no backend server can go on with it.
auto restartIfNeeded(RouterState &state, Request &request) -> void
{
    if (request.relayed > 0 && !request.call.stream && !canEverRun(state, request)) {
        state.wastedTokens += request.relayed;
        request.relayed = 0;
        request.firstTokenAt.reset();
    }
}

/// \param isCounted whether the retry was counted already, when it began to wait beside the attempt
auto retryElsewhere(RouterState &state, Request &request, const FailedAttempt &failed, bool isCounted, Actions &actions) -> void
{
    const auto failure = failed.failure;
    request.restarts = false;
    const auto peer = request.tried.back().name;
    if (decideSuspect(state, request).verdict == quarantine::Verdict::Refuse) {
        refuse(state, request, { .reason = Reason::Quarantined, .step = "quarantine", .peer = peer }, actions);
        return;
    }
    if (const auto reason = retry::findRetryObstacle(describeFailure(request, failed), state.now)) {
        refuse(state, request, { .reason = *reason, .step = "relay", .peer = peer }, actions);
        return;
    }
    restartIfNeeded(state, request);
    if (canEverRun(state, request)) {
        // What did not start loaded no backend server, so trying it elsewhere cannot multiply the load.
        if (!provesNotStarted(failure) && !payRetry(state, request)) {
            refuse(state, request, { .reason = Reason::RetryBudget, .step = "relay", .peer = peer }, actions);
            return;
        }
        request.retries += 1;
        if (!isCounted) {
            actions.emplace_back(Retried{ .request = request.call.request, .failure = failure, .resumed = request.relayed > 0 });
        }
    }
    waitForSlot(state, request, actions);
}

/// Whether the attempts that are left after a crash must end too, because the request is a suspect now and runs beside others.
///
/// Failure: a server is silent and then crashes, its requests run elsewhere meanwhile. Symptom: a request that crashes servers takes
/// another one down, and those that ran beside it on both are quarantined with it. Where no retry is left, the attempts go on.
auto mustEndOthers(RouterState &state, Request &request, const FailedAttempt &crashed) -> bool
{
    const auto verdict = decideSuspect(state, request).verdict;
    if (verdict == quarantine::Verdict::Run || verdict == quarantine::Verdict::RunOnServer) {
        return false;
    }
    if (verdict == quarantine::Verdict::Refuse) {
        return true;
    }
    const auto runsBesideOthers = [&](AttemptId id) { return !state.attempts.at(id).isSilent && !state.attempts.at(id).alone; };
    return crashed.wasSilent && std::any_of(request.attempts.begin(), request.attempts.end(), runsBesideOthers)
        && !retry::findRetryObstacle(describeFailure(request, crashed), state.now) && canEverRun(state, request) && payRetry(state, request);
}

} // namespace

auto onStarted(RouterState &state, const AttemptStarted &event, Actions &actions) -> void
{
    auto *attempt = findLive(state, event.attempt);
    if (attempt == nullptr || attempt->committed) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    noteActivity(state, *attempt);
    beginAnewIfRestarted(state, request, *attempt);
    balancing::noteFirstToken(*state.balancing, event.attempt, state.now);
    if (attempt->resumeOffset == 0) {
        admission::recordFirstToken(estimatesOf(request), state.now - attempt->sentAt);
    }
    request.firstTokenAt = request.firstTokenAt.value_or(state.now);
    cancelCommitted(state, request, actions);
    attempt->committed = true;
    actions.emplace_back(CommitAttempt{ .request = attempt->request, .attempt = attempt->id, .relayedTokens = request.relayed });
    preferAttempt(state, request, event.attempt, actions);
}

auto onProgress(RouterState &state, const AttemptProgress &event, Actions &actions) -> void
{
    auto *attempt = findLive(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    request.relayed = std::max(request.relayed, event.relayedTokens);
    const auto own = event.relayedTokens - std::min(event.relayedTokens, attempt->resumeOffset);
    balancing::noteProgress(*state.balancing, event.attempt, own, state.now);
    if (attempt->committed && noteActivity(state, *attempt)) {
        preferAttempt(state, request, event.attempt, actions);
    }
}

auto onFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void
{
    if (findLive(state, event.attempt) != nullptr) {
        finishAttempt(state, event.attempt, event.relayedTokens, actions);
    }
}

auto onFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void
{
    state.wastedTokens += event.wastedTokens;
    const auto *attempt = findLive(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    const FailedAttempt failed{ .failure = event.failure, .wasCommitted = attempt->committed, .wasSilent = attempt->isSilent };
    auto &request = state.requests.at(attempt->request);
    request.relayed = std::max(request.relayed, event.relayedTokens);
    const auto isCounted = request.attempts.size() == 1 && stayWithAttempts(state, request);
    failAttempt(state, event.attempt, event.failure, actions);
    if (!request.attempts.empty() && !(looksLikeCrash(event.failure) && mustEndOthers(state, request, failed))) {
        return;
    }
    cancelAttempts(state, request, actions);
    if (state.options.policy == Policy::Naive) {
        retryNaively(state, request, event.failure, actions);
        return;
    }
    retryElsewhere(state, request, failed, isCounted, actions);
}

auto onClaimSettled(RouterState &state, const ClaimSettled &event, Actions &actions) -> void
{
    const auto place = state.requests.find(event.request);
    if (place == state.requests.end() || !awaitsClaim(state, place->second)) {
        return;
    }
    auto &request = place->second;
    switch (event.result) {
    case ClaimResult::Claimed:
        sendClaimed(state, request, actions);
        return;
    case ClaimResult::Duplicate:
        // Another request with this key was accepted; whether that one ran is not known here.
        request.mayHaveRun = true;
        refuse(state, request, { .reason = Reason::DuplicateRequest, .step = "claim" }, actions);
        return;
    case ClaimResult::Unavailable:
        refuse(state, request, { .reason = Reason::ClaimUnavailable, .step = "claim" }, actions);
        return;
    }
}

} // namespace auburnspread::routing
