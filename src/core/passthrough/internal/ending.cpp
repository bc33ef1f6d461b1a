#include "core/passthrough/internal/ending.h"

#include "core/passthrough/ejection.h"
#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/forwarding.h"
#include "core/passthrough/internal/milliseconds.h"
#include "core/passthrough/internal/resuming.h"
#include "core/passthrough/internal/silence.h"
#include "core/passthrough/internal/suspicion.h"

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

/// Failed connections after which a request is not retried any more. Nothing ran on a failed connection, but each one takes time.
constexpr std::uint32_t MaxFailedConnections = 3;

auto findAttempt(RouterState &state, AttemptId id) -> Attempt *
{
    const auto found = state.attempts.find(id);
    return found == state.attempts.end() ? nullptr : &found->second;
}

/// Corrects the estimate of the engines' prompt processing speed by the observed time to a first event with many prompt tokens ahead.
/// Engines may be slower than configured, because of many running responses or other hardware. Without the correction, prompts that
/// still wait would be counted as processed, and engines would get far more than they can start on time.
auto updateReadingSpeed(EngineSpeed &speed, const Attempt &attempt, Duration observed) -> void
{
    constexpr double MinTokens = 4000; // with fewer, the time depends more on the first token than on the prompt
    constexpr double Weight = 0.05;    // averages over about 20 attempts
    constexpr double MaxChange = 2;
    if (attempt.tokensUntilStart < MinTokens) {
        return;
    }
    const auto reading = std::max(observed - speed.firstTokenOverhead, observed / 4);
    const auto shown = attempt.tokensUntilStart / toMilliseconds(reading);
    speed.tokensPerMs *= std::pow(std::clamp(shown / speed.tokensPerMs, 1 / MaxChange, MaxChange), Weight);
}

/// Rates a server by its time to the first byte in comparison with the other servers of its service. A burst makes all engines slower
/// than estimated; without the comparison, the engines that this entry has just used would look slow and sessions would move away from
/// their engines.
auto recordStartTime(RouterState &state, const Request &request, const Attempt &attempt) -> void
{
    constexpr double Weight = 0.05; // averages over about 20 attempts
    constexpr double MaxBias = 10;
    auto &bias = state.pools[request.service].startTimeBias[attempt.load.isShort ? 1 : 0];
    const auto expected = scaled(attempt.estimatedStart, bias);
    const auto ratio = recordFirstByteTime(*attempt.server, state.now - attempt.sentAt, expected);
    bias = std::clamp(bias * (1 + Weight * (std::min(ratio, 2.0) - 1)), 1 / MaxBias, MaxBias);
    updateReadingSpeed(state.pools[request.service].speed, attempt, state.now - attempt.sentAt);
    if (request.usesModel) {
        const auto observed = toMilliseconds(state.now - attempt.sentAt) / std::max(toMilliseconds(attempt.typicalStart), 1.0);
        addSample(attempt.server->ownSpeed, compareWithTypical(state.pools[request.service].typicalStarts[attempt.load.isShort ? 1 : 0], observed), state.now);
    }
}

/// Compares the response's fastest events with those of other responses.
auto recordEventPace(RouterState &state, const Request &request, const Attempt &attempt) -> void
{
    auto &typical = state.pools[request.service].typicalPaces[attempt.load.isShort ? 1 : 0];
    addSample(attempt.server->ownSpeed, compareWithTypical(typical, attempt.eventPace.bestMs), state.now);
}

/// Whether the failure was caused by the server, or the connection to it, when the request may already have run. Timeouts are not
/// included; they are evaluated by how long the server has been silent.
auto isServerFault(Failure failure) -> bool
{
    return !provesNotStarted(failure) && failure != Failure::FirstTokenTimeout && failure != Failure::ProgressTimeout;
}

auto recordOutcome(RouterState &state, const Request &request, ServerState &server, bool hasBegun, std::optional<Failure> failure) -> void
{
    recordEnd(server.errorEvidence, state.usualErrors[request.route->name], hasBegun, failure.has_value());
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
        .expectedEvents = request.call.prompt.expectedAnswerTokens / each,
        .deadline = request.deadline,
        .longestPause = request.route->maxEventGap,
    };
}

auto removeRequest(RouterState &state, Request &request) -> void
{
    const auto id = request.call.request;
    leaveQueue(state, request);
    stopResolving(state, request);
    state.dueChecks.erase({ request.queueDeadline, id });
    state.dueChecks.erase({ request.deadline, id });
    state.requests.erase(id);
}

auto isSafeToRetry(const Request &request, Failure failure) -> bool
{
    const auto &route = *request.route;
    return provesNotStarted(failure) || route.repeatability == Repeatability::Idempotent || route.isResumable;
}

/// Whether the failed attempt counts towards the attempts that the route allows. If the connection was not established, or led to a
/// different server, the request reached no server of the service.
auto countsAsAttempt(Failure failure) -> bool
{
    return failure != Failure::ConnectFailed && failure != Failure::WrongServer;
}

auto reasonNotToRetry(RouterState &state, const Request &request, Failure failure) -> std::optional<Reason>
{
    if (request.callerGone) {
        return Reason::CallerGone;
    }
    if (!isSafeToRetry(request, failure) || request.sends >= request.route->attempts || request.failedConnections > MaxFailedConnections) {
        return request.answerBegun ? Reason::StreamBroken : Reason::BackendFailed;
    }
    if (request.deadline - state.now < MinRemainingForRetry) {
        return Reason::DeadlinePassed;
    }
    const auto reachedServer = request.sends > 0;
    if (reachedServer && !tryConsumeRetry(state.pools[request.service].budget, state.options.retries, state.retryBudgetShares, state.now)) {
        return Reason::RetryBudget;
    }
    return std::nullopt;
}

/// Puts the request back into the queue. The calling function must dispatch the service afterwards.
auto requeueForRetry(RouterState &state, Request &request, Failure failure) -> void
{
    request.repeatedAfter = failure;
    enqueue(state, request);
}

/// Time until one of the service's servers accepts requests again; zero if not all of them have requested a backoff.
auto timeUntilBackoffEnds(const RouterState &state, const std::string &service) -> Duration
{
    const auto end = firstBackoffEnd(state.servers, service, state.now);
    return end ? *end - state.now : Duration::zero();
}

/// Status 503 states that the request did not run; 502 and 504 leave that open.
auto statusOfEnd(const Request &request, Reason reason) -> int
{
    if (!request.mayHaveRun) {
        return statusOfRefusal(reason);
    }
    return reason == Reason::DeadlinePassed ? GatewayTimeoutStatus : BadGatewayStatus;
}

/// A server that sent nothing for this long may be down; a shorter silence only means that the caller's deadline was short.
auto isSilentForLong(const RouterState &state, const Attempt &attempt) -> bool
{
    constexpr Duration LongSilence = std::chrono::seconds(1);
    return !attempt.started && state.now - attempt.sentAt >= LongSilence;
}

auto endTimedOutRequest(RouterState &state, Request &request, Actions &actions) -> void
{
    std::vector<ServerPointer> silent;
    for (const auto id : request.attempts) {
        const auto found = state.attempts.find(id);
        if (found != state.attempts.end() && isSilentForLong(state, found->second)) {
            silent.push_back(found->second.server);
        }
    }
    request.mayHaveRun = true;
    cancelAttempts(state, request, actions);
    for (const auto &server : silent) {
        recordFailure(*server, Failure::FirstTokenTimeout, state.now);
        notePathFailure(state, request.service, server->record.id, actions);
    }
    endWithoutAnswer(state, request, Reason::DeadlinePassed, actions);
}

auto takeNotice(ServerState &server, const ServerNotice &notice, TimePoint now, Actions &actions) -> void
{
    if (applyNotice(server.stated, notice, now)) {
        actions.emplace_back(NoticeApplied{ .server = server.record.id, .notice = notice });
    }
}

/// Whether the server is listed and has not announced its end, so that the end of a connection may be a crash.
auto isExpectedToRun(const RouterState &state, const ServerState &server) -> bool
{
    return findServer(state.servers, server.record.id) && !server.record.isLeaving && !server.stated.isLeaving;
}

/// Whether the failure may be that of the network path. A connection that breaks shows nothing: the server may have crashed, and where the
/// path is lost, the next connections fail.
auto mayBePathFailure(Failure failure) -> bool
{
    return failure == Failure::ConnectFailed || failure == Failure::FirstTokenTimeout || failure == Failure::ProgressTimeout;
}

auto notePathEvidence(RouterState &state, const Request &request, const ServerState &server, Failure failure, Actions &actions) -> void
{
    if (mayBePathFailure(failure)) {
        notePathFailure(state, request.service, server.record.id, actions);
    } else if (!looksLikeCrash(failure)) {
        notePathSuccess(state, request.service, actions); // any response, also a wrong one, shows that there is a path
    }
}

/// Reason why no server was found for a queued request.
auto reasonForNoServer(const RouterState &state, const Request &request) -> Reason
{
    if (firstBackoffEnd(state.servers, request.service, state.now)) {
        return Reason::BackendBackoff;
    }
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

auto removeAndDispatch(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto service = request.service;
    removeRequest(state, request);
    dispatchService(state, service, actions);
}

auto statusOfRefusal(Reason reason) -> int
{
    const auto status = reasonInfo(reason).status;
    return status >= FirstErrorStatus || reason == Reason::Quarantined ? UnavailableStatus : status;
}

auto retryAfterOf(RouterState &state, Reason reason, Duration earliest) -> std::optional<Duration>
{
    if (!reasonInfo(reason).retryHelps) {
        return std::nullopt;
    }
    // callers that were refused at the same time must not retry at the same time; a burst lasts longer than the failure of one server
    constexpr Duration Step = std::chrono::milliseconds(50);
    constexpr std::uint64_t Steps = 20;
    const auto minDelay = std::chrono::milliseconds(reason == Reason::NoBackendServer || reason == Reason::BackendLimited ? 400 : 150);
    return std::max<Duration>(minDelay, earliest) + Step * static_cast<Duration::rep>(state.lastOrder++ % Steps);
}

auto endWithoutAnswer(RouterState &state, Request &request, Reason reason, Actions &actions) -> void
{
    const auto id = request.call.request;
    if (request.answerBegun) {
        actions.emplace_back(AbortAnswer{ .request = id, .reason = reason, .peer = request.lastPeer });
    } else {
        const auto status = statusOfEnd(request, reason);
        actions.emplace_back(Refuse{
            .request = id,
            .reason = reason,
            .outcome = request.mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun,
            .status = status,
            .retryAfter = request.mayHaveRun ? std::nullopt : retryAfterOf(state, reason, timeUntilBackoffEnds(state, request.service)),
            .peer = request.lastPeer,
            .informationAge = state.now - state.confirmedAt,
        });
    }
    removeRequest(state, request);
}

auto handleStarted(RouterState &state, const AttemptStarted &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr || std::exchange(attempt->started, true)) {
        return;
    }
    attempt->isSilent = false;
    recordActivity(*attempt->server, state.now);
    notePathSuccess(state, attempt->server->record.service, actions);
    recordPromptRead(*attempt->server, attempt->load);
    const auto found = state.requests.find(attempt->request);
    if (found == state.requests.end()) {
        return;
    }
    recordStartTime(state, found->second, *attempt);
    attempt->pace = makePace(found->second, state.now);
    found->second.answerBegun = found->second.answerBegun || event.isForwarded;
    found->second.mayHaveRun = found->second.mayHaveRun || event.isForwarded;
    if (event.isForwarded) {
        attempt->hasBegun = true;
        recordBeginning(attempt->server->errorEvidence, state.usualErrors[found->second.route->name]);
        preferAttempt(state, found->second, event.attempt, actions);
        recordStreamStart(state, found->second, *attempt, actions);
    }
}

auto handleRateLimit(RouterState &state, const RateLimitReported &event) -> void
{
    if (auto *attempt = findAttempt(state, event.attempt)) {
        recordLimitStatement(state.servers, *attempt->server, event.perSecond, attempt->sentAt, state.now);
    }
}

auto handleBrittleness(RouterState &state, const BrittlenessReported &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &server = *attempt->server;
    const auto before = toleratedRejections(server.brittleness);
    recordBrittleness(state.servers, server, event.rejectionsPerSecond, attempt->sentAt, state.now);
    if (toleratedRejections(server.brittleness) != before) {
        actions.emplace_back(BrittlenessChanged{
            .server = server.record.id,
            .service = server.record.service,
            .rejectionsPerSecond = toleratedRejections(server.brittleness),
            .mayFill = mayFill(server.brittleness),
        });
    }
}

auto handleAttemptNotice(RouterState &state, const AttemptNoticed &event, Actions &actions) -> void
{
    if (auto *attempt = findAttempt(state, event.attempt)) {
        takeNotice(*attempt->server, event.notice, state.now, actions);
    }
}

auto handleCallNotice(RouterState &state, const CallNoticed &event, Actions &actions) -> void
{
    const auto server = findServer(state.servers, event.server);
    // the server may have restarted since the call was sent
    if (server && server->record.startedAt == event.startedAt) {
        takeNotice(*server, event.notice, state.now, actions);
    }
}

auto handleProgress(RouterState &state, const AttemptProgress &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    attempt->isSilent = false;
    recordActivity(*attempt->server, state.now);
    notePathSuccess(state, attempt->server->record.service, actions);
    const auto found = state.requests.find(attempt->request);
    if (found == state.requests.end()) {
        return;
    }
    preferAttempt(state, found->second, event.attempt, actions);
    noteEvents(state, found->second, *attempt, event.events, actions);
    if (found->second.route->hasPrompt) {
        attempt->pace.events += event.events;
        if (recordPace(attempt->eventPace, event.events, state.now) && found->second.usesModel) {
            recordEventPace(state, found->second, *attempt);
        }
        recordEvents(state.pools[found->second.service].strain[attempt->load.isShort ? 1 : 0], event.events, isStrained(attempt->pace, state.now));
    }
}

auto handleAnswered(RouterState &state, const AttemptAnswered &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    if (!attempt->started && event.status < FirstErrorStatus) {
        recordStartTime(state, request, *attempt);
    }
    const auto isError = event.status >= FirstErrorStatus;
    if (!isError) {
        preferAttempt(state, request, event.attempt, actions);
    }
    const auto hasBegun = attempt->hasBegun;
    const auto server = closeAttempt(state, event.attempt);
    notePathSuccess(state, request.service, actions);
    request.mayHaveRun = true;
    if (!isError) {
        noteSoundness(state, request, actions);
        recordSuccess(*server, state.now);
        recordOutcome(state, request, *server, hasBegun, std::nullopt);
    } else {
        recordActivity(*server, state.now);
        recordOutcome(state, request, *server, hasBegun, Failure::ServerError);
        recordFailure(*server, Failure::ServerError, state.now);
        if (leaveToOthers(state, request, event.attempt)) {
            request.serversToAvoid.push_back(server->record.id);
            dispatchService(state, request.service, actions);
            return;
        }
        if (!reasonNotToRetry(state, request, Failure::ServerError)) {
            const auto service = request.service;
            request.serversToAvoid.push_back(server->record.id);
            requeueForRetry(state, request, Failure::ServerError);
            dispatchService(state, service, actions);
            return;
        }
    }
    actions.emplace_back(Deliver{ .request = request.call.request, .attempt = event.attempt, .status = event.status });
    removeAndDispatch(state, request, actions);
}

auto handleFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void
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
    if (request.usesModel && attempt->eventPace.bestMs > 0) {
        recordEventPace(state, request, *attempt);
    }
    preferAttempt(state, request, event.attempt, actions);
    const auto hasBegun = attempt->hasBegun;
    const auto server = closeAttempt(state, event.attempt);
    recordSuccess(*server, state.now);
    recordOutcome(state, request, *server, hasBegun, std::nullopt);
    noteSoundness(state, request, actions);
    actions.emplace_back(Complete{ .request = request.call.request });
    removeAndDispatch(state, request, actions);
}

auto handleFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void
{
    auto *attempt = findAttempt(state, event.attempt);
    if (attempt == nullptr) {
        return;
    }
    auto &request = state.requests.at(attempt->request);
    if (looksLikeCrash(event.failure) && isExpectedToRun(state, *attempt->server)) {
        noteCrash(state, request, *attempt, actions);
    }
    const auto hasBegun = attempt->hasBegun;
    const auto server = closeAttempt(state, event.attempt);
    notePathEvidence(state, request, *server, event.failure, actions);
    if (event.failure == Failure::NotStarted) {
        server->brittleness.rejectedAt = state.now;
    }
    if (event.failure == Failure::NotStarted && !acceptsRequests(server->stated, state.now)) {
        recordActivity(*server, state.now); // a server that rejects requests on purpose is not failing
    } else {
        recordFailure(*server, event.failure, state.now);
    }
    if (isServerFault(event.failure)) {
        recordOutcome(state, request, *server, hasBegun, event.failure);
    }
    if (!countsAsAttempt(event.failure)) {
        request.sends -= 1;
        request.failedConnections += 1;
    }
    request.mayHaveRun = request.mayHaveRun || !provesNotStarted(event.failure);
    request.answerBegun = request.answerBegun || event.answerBegun;
    if (!event.lastEventId.empty()) {
        request.lastEventId = event.lastEventId;
    }
    request.serversToAvoid.push_back(server->record.id);
    const auto service = request.service;
    if (leaveToOthers(state, request, event.attempt)) {
        dispatchService(state, service, actions);
        return;
    }
    if (const auto reason = reasonNotToRetry(state, request, event.failure)) {
        endWithoutAnswer(state, request, *reason, actions);
    } else {
        requeueForRetry(state, request, event.failure);
    }
    dispatchService(state, service, actions);
}

auto handleCallerGone(RouterState &state, const CallerGone &event, Actions &actions) -> void
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end()) {
        return;
    }
    auto &request = found->second;
    if (request.stage == Stage::Running) {
        // a request that may run only once is not cancelled: it would be left in an undefined state if it were interrupted
        if (request.route->repeatability == Repeatability::AtMostOnce) {
            request.callerGone = true;
            for (const auto id : request.attempts) {
                actions.emplace_back(TakeBack{ .request = event.request, .attempt = id });
            }
            return;
        }
        cancelAttempts(state, request, actions);
    }
    removeAndDispatch(state, request, actions);
}

auto handleTakenBack(RouterState &state, const RequestTakenBack &event, Actions &actions) -> void
{
    const auto found = state.requests.find(event.request);
    if (found == state.requests.end()) {
        return;
    }
    cancelAttempts(state, found->second, actions);
    removeAndDispatch(state, found->second, actions);
}

auto endExpiredRequests(RouterState &state, Actions &actions) -> void
{
    while (!state.dueChecks.empty() && state.dueChecks.begin()->first <= state.now) {
        const auto id = state.dueChecks.begin()->second;
        state.dueChecks.erase(state.dueChecks.begin());
        const auto found = state.requests.find(id);
        if (found == state.requests.end()) {
            continue;
        }
        auto &request = found->second;
        if (request.stage != Stage::Running) {
            if (state.now >= waitingDeadline(request)) {
                endWithoutAnswer(state, request, request.mayHaveRun ? Reason::DeadlinePassed : reasonForNoServer(state, request), actions);
            }
        } else if (state.now >= request.deadline) {
            endTimedOutRequest(state, request, actions);
        }
    }
}

} // namespace auburnspread::passthrough::detail
