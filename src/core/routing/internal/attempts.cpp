#include "core/routing/internal/attempts.h"

#include "core/routing/internal/ending.h"
#include "core/routing/internal/placing.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

constexpr std::uint32_t MaximumRetries = 1;

auto findAttempt(RouterState &state, AttemptId attempt) -> Attempt *
{
    const auto place = state.attempts.find(attempt);
    return place == state.attempts.end() || !place->second.sent ? nullptr : &place->second;
}

auto awaitsClaim(const RouterState &state, const Request &request) -> bool
{
    return !request.attempts.empty() && !state.attempts.at(request.attempts.front()).sent;
}

/// Why no further attempt may be made after \p failure, or nothing.
auto whyNoRetry(const Request &request, Failure failure, bool wasCommitted, TimePoint now) -> std::optional<Reason>
{
    const auto isSafe = request.repeatable || provesNotStarted(failure);
    const auto lostAnswer = wasCommitted && (request.call.kind == CallKind::Service || request.relayed > 0);
    if (lostAnswer && (!isSafe || request.call.kind == CallKind::Service)) {
        return Reason::StreamBroken;
    }
    if (!isSafe || request.retries >= MaximumRetries) {
        return lostAnswer ? Reason::StreamBroken : Reason::BackendFailed;
    }
    if (now >= request.deadline) {
        return Reason::DeadlinePassed;
    }
    return std::nullopt;
}

} // namespace

auto onStarted(RouterState &state, const AttemptStarted &event, TimePoint now, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr || attempt->committed) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    attempt->committed = true;
    request.firstTokenAt = request.firstTokenAt.value_or(now);
    actions.emplace_back(CommitAttempt{ .request = attempt->request, .attempt = attempt->id });
    const auto live = request.attempts;
    for (const auto other : live) {
        if (other != event.attempt) {
            cancelAttempt(state, request, other, actions);
        }
    }
}

auto onProgress(RouterState &state, const AttemptProgress &event) -> void
{
    if (const auto *attempt = findAttempt(state, event.attempt)) {
        auto &request = state.requests.at(attempt->request);
        request.relayed = std::max(request.relayed, event.relayedTokens);
    }
}

auto onFinished(RouterState &state, const AttemptFinished &event, TimePoint now, Actions &actions) -> void
{
    const auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    releaseAttempt(state, event.attempt);
    complete(state, request, event.relayedTokens, now, actions);
}

auto onFailed(RouterState &state, const AttemptFailed &event, TimePoint now, Actions &actions) -> void
{
    state.wastedTokens += event.wastedTokens;
    const auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    const auto server = attempt->server->name;
    const auto wasCommitted = attempt->committed;
    request.relayed = std::max(request.relayed, event.relayedTokens);
    request.mayHaveRun = request.mayHaveRun || !provesNotStarted(event.failure);
    request.tried.push_back(server);
    releaseAttempt(state, event.attempt);
    if (!request.attempts.empty()) {
        return;
    }
    if (const auto reason = whyNoRetry(request, event.failure, wasCommitted, now)) {
        refuse(state, request, { .reason = *reason, .step = "relay", .peer = server }, actions);
        return;
    }
    request.retries += 1;
    actions.emplace_back(Retried{ .request = request.call.request, .failure = event.failure, .resumed = request.relayed > 0 });
    waitAgain(state, request, now, actions);
}

auto onClaimSettled(RouterState &state, const ClaimSettled &event, TimePoint now, Actions &actions) -> void
{
    const auto place = state.requests.find(event.request);
    if (place == state.requests.end() || !awaitsClaim(state, place->second)) {
        return;
    }
    auto &request = place->second;
    switch (event.result) {
    case ClaimResult::Claimed:
        sendClaimed(state, request, now, actions);
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
