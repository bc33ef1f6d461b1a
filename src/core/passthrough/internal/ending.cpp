#include "core/passthrough/internal/ending.h"

#include "core/passthrough/ejection.h"
#include "core/passthrough/internal/crashes.h"
#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/milliseconds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnspread::passthrough::detail
{

namespace
{

constexpr int BadGatewayStatus = 502;
constexpr int UnavailableStatus = 503;
constexpr int GatewayTimeoutStatus = 504;
constexpr int FirstErrorStatus = 500;

/// Connections that may fail for one request; each proves that nothing ran, but each takes time.
constexpr std::uint32_t MostFailedConnections = 3;
/// A repeat that has less time than this can't be answered.
constexpr Duration LeastRemaining = std::chrono::milliseconds(30);

auto findAttempt(RouterState &state, AttemptId id) -> Attempt *
{
    const auto found = state.attempts.find(id);
    return found == state.attempts.end() ? nullptr : &found->second;
}

/// Takes the attempt out of all accounts.
auto closeAttempt(RouterState &state, AttemptId id) -> ServerPointer
{
    const auto node = state.attempts.extract(id);
    const auto &attempt = node.mapped();
    if (!attempt.started) {
        recordPromptRead(*attempt.server, attempt.load);
    }
    recordAttemptEnd(*attempt.server, attempt.load);
    return attempt.server;
}

/// Failure: engines read slower than assumed, beside many running answers or on other hardware. Symptom: prompts are believed read
/// that still wait, and engines get far more than they can begin on time. The time to a first event behind much reading tells.
auto learnReadingSpeed(EngineSpeed &speed, const Attempt &attempt, Duration observed) -> void
{
    constexpr double LeastTokens = 4000; // fewer say more about the first token than about reading
    constexpr double Weight = 0.05;      // the last twenty
    constexpr double MostChange = 2;
    if (attempt.readTokens < LeastTokens) {
        return;
    }
    const auto reading = std::max(observed - speed.firstTokenOverhead, observed / 4);
    const auto shown = attempt.readTokens / toMilliseconds(reading);
    speed.tokensPerMs *= std::pow(std::clamp(shown / speed.tokensPerMs, 1 / MostChange, MostChange), Weight);
}

/// What the time to the first byte says about a server: only what sets it apart from the others. Failure: a burst makes all
/// engines slower than estimated. Symptom: those that an entry has just used look slow, and sessions leave their engines.
auto learnStartTime(RouterState &state, const Request &request, const Attempt &attempt) -> void
{
    constexpr double Weight = 0.05; // the last twenty
    constexpr double Most = 10;
    auto &bias = state.pools[request.service].bias[attempt.load.isShort ? 1 : 0];
    const auto expected = scaled(attempt.estimatedStart, bias);
    const auto ratio = recordFirstByteTime(*attempt.server, state.now - attempt.sentAt, expected);
    bias = std::clamp(bias * (1 + Weight * (std::min(ratio, 2.0) - 1)), 1 / Most, Most);
    learnReadingSpeed(state.pools[request.service].speed, attempt, state.now - attempt.sentAt);
}

/// Whether the server, or the way to it, failed the request while it may have run. Timeouts are judged by the silence of a server.
auto isServersFault(Failure failure) -> bool
{
    return !provesNotStarted(failure) && failure != Failure::FirstTokenTimeout && failure != Failure::ProgressTimeout;
}

auto judgeAnswer(RouterState &state, const Request &request, ServerState &server, std::optional<Failure> failure) -> void
{
    recordAnswer(server.errorEvidence, state.usualErrors[request.route->name], failure.has_value());
    if (failure && isConclusive(server.errorEvidence)) {
        eject(state.servers, server, !looksLikeCrash(*failure), state.now);
    }
}

auto makePace(const Request &request, TimePoint now) -> AnswerPace
{
    const auto *service = request.table->findService(request.service);
    const auto each = service == nullptr ? 1 : service->tokensPerEvent;
    return {
        .startedAt = now,
        .expectedEvents = request.call.prompt.likelyTokens / each,
        .deadline = request.deadline,
        .longestPause = request.route->longestPause,
    };
}

auto forget(RouterState &state, Request &request) -> void
{
    const auto id = request.call.request;
    leaveQueue(state, request);
    state.due.erase({ request.latestWait, id });
    state.due.erase({ request.deadline, id });
    state.requests.erase(id);
}

auto isSafeToRepeat(const Request &request, Failure failure) -> bool
{
    const auto &route = *request.route;
    return provesNotStarted(failure) || route.repeatability == Repeatability::Idempotent || route.isResumable;
}

/// Whether the failed attempt counts among those that the route allows. A connection that was not made, or that led to
/// another server, sent the request to none of the service's servers.
auto countsAsSend(Failure failure) -> bool
{
    return failure != Failure::ConnectFailed && failure != Failure::WrongServer;
}

auto whyNoRepeat(RouterState &state, const Request &request, Failure failure) -> std::optional<Reason>
{
    if (request.callerGone) {
        return Reason::CallerGone;
    }
    if (!isSafeToRepeat(request, failure) || request.sends >= request.route->attempts || request.failedConnections > MostFailedConnections) {
        return request.answerBegun ? Reason::StreamBroken : Reason::BackendFailed;
    }
    if (request.deadline - state.now < LeastRemaining) {
        return Reason::DeadlinePassed;
    }
    const auto arrives = request.sends > 0;
    if (arrives && !takeRepeat(state.pools[request.service].budget, state.options.retries, state.repeatShares, state.now)) {
        return Reason::RetryBudget;
    }
    return std::nullopt;
}

/// Back to the queue; the caller dispatches.
auto repeat(RouterState &state, Request &request, Failure failure) -> void
{
    request.repeatedAfter = failure;
    enqueue(state, request);
}

/// The request is over without a further action; what waits for the same service may take its place.
auto release(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto service = request.service;
    forget(state, request);
    dispatchService(state, service, actions);
}

/// 502 and 504 promise nothing; 503 promises that the request did not run.
auto statusOfEnd(const Request &request, Reason reason) -> int
{
    if (!request.mayHaveRun) {
        return statusOfRefusal(reason);
    }
    return reason == Reason::DeadlinePassed ? GatewayTimeoutStatus : BadGatewayStatus;
}

auto endRunning(RouterState &state, Request &request, Actions &actions) -> void
{
    // a server that said nothing for so long may be dead; less time is its caller's haste
    constexpr Duration LongSilence = std::chrono::seconds(1);
    actions.emplace_back(Cancel{ .attempt = request.attempt });
    request.mayHaveRun = true;
    const auto &attempt = state.attempts.at(request.attempt);
    const auto isSilent = !attempt.started && state.now - attempt.sentAt >= LongSilence;
    const auto server = closeAttempt(state, request.attempt);
    if (isSilent) {
        recordFailure(*server, Failure::FirstTokenTimeout, state.now);
    }
    endWithoutAnswer(state, request, Reason::DeadlinePassed, actions);
}

/// Why no server was found for a request that waited.
auto whyStillWaiting(const RouterState &state, const Request &request) -> Reason
{
    const auto found = state.servers.byService.find(request.service);
    if (found == state.servers.byService.end()) {
        return Reason::NoBackendServer;
    }
    auto hasLimited = false;
    for (const auto &server : found->second.all) {
        if (isUsable(*server, state.now) && !isLimited(server->limit)) {
            return Reason::NoBackendServer;
        }
        hasLimited = hasLimited || isLimited(server->limit);
    }
    return hasLimited ? Reason::BackendLimited : Reason::NoBackendServer;
}

} // namespace

auto statusOfRefusal(Reason reason) -> int
{
    const auto status = reasonInfo(reason).status;
    return status >= FirstErrorStatus || reason == Reason::Quarantined ? UnavailableStatus : status;
}

auto retryAfterOf(RouterState &state, Reason reason) -> std::optional<Duration>
{
    if (!reasonInfo(reason).retryHelps) {
        return std::nullopt;
    }
    // callers that were refused together must not come back together; a fault of one server is over sooner than a burst
    constexpr Duration Step = std::chrono::milliseconds(50);
    constexpr std::uint64_t Steps = 20;
    const auto least = std::chrono::milliseconds(reason == Reason::NoBackendServer || reason == Reason::BackendLimited ? 400 : 150);
    return least + Step * static_cast<Duration::rep>(state.lastOrder++ % Steps);
}

auto endWithoutAnswer(RouterState &state, Request &request, Reason reason, Actions &actions) -> void
{
    const auto id = request.call.request;
    if (request.answerBegun) {
        actions.emplace_back(Break{ .request = id, .reason = reason, .peer = request.lastPeer });
    } else {
        const auto status = statusOfEnd(request, reason);
        actions.emplace_back(Refuse{
            .request = id,
            .reason = reason,
            .outcome = request.mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun,
            .status = status,
            .retryAfter = request.mayHaveRun ? std::nullopt : retryAfterOf(state, reason),
            .peer = request.lastPeer,
            .informationAge = state.now - state.confirmedAt,
        });
    }
    forget(state, request);
}

auto takeStarted(RouterState &state, const AttemptStarted &event) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr || std::exchange(attempt->started, true)) {
        return;
    }
    recordActivity(*attempt->server);
    recordPromptRead(*attempt->server, attempt->load);
    const auto found = state.requests.find(attempt->request);
    if (found == state.requests.end()) {
        return;
    }
    learnStartTime(state, found->second, *attempt);
    attempt->pace = makePace(found->second, state.now);
    found->second.answerBegun = found->second.answerBegun || event.goesToCaller;
    found->second.mayHaveRun = found->second.mayHaveRun || event.goesToCaller;
}

auto takeLimit(RouterState &state, const LimitStated &event) -> void
{
    if (auto *attempt = findAttempt(state, event.attempt)) {
        recordLimitStatement(state.servers, *attempt->server, event.perSecond, attempt->sentAt, state.now);
    }
}

auto takeProgress(RouterState &state, const AttemptProgress &event) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    recordActivity(*attempt->server);
    const auto found = state.requests.find(attempt->request);
    if (found != state.requests.end() && found->second.route->hasPrompt) {
        attempt->pace.events += event.events;
        recordEvents(state.pools[found->second.service].strain[attempt->load.isShort ? 1 : 0], event.events, isStrained(attempt->pace, state.now));
    }
}

auto takeAnswered(RouterState &state, const AttemptAnswered &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    if (!attempt->started && event.status < FirstErrorStatus) {
        learnStartTime(state, request, *attempt);
    }
    const auto server = closeAttempt(state, event.attempt);
    clearCrashes(state, request.call.fingerprint);
    request.mayHaveRun = true;
    if (event.status < FirstErrorStatus) {
        recordSuccess(*server, state.now);
        judgeAnswer(state, request, *server, std::nullopt);
    } else {
        recordActivity(*server);
        judgeAnswer(state, request, *server, Failure::ServerError);
        recordFailure(*server, Failure::ServerError, state.now);
        if (!whyNoRepeat(state, request, Failure::ServerError)) {
            const auto service = request.service;
            request.avoid.push_back(server->record.id);
            repeat(state, request, Failure::ServerError);
            dispatchService(state, service, actions);
            return;
        }
    }
    actions.emplace_back(Deliver{ .request = request.call.request, .attempt = event.attempt, .status = event.status });
    release(state, request, actions);
}

auto takeFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    if (attempt->load.isShort) {
        auto &pool = state.pools[request.service];
        recordShortPromptEnd(pool.split, prefillTime(attempt->load.unreadTokens, pool.speed), state.now - attempt->sentAt);
    }
    const auto server = closeAttempt(state, event.attempt);
    recordSuccess(*server, state.now);
    judgeAnswer(state, request, *server, std::nullopt);
    clearCrashes(state, request.call.fingerprint);
    actions.emplace_back(Complete{ .request = request.call.request });
    release(state, request, actions);
}

auto takeFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    const auto server = closeAttempt(state, event.attempt);
    recordFailure(*server, event.failure, state.now);
    if (isServersFault(event.failure)) {
        judgeAnswer(state, request, *server, event.failure);
    }
    if (event.failure == Failure::BrokenBeforeFirstByte) {
        noteCrash(state, request.call.fingerprint, actions);
    }
    if (!countsAsSend(event.failure)) {
        request.sends -= 1;
        request.failedConnections += 1;
    }
    request.mayHaveRun = request.mayHaveRun || !provesNotStarted(event.failure);
    request.answerBegun = request.answerBegun || event.answerBegun;
    if (!event.lastEventId.empty()) {
        request.lastEventId = event.lastEventId;
    }
    request.avoid.push_back(server->record.id);
    const auto service = request.service;
    if (const auto reason = whyNoRepeat(state, request, event.failure)) {
        endWithoutAnswer(state, request, *reason, actions);
    } else {
        repeat(state, request, event.failure);
    }
    dispatchService(state, service, actions);
}

auto takeCallerGone(RouterState &state, const CallerGone &event, Actions &actions) -> void
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end()) {
        return;
    }
    auto &request = found->second;
    if (request.stage == Stage::Running) {
        // a call that may run only once is let run to its end: cut in the middle it would be neither done nor undone
        if (request.route->repeatability == Repeatability::AtMostOnce) {
            request.callerGone = true;
            return;
        }
        actions.emplace_back(Cancel{ .attempt = request.attempt });
        closeAttempt(state, request.attempt);
    }
    release(state, request, actions);
}

auto endOverdue(RouterState &state, Actions &actions) -> void
{
    while (!state.due.empty() && state.due.begin()->first <= state.now) {
        const auto id = state.due.begin()->second;
        state.due.erase(state.due.begin());
        const auto found = state.requests.find(id);
        if (found == state.requests.end()) {
            continue;
        }
        auto &request = found->second;
        if (request.stage == Stage::Waiting) {
            const auto isOver = state.now >= request.deadline || !request.mayHaveRun;
            if (isOver) {
                endWithoutAnswer(state, request, request.mayHaveRun ? Reason::DeadlinePassed : whyStillWaiting(state, request), actions);
            }
        } else if (state.now >= request.deadline) {
            endRunning(state, request, actions);
        }
    }
}

} // namespace auburnspread::passthrough::detail
