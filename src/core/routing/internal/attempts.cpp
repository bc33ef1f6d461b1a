#include "core/routing/internal/attempts.h"

#include "core/retry/decision.h"
#include "core/routing/internal/choosing.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/naive.h"
#include "core/routing/internal/placing.h"
#include "core/routing/internal/suspects.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>

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

auto describe(const Request &request, Failure failure, bool wasCommitted) -> retry::FailedRequest
{
    const auto isChat = request.call.kind == CallKind::Chat;
    return {
        .failure = failure,
        .repeatable = request.repeatable,
        .resumable = isChat,
        // A service's answer has no offsets: once committed, an unknown part of it is out.
        .answerBegun = request.call.stream && (isChat ? request.relayed > 0 : wasCommitted),
        .retriesMade = request.retries,
        .deadline = request.deadline,
    };
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

auto retryElsewhere(RouterState &state, Request &request, Failure failure, bool wasCommitted, Actions &actions) -> void
{
    const auto peer = request.tried.back().name;
    if (decideSuspect(state, request).verdict == quarantine::Verdict::Refuse) {
        refuse(state, request, { .reason = Reason::Quarantined, .step = "quarantine", .peer = peer }, actions);
        return;
    }
    if (const auto reason = retry::findRetryObstacle(describe(request, failure, wasCommitted), state.now)) {
        refuse(state, request, { .reason = *reason, .step = "relay", .peer = peer }, actions);
        return;
    }
    restartIfNeeded(state, request);
    if (canEverRun(state, request)) {
        // What did not start loaded no backend server, so trying it elsewhere cannot multiply the load.
        if (!provesNotStarted(failure) && !retry::takeRetry(request.requestClass->retryBudget, state.now)) {
            refuse(state, request, { .reason = Reason::RetryBudget, .step = "relay", .peer = peer }, actions);
            return;
        }
        request.retries += 1;
        actions.emplace_back(Retried{ .request = request.call.request, .failure = failure, .resumed = request.relayed > 0 });
    }
    waitForSlot(state, request, actions);
}

} // namespace

auto onStarted(RouterState &state, const AttemptStarted &event, Actions &actions) -> void
{
    auto *attempt = findLive(state, event.attempt);
    if (attempt == nullptr || attempt->committed) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    attempt->committed = true;
    balancing::noteFirstToken(*state.balancing, event.attempt, state.now);
    if (attempt->resumeOffset == 0) {
        admission::recordFirstToken(estimatesOf(request), state.now - attempt->sentAt);
    }
    request.firstTokenAt = request.firstTokenAt.value_or(state.now);
    actions.emplace_back(CommitAttempt{ .request = attempt->request, .attempt = attempt->id });
    const auto live = request.attempts;
    for (const auto other : live) {
        if (other != event.attempt) {
            cancelAttempt(state, other, actions);
        }
    }
}

auto onProgress(RouterState &state, const AttemptProgress &event) -> void
{
    const auto *attempt = findLive(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    request.relayed = std::max(request.relayed, event.relayedTokens);
    const auto own = event.relayedTokens - std::min(event.relayedTokens, attempt->resumeOffset);
    balancing::noteProgress(*state.balancing, event.attempt, own, state.now);
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
    const auto wasCommitted = attempt->committed;
    auto &request = state.requests.at(attempt->request);
    request.relayed = std::max(request.relayed, event.relayedTokens);
    failAttempt(state, event.attempt, event.failure, actions);
    if (!request.attempts.empty()) {
        return;
    }
    if (state.options.policy == Policy::Naive) {
        retryNaively(state, request, event.failure, actions);
        return;
    }
    retryElsewhere(state, request, event.failure, wasCommitted, actions);
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
