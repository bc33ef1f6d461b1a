#include "core/passthrough/internal/dispatching.h"

#include "core/passthrough/internal/arriving.h"
#include "core/passthrough/internal/candidate.h"
#include "core/passthrough/internal/crashes.h"
#include "core/passthrough/internal/ending.h"
#include "core/passthrough/internal/enginechoice.h"
#include "core/passthrough/peerreports.h"
#include "core/passthrough/placement.h"

#include <algorithm>
#include <cmath>

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

/// What may lie before a request of the least urgent tier of a service: enough to keep an engine busy until the entries know better,
/// reports being a tenth of a second old and more. Failure: prompts with a long target fill the engines up to that target. Symptom:
/// more urgent ones with a short target find no engine, and running answers stall because engines read all the time.
constexpr Duration LongestAhead = std::chrono::milliseconds(300);
/// What more may lie before it for each less urgent tier: these get nothing while a more urgent request just finds room.
constexpr Duration MoreAheadForTier = std::chrono::milliseconds(100);

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
    return scaled(placement.estimatedStart, state.pools[request.service].bias[placement.load.isShort ? 1 : 0]);
}

auto noteUnread(Pool &pool, std::uint32_t tokens) -> void
{
    constexpr double Weight = 0.05; // the last twenty
    pool.unreadEach += Weight * (tokens - pool.unreadEach);
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
        .readTokens = static_cast<double>(placement.workAhead.unreadTokens) + placement.load.unreadTokens,
    };
    recordSend(state.servers, server, placement.load, expectedStart(state, request, placement), state.now);
    if (isEngine) {
        noteUnread(state.pools[request.service], placement.load.unreadTokens);
        recordPromptSent(state.servers, server, request.call.prompt, state.now);
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
        .fetchFrom = placement.fetchFrom ? placement.fetchFrom->record.address : "",
        .estimatedStart = placement.estimatedStart,
        .promptTokens = request.call.prompt.tokens,
        .unreadTokens = placement.load.unreadTokens,
        .fetchedTokens = placement.fetchedTokens,
        .requestsBefore = placement.workAhead.inFlight,
        .tokensBefore = placement.workAhead.unreadTokens,
        .roomTokens = static_cast<std::uint32_t>(std::min(placement.backlog.capacityTokens, 4e9)),
        .waitingTokens = static_cast<std::uint32_t>(placement.backlog.waitingTokens),
        .preference = placement.preferenceRank,
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
    return state.servers.usesFleetReport || 2 * reportingEntries(state.servers) + 1 >= state.entries;
}

auto strainOf(const Pool &pool, const Request &request) -> const Strain &
{
    return pool.strain[isShort(request.call.prompt) ? 1 : 0];
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
    const auto ownReading = prefillTime(request.call.prompt.tokens, state.pools.at(request.service).speed);
    const auto own = std::min(ownReading, scaled(target, MostOwnPart));
    const auto left = scaled(target, OnTimePart) - (state.now - request.arrived) - own;
    const auto least = std::min(scaled(target, LatePart), scaled(LongestAhead, MinQueuedWorkFactor));
    const auto most = scaled(LongestAhead, queuedWorkFactor(strainOf(state.pools.at(request.service), request))) + MoreAheadForTier * request.lessUrgentTiers;
    return request.late ? least : std::clamp(left, least, most);
}

auto isLate(const RouterState &state, const Request &request) -> bool
{
    return state.now - request.arrived >= scaled(request.route->target, OnTimePart - MostOwnPart - LatePart);
}

auto rateAt(const ArrivalRate &rate, TimePoint now) -> double
{
    return rate.perSecond * std::exp(-std::chrono::duration<double>(now - rate.updatedAt).count());
}

/// Age of what is known of the others' requests, on average: told by each, or by way of a sum.
auto reportAgeOf(const RouterState &state) -> Duration
{
    constexpr Duration OfReports = std::chrono::milliseconds(40);
    constexpr Duration OfSums = std::chrono::milliseconds(120);
    return state.servers.usesFleetReport ? OfSums : OfReports;
}

/// Requests that all other entries together send until this one hears of them: as they tell, or as many each as come here.
auto unseenRequests(const RouterState &state, const std::string &service) -> double
{
    const auto perSecond
        = knowsPeers(state) ? peerArrivalRate(state.servers, service) : rateAt(state.pools.at(service).arrivals, state.now) * (state.entries - 1);
    return perSecond * std::chrono::duration<double>(reportAgeOf(state)).count();
}

/// Engines that one request looks at: where all entries together send many requests between two reports, each chooses
/// among few engines; where they send less than one, among all.
auto lookedAtOf(double unseen, std::size_t engines) -> double
{
    constexpr double Least = 3; // engines; with two, a choice between two bad ones is common
    return std::max(Least, static_cast<double>(engines) / std::max(unseen, 0.1));
}

/// \p servers: all of the service or a part of them, which gets \p share of what the service gets
auto placeAmong(const RouterState &state, const Request &request, const std::vector<ServerPointer> &servers, double share) -> Placement
{
    const auto *service = request.table->findService(request.service);
    const auto &pool = state.pools.at(request.service);
    const auto unseen = share * unseenRequests(state, request.service);
    const PlacementQuery query{
        .prompt = request.route->hasPrompt ? &request.call.prompt : nullptr,
        .failureDomain = state.options.failureDomain,
        .avoid = request.avoid,
        .entries = state.entries,
        .entryNamesKnown = !state.servers.entryNameHashes.empty(),
        .peersKnown = knowsPeers(state),
        .cacheTokens = service == nullptr ? 0 : service->cacheTokens,
        .fetchTokensPerMs = service == nullptr ? 0 : service->fetchTokensPerMs,
        .shortPromptEngines = static_cast<std::size_t>(std::ceil(share * static_cast<double>(pool.split.shortPromptEngines))),
        .sampledEngines = request.route->hasPrompt ? std::optional(lookedAtOf(unseen, servers.size())) : std::nullopt,
        .isUrgent = request.lessUrgentTiers > 0,
        .leavesReserve = request.hasMoreUrgentTiers,
        // short prompts that pile up make answers pause, so for them all counts that was told
        .reportAge = isShort(request.call.prompt) ? Duration::zero() : reportAgeOf(state),
        .admissionFactor = releaseFactor(strainOf(pool, request)),
        .unreportedTokens = unseen * pool.unreadEach,
        .maxQueueTime = request.route->hasPrompt ? std::optional(mostAheadOf(state, request)) : std::nullopt,
        .tieBreak = request.tieBreak,
        .reportRevision = state.servers.reportCount,
    };
    return choosePlacement(servers, query, pool.speed, state.now);
}

auto isFound(const Placement &placement) -> bool
{
    return placement.server && !placement.mustWait;
}

auto place(const RouterState &state, const Request &request) -> Placement
{
    const auto found = state.servers.byService.find(request.service);
    if (found == state.servers.byService.end()) {
        return {};
    }
    const auto &group = found->second;
    if (!request.route->hasPrompt || group.shards.size() == 1) {
        return placeAmong(state, request, group.all, 1);
    }
    const auto session = sessionIdOf(request.call.prompt);
    const auto key = mixHash(session == 0 ? request.tieBreak : session, 0);
    const auto share = 1 / static_cast<double>(group.shards.size());
    auto placement = placeAmong(state, request, group.shards[shardForKey(group, key)], share);
    if (isFound(placement)) {
        return placement;
    }
    auto second = placeAmong(state, request, group.shards[fallbackShardForKey(group, key)], share);
    return isFound(second) || !placement.server ? second : placement;
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
    request.waitsFor = placement.mustWait ? placement.server : nullptr;
    request.waitingTokens = placement.load.unreadTokens;
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

auto noteArrival(ArrivalRate &rate, TimePoint now) -> void
{
    rate.perSecond = rateAt(rate, now) + 1;
    rate.updatedAt = now;
}

auto updateSplits(RouterState &state) -> void
{
    constexpr Duration IntervalOfMany = std::chrono::milliseconds(100); // of thousands of servers, all of which are looked at
    for (auto &[service, pool] : state.pools) {
        const auto found = state.servers.byService.find(service);
        if (found == state.servers.byService.end()) {
            continue;
        }
        const auto interval = found->second.shards.size() == 1 ? Duration::zero() : IntervalOfMany;
        if (state.now - pool.split.updatedAt >= interval) {
            updateSplit(pool.split, found->second.all, state.now);
        }
    }
}

auto countWaiting(RouterState &state) -> void
{
    for (auto &[id, server] : state.servers.reportableServers) {
        server->ownLoad.waitingTokens = 0;
    }
    for (const auto &[id, request] : state.requests) {
        if (request.stage == Stage::Waiting && request.waitsFor) {
            markReportable(state.servers, *request.waitsFor);
            request.waitsFor->ownLoad.waitingTokens += request.waitingTokens;
        }
    }
}

auto countArrivals(RouterState &state) -> void
{
    for (const auto &[service, pool] : state.pools) {
        state.servers.ownArrivalRates[service] = rateAt(pool.arrivals, state.now);
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
