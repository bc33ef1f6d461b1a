#include "core/passthrough/internal/dispatching.h"

#include "core/passthrough/internal/arriving.h"
#include "core/passthrough/internal/crashes.h"
#include "core/passthrough/internal/ending.h"
#include "core/passthrough/placement.h"

#include <algorithm>

namespace auburnspread::passthrough::detail
{

namespace
{

/// Waiting requests looked at behind one that found no server: each session has engines of its own.
constexpr int MostPassedOver = 32;

/// Part of a route's target within which the first event has to be expected: reports of others are a tenth of a second old.
constexpr double OnTimePart = 0.85;
/// Part of the target that a prompt's own reading takes off what may lie before it, at most.
constexpr double MostOwnPart = 0.3;
/// Part of the target that may lie before a late request: so little that it takes no place of one that can be on time.
constexpr double LatePart = 0.2;

/// Answers of a plain service that take longer than this many targets come from a server that is stuck.
constexpr double StartTargets = 2.5;

auto placeOf(const Request &request) -> Pool::Place
{
    return { request.rank, request.late, request.order, request.call.request };
}

auto mayRepeat(const Route &route) -> bool
{
    return route.repeatability == Repeatability::Idempotent || route.isResumable;
}

/// Only a request that may run again gains by an early end of its attempt.
auto startTimeoutOf(const Request &request, Duration estimated) -> Duration
{
    const auto &route = *request.route;
    if (!mayRepeat(route) || request.sends >= route.attempts) {
        return Duration::zero();
    }
    if (route.repeatability == Repeatability::Stream) {
        constexpr Duration StreamStart = std::chrono::seconds(1); // half of a caller's least patience with a silent stream
        return std::max(StreamStart, 2 * estimated);
    }
    return scaled(route.target, StartTargets);
}

auto silenceTimeoutOf(const Request &request) -> Duration
{
    constexpr Duration StreamSilence = std::chrono::seconds(1); // as above
    return request.route->isResumable && request.sends < request.route->attempts ? StreamSilence : Duration::zero();
}

/// The estimate, as far off as it has been lately.
auto expectedStart(RouterState &state, const Request &request, const Placement &placement) -> Duration
{
    return scaled(placement.estimatedStart, state.pools[request.service].bias[placement.load.isTalker ? 1 : 0]);
}

auto send(RouterState &state, Request &request, const Placement &placement, Actions &actions) -> void
{
    auto &server = *placement.server;
    const auto isEngine = request.route->hasPrompt;
    const auto id = AttemptId{ ++state.lastAttempt };
    auto &budget = state.pools[request.service].budget;
    const auto isRepeat = request.sends > 0;
    if (!isRepeat && request.failedConnections == 0) {
        noteFirstSend(budget, state.options.retries, state.now);
    }
    request.sends += 1;
    request.stage = Stage::Running;
    request.attempt = id;
    request.lastPeer = server.record.id;
    state.attempts[id] = {
        .request = request.call.request,
        .server = placement.server,
        .load = placement.load,
        .sentAt = state.now,
        .estimatedStart = placement.estimatedStart,
    };
    noteSent(server, placement.load, expectedStart(state, request, placement), state.now);
    if (isEngine) {
        noteCachedParts(server, request.call.prompt, state.now);
    }
    actions.emplace_back(Send{
        .request = request.call.request,
        .attempt = id,
        .server = server.record.id,
        .address = server.record.address,
        .workspace = request.workspace,
        .rank = request.rank,
        .remaining = request.deadline - state.now,
        .lastEventId = request.lastEventId,
        .isStream = request.route->repeatability == Repeatability::Stream,
        .isRepeat = isRepeat,
        .repeatedAfter = request.repeatedAfter,
        .startTimeout = startTimeoutOf(request, expectedStart(state, request, placement)),
        .silenceTimeout = silenceTimeoutOf(request),
        .estimatedStart = placement.estimatedStart,
        .promptTokens = request.call.prompt.tokens,
        .unreadTokens = placement.load.unreadTokens,
        .requestsBefore = placement.before.inFlight,
        .tokensBefore = placement.before.unreadTokens,
        .home = placement.home,
    });
}

/// Why the request may not be sent now, whatever the servers say.
///
/// Failure: a key is withdrawn while a request waits here, or while this VM is suspended between the request's arrival
/// and its dispatch. Symptom: work runs for a workspace that was shut out. The check stands right before each send, and a
/// configuration that was confirmed too long ago counts as one in which every key may be gone.
auto whyNotNow(const RouterState &state, const Request &request) -> std::optional<Reason>
{
    if (request.workspace.empty()) {
        return std::nullopt;
    }
    if (!isFresh(state, state.now)) {
        return Reason::StaleConfiguration;
    }
    return isKeyValid(state, request) ? std::nullopt : std::optional(Reason::UnknownKey);
}

/// Whether most other entries told what they have in flight.
auto knowsPeers(const RouterState &state) -> bool
{
    return state.servers.totals || 2 * state.servers.peers.size() + 1 >= state.entries;
}

/// Longest work that may lie before the request on an engine.
///
/// Failure: a burst fills every engine with prompts to be read. Symptom: all answers are late, also of requests that come
/// last, although the engines could serve most on time. An engine gets no more than what can still begin on time, so the
/// rest waits here, where the newest, which can still be on time, goes first; a late one is sent when an engine has little
/// to do. A prompt that takes long by itself is not held back for that.
auto mostAheadOf(const RouterState &state, const Request &request) -> Duration
{
    const auto target = request.route->target;
    const auto ownReading = readingTime(request.call.prompt.tokens, state.options.engineSpeed);
    const auto own = std::min(ownReading, scaled(target, MostOwnPart));
    const auto left = scaled(target, OnTimePart) - (state.now - request.arrived) - own;
    const auto least = scaled(target, LatePart);
    return request.late ? least : std::max(left, least);
}

auto isLate(const RouterState &state, const Request &request) -> bool
{
    return mostAheadOf(state, request) <= scaled(request.route->target, LatePart);
}

auto place(const RouterState &state, const Request &request) -> Placement
{
    const auto found = state.servers.byService.find(request.service);
    if (found == state.servers.byService.end()) {
        return {};
    }
    const auto *service = request.table->findService(request.service);
    const PlacementQuery query{
        .prompt = request.route->hasPrompt ? &request.call.prompt : nullptr,
        .failureDomain = state.options.failureDomain,
        .avoid = request.avoid,
        .entries = state.entries,
        .peersKnown = knowsPeers(state),
        .cacheTokens = service == nullptr ? 0 : service->cacheTokens,
        .talkerServers = state.pools.at(request.service).split.talkerServers,
        .mostAhead = request.route->hasPrompt ? std::optional(mostAheadOf(state, request)) : std::nullopt,
        .tieBreak = request.tieBreak,
        .reports = state.servers.reports,
    };
    return choosePlacement(found->second, query, state.options.engineSpeed, state.now);
}

/// \return false if no server has room for it
auto trySend(RouterState &state, Request &request, Actions &actions) -> bool
{
    if (const auto reason = whyNotNow(state, request)) {
        endWithoutAnswer(state, request, *reason, actions);
        return true;
    }
    if (isWithheld(state, request.call.fingerprint)) {
        endWithoutAnswer(state, request, Reason::Quarantined, actions);
        return true;
    }
    if (!request.late && request.route->hasPrompt && isLate(state, request)) {
        leaveQueue(state, request);
        request.late = true;
        enqueue(state, request);
        return false;
    }
    const auto placement = place(state, request);
    request.wanted = placement.mustWait ? placement.server : nullptr;
    request.wantedTokens = placement.load.unreadTokens;
    if (!placement.server || placement.mustWait) {
        return false;
    }
    leaveQueue(state, request);
    send(state, request, placement, actions);
    return true;
}

} // namespace

auto enqueue(RouterState &state, Request &request) -> void
{
    request.stage = Stage::Waiting;
    state.pools[request.service].waiting.insert(placeOf(request));
}

auto leaveQueue(RouterState &state, Request &request) -> void
{
    state.pools[request.service].waiting.erase(placeOf(request));
}

auto dispatchService(RouterState &state, const std::string &service, Actions &actions) -> void
{
    auto &waiting = state.pools[service].waiting;
    auto passed = 0;
    for (auto next = waiting.begin(); next != waiting.end() && passed < MostPassedOver;) {
        const auto id = std::get<RequestId>(*next);
        ++next; // sending takes the request out of the queue
        if (!trySend(state, state.requests.at(id), actions)) {
            passed += 1;
        }
    }
}

auto updateSplits(RouterState &state) -> void
{
    for (auto &[service, pool] : state.pools) {
        const auto found = state.servers.byService.find(service);
        if (found != state.servers.byService.end()) {
            updateSplit(pool.split, found->second, state.now);
        }
    }
}

auto countWanted(RouterState &state) -> void
{
    for (auto &[id, server] : state.servers.byId) {
        server->own.wantedTokens = 0;
    }
    for (const auto &[id, request] : state.requests) {
        if (request.stage == Stage::Waiting && request.wanted) {
            request.wanted->own.wantedTokens += request.wantedTokens;
        }
    }
}

auto dispatchAll(RouterState &state, Actions &actions) -> void
{
    for (auto &[service, pool] : state.pools) {
        if (!pool.waiting.empty()) {
            dispatchService(state, service, actions);
        }
    }
}

} // namespace auburnspread::passthrough::detail
