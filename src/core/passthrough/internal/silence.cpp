#include "core/passthrough/internal/silence.h"

#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/ending.h"
#include "core/passthrough/internal/forwarding.h"
#include "core/passthrough/internal/suspicion.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

constexpr auto KeptBecauseNames = std::to_array<NamedValue<KeptBecause>>({
    { KeptBecause::AttemptsUsed, "attempts-used" },
    { KeptBecause::DeadlineNear, "deadline-near" },
    { KeptBecause::AccessUncertain, "access-uncertain" },
    { KeptBecause::Quarantined, "quarantined" },
    { KeptBecause::UrgentWaiting, "urgent-waiting" },
    { KeptBecause::NoServer, "no-server" },
    { KeptBecause::RetryBudget, "retry-budget" },
});

} // namespace

auto keptBecauseTable() -> std::span<const NamedValue<KeptBecause>>
{
    return KeptBecauseNames;
}

auto keptBecauseName(KeptBecause reason) -> std::string_view
{
    return findName(KeptBecauseNames, reason);
}

namespace detail
{

namespace
{

/// Whether each attempt of the request is on a silent server. Another entry that has the request judges the silence of its server itself.
auto areAllSilent(const RouterState &state, const Request &request) -> bool
{
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&state](AttemptId id) {
        const auto found = state.attempts.find(id);
        return found != state.attempts.end() && found->second.isSilent;
    });
}

auto isUrgentRequestWaiting(const RouterState &state, const Request &request) -> bool
{
    const auto &waiting = state.pools.at(request.service).waiting;
    return !waiting.empty() && std::get<int>(*waiting.begin()) < request.rank;
}

auto reasonToKeep(RouterState &state, const Request &request) -> std::optional<KeptBecause>
{
    if (request.sends >= request.route->attempts) {
        return KeptBecause::AttemptsUsed;
    }
    if (request.deadline - state.now < MinRemainingForRetry) {
        return KeptBecause::DeadlineNear;
    }
    if (reasonNotToSend(state, request)) {
        return KeptBecause::AccessUncertain;
    }
    if (isWithheld(state, request.call, *request.route) || findTrial(state, request)) {
        return KeptBecause::Quarantined;
    }
    if (!allowsRetry(state.pools[request.service].budget, state.options.retries, state.retryBudgetShares, state.now)) {
        return KeptBecause::RetryBudget;
    }
    if (isUrgentRequestWaiting(state, request)) {
        return KeptBecause::UrgentWaiting;
    }
    return std::nullopt;
}

/// Sends the request to another server, or to another entry if this one can't reach the servers.
/// \return why it stays with its present attempts; nothing if it was sent
auto trySendElsewhere(RouterState &state, Request &request, TimePoint silentSince, Actions &actions) -> std::optional<KeptBecause>
{
    if (const auto reason = reasonToKeep(state, request)) {
        return reason;
    }
    auto &budget = state.pools[request.service].budget;
    if (tryForward(state, request, actions)) {
        tryConsumeRetry(budget, state.options.retries, state.retryBudgetShares, state.now);
        return std::nullopt;
    }
    const auto placement = place(state, request, silentSince);
    if (!canSendNow(placement)) {
        return KeptBecause::NoServer;
    }
    tryConsumeRetry(budget, state.options.retries, state.retryBudgetShares, state.now);
    send(state, request, placement, actions);
    return std::nullopt;
}

/// \return nothing if no other server has sent anything yet
auto timeSinceOthersWereHeard(const RouterState &state, const ServerState &silent) -> std::optional<Duration>
{
    const auto group = state.servers.byService.find(silent.record.service);
    TimePoint last;
    if (group != state.servers.byService.end()) {
        for (const auto &server : group->second.all) {
            last = server.get() == &silent ? last : std::max(last, server->lastHeardAt);
        }
    }
    return last == TimePoint() ? std::nullopt : std::optional(state.now - last);
}

/// Id of the attempt's server, or address of the entry that handles it.
auto peerOf(const RouterState &state, AttemptId id) -> const std::string &
{
    const auto found = state.attempts.find(id);
    return found == state.attempts.end() ? state.forwardings.at(id).peer : found->second.server->record.id;
}

auto cancelAttempt(RouterState &state, Request &request, AttemptId id, Actions &actions) -> void
{
    actions.emplace_back(Cancel{ .attempt = id });
    if (isForwarding(state, id)) {
        closeForwarding(state, id);
        useUpAttempts(request);
    } else {
        closeAttempt(state, id);
    }
}

} // namespace

auto handleSilent(RouterState &state, const AttemptSilent &event, Actions &actions) -> void
{
    const auto found = state.attempts.find(event.attempt);
    if (found == state.attempts.end()) {
        return;
    }
    auto &attempt = found->second;
    auto &request = state.requests.at(attempt.request);
    const auto server = attempt.server;
    const auto isNew = !std::exchange(attempt.isSilent, true);
    if (isNew) {
        recordSilence(*server, state.now - event.silentFor, state.now);
    }
    notePathFailure(state, request.service, server->record.id, actions);
    if (!areAllSilent(state, request)) {
        return;
    }
    if (!event.lastEventId.empty()) {
        request.lastEventId = event.lastEventId;
    }
    if (isNew) {
        request.serversToAvoid.push_back(server->record.id);
    }
    request.repeatedAfter = event.timeout;
    const auto kept = trySendElsewhere(state, request, state.now - event.silentFor, actions);
    if (isNew || attempt.keptBecause != kept) {
        attempt.keptBecause = kept;
        actions.emplace_back(SilenceJudged{
            .request = request.call.request,
            .attempt = event.attempt,
            .server = server->record.id,
            .timeout = event.timeout,
            .silentFor = event.silentFor,
            .othersSilentFor = timeSinceOthersWereHeard(state, *server),
            .keptBecause = kept,
        });
    }
}

auto preferAttempt(RouterState &state, Request &request, AttemptId attempt, Actions &actions) -> void
{
    if (request.attempts.size() <= 1) {
        return;
    }
    const auto isReplacement = request.attempts.front() != attempt;
    for (const auto id : request.attempts) {
        std::erase(request.serversToAvoid, peerOf(state, id)); // it was silent, which is no failure
    }
    for (const auto other : std::exchange(request.attempts, { attempt })) {
        if (other != attempt) {
            cancelAttempt(state, request, other, actions);
        }
    }
    request.lastPeer = peerOf(state, attempt);
    actions.emplace_back(AttemptPreferred{
        .request = request.call.request,
        .attempt = attempt,
        .server = request.lastPeer,
        .isReplacement = isReplacement,
    });
}

auto leaveToOthers(const RouterState &state, Request &request, AttemptId attempt) -> bool
{
    std::erase(request.attempts, attempt);
    if (request.attempts.empty()) {
        return false;
    }
    request.lastPeer = peerOf(state, request.attempts.front());
    return true;
}

auto cancelAttempts(RouterState &state, Request &request, Actions &actions) -> void
{
    for (const auto id : std::exchange(request.attempts, {})) {
        cancelAttempt(state, request, id, actions);
    }
}

} // namespace detail

} // namespace auburnspread::passthrough
