#include "core/passthrough/internal/dispatching.h"

#include "core/passthrough/internal/arriving.h"
#include "core/passthrough/internal/candidate.h"
#include "core/passthrough/internal/ending.h"
#include "core/passthrough/internal/enginechoice.h"
#include "core/passthrough/internal/forwarding.h"
#include "core/passthrough/internal/resuming.h"
#include "core/passthrough/internal/suspicion.h"
#include "core/passthrough/peerreports.h"
#include "core/passthrough/placement.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough::detail
{

namespace
{

/// Number of requests that may fail to find a server before a dispatch round stops. Requests behind one that found no server are
/// tried too, because each session has its own preferred engines.
constexpr int MaxSkippedRequests = 32;

/// Fraction of a route's target within which the first event must be expected. The margin is needed because the load reports of other
/// entries are about 100 ms old.
constexpr double OnTimeFraction = 0.85;
/// Upper limit, as a fraction of the target, for the time that a prompt's own processing takes off the work allowed ahead of it.
constexpr double MaxOwnReadingFraction = 0.3;
/// Fraction of the target that the work ahead of a late request may take. It is small, so that a late request does not take the place
/// of one that can be on time.
constexpr double LateFraction = 0.2;

/// A plain service that has not started its response after this multiple of the route's target is considered stuck.
constexpr double StartTimeoutTargets = 2.5;

/// Longest work that may be ahead of a request of the least urgent tier of a service. It keeps an engine busy until newer load reports
/// arrive, which are 100 ms old or more. If prompts with a long target could fill the engines up to that target, more urgent prompts
/// with a short target would find no engine, and running responses would stall because the engines process prompts all the time.
constexpr Duration MaxWorkAhead = std::chrono::milliseconds(300);
/// Additional work that may be ahead of a request for each less urgent tier of the service. Requests of those tiers are not sent while
/// the engines are so full that only a more urgent request finds room.
constexpr Duration ExtraWorkAheadPerTier = std::chrono::milliseconds(100);

auto queuePositionOf(const Request &request) -> Pool::QueuePosition
{
    return { request.rank, request.isLate, request.order, request.call.request };
}

auto isRetryable(const Route &route) -> bool
{
    return route.repeatability == Repeatability::Idempotent || route.isResumable;
}

/// \return zero, which means no timeout, if the request can't be retried, since ending its attempt early would not help it
auto startTimeoutOf(const Request &request, Duration estimated) -> Duration
{
    const auto &route = *request.route;
    if (!isRetryable(route) || request.sends >= route.attempts) {
        return Duration::zero();
    }
    if (route.repeatability == Repeatability::Stream) {
        constexpr Duration StreamStart = std::chrono::seconds(1); // half of the shortest time after which a caller gives up on a silent stream
        return std::max(StreamStart, 2 * estimated);
    }
    return scaled(route.target, StartTimeoutTargets);
}

auto silenceTimeoutOf(const Request &request) -> Duration
{
    constexpr Duration StreamSilence = std::chrono::seconds(1); // see StreamStart
    return request.route->isResumable && request.sends < request.route->attempts ? StreamSilence : Duration::zero();
}

/// The estimated time to the first byte, corrected by the recent ratio of observed to estimated times.
auto correctedStartEstimate(RouterState &state, const Request &request, const Placement &placement) -> Duration
{
    return scaled(placement.estimatedStart, state.pools[request.service].startTimeBias[placement.load.isShort ? 1 : 0]);
}

auto updateAverageUnreadTokens(Pool &pool, std::uint32_t tokens) -> void
{
    constexpr double Weight = 0.05; // averages over about 20 requests
    pool.averageUnreadTokens += Weight * (tokens - pool.averageUnreadTokens);
}

/// Whether at least half of the entries, this one included, are covered by load reports.
auto hasReportsOfMostPeers(const RouterState &state) -> bool
{
    return state.servers.usesFleetReport || 2 * reportingEntries(state.servers) + 1 >= state.entries;
}

auto strainOf(const Pool &pool, const Request &request) -> const Strain &
{
    return pool.strain[request.isShort ? 1 : 0];
}

/// Longest work that may be ahead of the request on an engine.
///
/// If a burst filled every engine with prompts, all responses would be late, including those to the last requests, although the engines
/// could serve most of them on time. An engine therefore gets no more than what can still start on time. The other requests stay in the
/// queue of the entry, where those that can still be on time are sent before late ones, and a late one is sent when an engine has
/// little work. A prompt that takes long to process by itself is not held back for that reason.
auto maxWorkAheadOf(const RouterState &state, const Request &request) -> Duration
{
    const auto target = request.route->target;
    const auto ownReading = prefillTime(request.call.prompt.tokens, state.pools.at(request.service).speed);
    const auto own = std::min(ownReading, scaled(target, MaxOwnReadingFraction));
    const auto left = scaled(target, OnTimeFraction) - (state.now - request.arrived) - own;
    if (request.usesModel) {
        const auto least = scaled(target, LateFraction);
        return request.isLate ? least : std::max(left, least);
    }
    const auto minAhead = std::min(scaled(target, LateFraction), scaled(MaxWorkAhead, MinQueuedWorkFactor));
    const auto maxAhead
        = scaled(MaxWorkAhead, queuedWorkFactor(strainOf(state.pools.at(request.service), request))) + ExtraWorkAheadPerTier * request.lessUrgentTiers;
    return request.isLate ? minAhead : std::clamp(left, minAhead, maxAhead);
}

/// Prefill that breaks no pause of the answers that run beside it.
auto maxSharedPrefillOf(const RouterState &state, const Request &request) -> std::optional<Duration>
{
    constexpr double PauseFraction = 0.7; // the rest is for the answer's own steps, and for an engine that slows down for a moment
    const auto found = state.modelledServices.find(request.service);
    if (!request.usesModel || found == state.modelledServices.end() || !found->second.shortestPause) {
        return std::nullopt;
    }
    return scaled(*found->second.shortestPause, PauseFraction);
}

auto cannotStartOnTime(const RouterState &state, const Request &request) -> bool
{
    return state.now - request.arrived >= scaled(request.route->target, OnTimeFraction - MaxOwnReadingFraction - LateFraction);
}

auto rateAt(const ArrivalRate &rate, TimePoint now) -> double
{
    return rate.perSecond * std::exp(-std::chrono::duration<double>(now - rate.updatedAt).count());
}

/// Average age of the information about other entries' requests, from their own reports or from aggregated reports.
auto reportAgeOf(const RouterState &state) -> Duration
{
    constexpr Duration EntryReportAge = std::chrono::milliseconds(40);
    constexpr Duration AggregateReportAge = std::chrono::milliseconds(120);
    return state.servers.usesFleetReport ? AggregateReportAge : EntryReportAge;
}

/// Expected number of requests that the other entries have sent but not yet reported to this one. It is based on the arrival rates that
/// they report, or on this entry's own rate for each of them if most have not reported.
auto unreportedRequests(const RouterState &state, const std::string &service) -> double
{
    const auto perSecond
        = hasReportsOfMostPeers(state) ? peerArrivalRate(state.servers, service) : rateAt(state.pools.at(service).arrivals, state.now) * (state.entries - 1);
    return perSecond * std::chrono::duration<double>(reportAgeOf(state)).count();
}

/// Number of engines that are compared for one request. If all entries together send many requests between two reports, each chooses
/// among few engines, so that they do not all choose the same one. If they send less than one, it chooses among all engines.
auto candidateCount(double unseen, std::size_t engines) -> double
{
    constexpr double MinCandidates = 3; // with two, both are often bad choices
    return std::max(MinCandidates, static_cast<double>(engines) / std::max(unseen, 0.1));
}

/// \param servers all servers of the service or one shard of them
/// \param share fraction of the service's requests that \p servers get
auto placeAmong(const RouterState &state, const Request &request, const std::vector<ServerPointer> &servers, double share, std::optional<TimePoint> heardSince)
    -> Placement
{
    const auto *service = request.table->findService(request.service);
    const auto &pool = state.pools.at(request.service);
    const auto unseen = share * unreportedRequests(state, request.service);
    const PlacementQuery query{
        .prompt = request.route->hasPrompt ? &request.call.prompt : nullptr,
        .failureDomain = state.options.failureDomain,
        .version = request.origin ? &request.origin->version : nullptr,
        .avoid = request.serversToAvoid,
        .heardSince = heardSince,
        .entries = state.entries,
        .entryNamesKnown = !state.servers.entryNameHashes.empty(),
        .peersKnown = hasReportsOfMostPeers(state),
        .usesModel = request.usesModel,
        .isShort = request.isShort,
        .cacheTokens = service == nullptr ? 0 : service->cacheTokens,
        .fetchTokensPerMs = service == nullptr ? 0 : service->fetchTokensPerMs,
        .shortPromptEngines = static_cast<std::size_t>(std::ceil(share * static_cast<double>(pool.split.shortPromptEngines))),
        .sampledEngines = request.route->hasPrompt ? std::optional(candidateCount(unseen, servers.size())) : std::nullopt,
        .isUrgent = request.lessUrgentTiers > 0,
        .leavesReserve = request.hasMoreUrgentTiers,
        // accumulating short prompts make responses pause, so for them the reported load counts in full
        .reportAge = request.isShort ? Duration::zero() : reportAgeOf(state),
        .admissionFactor = releaseFactor(strainOf(pool, request)),
        .entryHash = state.servers.ownNameHash,
        .unreportedTokens = unseen * pool.averageUnreadTokens,
        .maxSharedPrefill = maxSharedPrefillOf(state, request),
        .maxQueueTime = request.route->hasPrompt ? std::optional(maxWorkAheadOf(state, request)) : std::nullopt,
        .tieBreak = request.tieBreak,
        .reportRevision = state.servers.reportCount,
    };
    return choosePlacement(servers, query, pool.speed, state.now);
}

} // namespace

auto send(RouterState &state, Request &request, const Placement &placement, Actions &actions) -> void
{
    auto &server = *placement.server;
    const auto isEngine = request.route->hasPrompt;
    const auto id = AttemptId{ ++state.lastAttempt };
    auto &budget = state.pools[request.service].budget;
    const auto isRepeat = request.sends > 0;
    if (!isRepeat && request.failedConnections == 0) {
        recordFirstSend(budget, state.options.retries, state.now);
    }
    request.sends += 1;
    request.stage = Stage::Running;
    request.attempts.push_back(id);
    request.lastPeer = server.record.id;
    state.attempts[id] = {
        .request = request.call.request,
        .server = placement.server,
        .load = placement.load,
        .version = server.record.version,
        .sentAt = state.now,
        .estimatedStart = placement.estimatedStart,
        .typicalStart = placement.typicalStart,
        .tokensUntilStart = static_cast<double>(placement.workAhead.unreadTokens) + placement.load.unreadTokens,
    };
    recordSend(state.servers, server, placement.load, correctedStartEstimate(state, request, placement), state.now);
    if (isEngine) {
        updateAverageUnreadTokens(state.pools[request.service], placement.load.unreadTokens);
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
        .isAtMostOnce = request.route->repeatability == Repeatability::AtMostOnce,
        .isRepeat = isRepeat,
        .repeatedAfter = request.repeatedAfter,
        .version = server.record.version,
        .resumedAttempt = request.call.resumedAttempt,
        .isHeldToVersion = request.origin.has_value(),
        .startTimeout = startTimeoutOf(request, correctedStartEstimate(state, request, placement)),
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
        .trialOf = placement.trialOf,
    });
}

auto reasonNotToSend(const RouterState &state, const Request &request) -> std::optional<Reason>
{
    if (request.workspace.empty()) {
        return std::nullopt;
    }
    if (!isConfigurationFresh(state, state.now)) {
        return Reason::StaleConfiguration;
    }
    return isKeyValid(state, request) ? std::nullopt : std::optional(Reason::UnknownKey);
}

auto placeOnTrial(const RouterState &state, const Request &request, std::uint64_t part) -> Placement
{
    const auto server = findTrialServer(state, request, part);
    if (!server) {
        return {};
    }
    const auto share = 1 / static_cast<double>(state.servers.byService.at(request.service).all.size());
    auto placement = placeAmong(state, request, { server }, share, std::nullopt);
    placement.trialOf = part;
    return placement;
}

auto canSendNow(const Placement &placement) -> bool
{
    return placement.server && !placement.mustWait;
}

auto place(const RouterState &state, const Request &request, std::optional<TimePoint> heardSince) -> Placement
{
    const auto found = state.servers.byService.find(request.service);
    if (found == state.servers.byService.end()) {
        return {};
    }
    const auto &group = found->second;
    if (!request.route->hasPrompt || group.shards.size() == 1 || request.origin) {
        return placeAmong(state, request, group.all, 1, heardSince);
    }
    const auto session = sessionIdOf(request.call.prompt);
    const auto key = mixHash(session == 0 ? request.tieBreak : session, 0);
    const auto share = 1 / static_cast<double>(group.shards.size());
    auto placement = placeAmong(state, request, group.shards[shardForKey(group, key)], share, heardSince);
    if (canSendNow(placement)) {
        return placement;
    }
    auto second = placeAmong(state, request, group.shards[fallbackShardForKey(group, key)], share, heardSince);
    return canSendNow(second) || !placement.server ? second : placement;
}

namespace
{

/// Whether every server of the service has requested a backoff that lasts longer than the request can wait.
auto doBackoffsOutlastWaiting(const RouterState &state, const Request &request) -> bool
{
    const auto backoffEnd = firstBackoffEnd(state.servers, request.service, state.now);
    return backoffEnd && *backoffEnd > waitingDeadline(request);
}

enum class QueueStep {
    Left,       ///< the request was sent or ended
    NoServer,   ///< it stays because no server has room
    AwaitsTrial ///< it stays until another request has shown whether a part of its prompt crashes servers
};

/// Sends the request, or ends it if it must not be sent.
auto trySend(RouterState &state, Request &request, Actions &actions) -> QueueStep
{
    if (const auto reason = reasonNotToSend(state, request)) {
        endWithoutAnswer(state, request, *reason, actions);
        return QueueStep::Left;
    }
    if (isWithheld(state, request.call)) {
        endWithoutAnswer(state, request, Reason::Quarantined, actions);
        return QueueStep::Left;
    }
    if (tryForward(state, request, actions)) {
        return QueueStep::Left;
    }
    if (request.call.forwardedSends && isCutOff(state, request.service)) {
        endWithoutAnswer(state, request, Reason::ServersUnreachable, actions);
        return QueueStep::Left;
    }
    if (request.origin && !hasServerOfVersion(state, *request.origin)) {
        endWithoutAnswer(state, request, Reason::VersionGone, actions);
        return QueueStep::Left;
    }
    if (!request.isLate && request.route->hasPrompt && cannotStartOnTime(state, request)) {
        leaveQueue(state, request);
        request.isLate = true;
        enqueue(state, request);
        return QueueStep::NoServer;
    }
    const auto trial = findTrial(state, request);
    if (trial && mustAwaitTrial(state, request)) {
        return QueueStep::AwaitsTrial;
    }
    const auto placement = trial ? placeOnTrial(state, request, *trial) : place(state, request, std::nullopt);
    request.awaitedServer = placement.mustWait ? placement.server : nullptr;
    request.waitingTokens = placement.load.unreadTokens;
    if (!placement.server && doBackoffsOutlastWaiting(state, request)) {
        endWithoutAnswer(state, request, Reason::BackendBackoff, actions);
        return QueueStep::Left;
    }
    if (!placement.server || placement.mustWait) {
        return QueueStep::NoServer;
    }
    leaveQueue(state, request);
    send(state, request, placement, actions);
    return QueueStep::Left;
}

} // namespace

auto enqueue(RouterState &state, Request &request) -> void
{
    request.stage = Stage::Waiting;
    state.pools[request.service].waiting.insert(queuePositionOf(request));
}

auto waitingDeadline(const Request &request) -> TimePoint
{
    return request.mayHaveRun ? request.deadline : request.queueDeadline;
}

auto leaveQueue(RouterState &state, Request &request) -> void
{
    state.pools[request.service].waiting.erase(queuePositionOf(request));
}

auto dispatchService(RouterState &state, const std::string &service, Actions &actions) -> void
{
    auto &waiting = state.pools[service].waiting;
    auto skipped = 0;
    for (auto next = waiting.begin(); next != waiting.end() && skipped < MaxSkippedRequests;) {
        const auto id = std::get<RequestId>(*next);
        ++next; // sending the request removes it from the queue
        skipped += trySend(state, state.requests.at(id), actions) == QueueStep::NoServer ? 1 : 0;
    }
}

auto recordArrival(ArrivalRate &rate, TimePoint now) -> void
{
    rate.perSecond = rateAt(rate, now) + 1;
    rate.updatedAt = now;
}

auto updateEngineSplits(RouterState &state) -> void
{
    constexpr Duration ManyServersInterval = std::chrono::milliseconds(100); // an update scans all servers, which may be thousands
    for (auto &[service, pool] : state.pools) {
        const auto found = state.servers.byService.find(service);
        if (found == state.servers.byService.end()) {
            continue;
        }
        const auto interval = found->second.shards.size() == 1 ? Duration::zero() : ManyServersInterval;
        if (state.now - pool.split.updatedAt >= interval) {
            const auto prefillShare = state.modelledServices.contains(service) ? SharedEnginePrefillShare : ShortPromptPrefillShare;
            updateSplit(pool.split, found->second.all, state.now, prefillShare);
        }
    }
}

auto updateWaitingTokens(RouterState &state) -> void
{
    for (auto &[id, server] : state.servers.reportableServers) {
        server->ownLoad.waitingTokens = 0;
    }
    for (const auto &[id, request] : state.requests) {
        if (request.stage == Stage::Waiting && request.awaitedServer) {
            markReportable(state.servers, *request.awaitedServer);
            request.awaitedServer->ownLoad.waitingTokens += request.waitingTokens;
        }
    }
}

auto updateOwnArrivalRates(RouterState &state) -> void
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
