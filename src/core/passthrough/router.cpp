#include "core/passthrough/router.h"

#include "core/passthrough/internal/arriving.h"
#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/ending.h"
#include "core/passthrough/internal/exiting.h"
#include "core/passthrough/internal/forwarding.h"
#include "core/passthrough/internal/resuming.h"
#include "core/passthrough/internal/silence.h"
#include "core/passthrough/internal/state.h"
#include "core/passthrough/internal/suspicion.h"
#include "core/passthrough/peerreports.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// Fleet size that is assumed for the retry budget until the membership is known. An entry that considered itself the only one would
/// use the allowance of the whole fleet.
constexpr std::uint32_t ProvisionalEntries = 300;

/// Streams that began under the configuration so far may be as old as it allows.
auto keepLimits(RouterState &state) -> void
{
    std::erase_if(state.formerLimits, [&state](const auto &item) { return item.second.until <= state.now; });
    if (!state.table) {
        return;
    }
    for (const auto &route : state.table->configuration().routes) {
        const auto known = state.longestDeadlines.find(route.name);
        const auto longest = std::max(route.timeout, known == state.longestDeadlines.end() ? Duration::zero() : known->second);
        auto &former = state.formerLimits[route.name];
        former = { .longest = std::max(former.longest, longest), .until = std::max(former.until, state.now + longest) };
    }
}

auto shortestPauseOf(const Configuration &configuration, const std::string &service) -> std::optional<Duration>
{
    std::optional<Duration> shortest;
    for (const auto &route : configuration.routes) {
        const auto isOfService = std::any_of(route.shares.begin(), route.shares.end(), [&service](const Share &share) { return share.service == service; });
        if (isOfService && route.hasPrompt && route.maxEventGap > Duration::zero()) {
            shortest = std::min(shortest.value_or(route.maxEventGap), route.maxEventGap);
        }
    }
    return shortest;
}

auto chooseModelledServices(RouterState &state) -> void
{
    const auto &configuration = state.table->configuration();
    state.modelledServices.clear();
    for (const auto &service : configuration.services) {
        if (usesEngineModel(configuration, service.name, state.options.engineModel)) {
            state.modelledServices[service.name] = { .shortestPause = shortestPauseOf(configuration, service.name) };
        }
    }
}

/// Routes come and go with configurations, so what was learnt of those that are gone must not stay.
auto forgetRemovedRoutes(RouterState &state) -> void
{
    const auto &routes = state.table->configuration().routes;
    const auto isRemoved
        = [&routes](const auto &item) { return std::none_of(routes.begin(), routes.end(), [&item](const Route &route) { return route.name == item.first; }); };
    for (auto &[service, pool] : state.pools) {
        std::erase_if(pool.promptLengths.meanTokens, isRemoved);
    }
    std::erase_if(state.callerDeadlines, isRemoved);
}

/// Ignores an older version that arrives late, from a superseded read or from another entry.
auto adoptConfiguration(RouterState &state, const Configuration &configuration) -> void
{
    const auto isOlder = state.table && configuration.version <= state.table->configuration().version;
    if (!isOlder) {
        keepLimits(state);
        state.table = std::make_shared<const RouteTable>(configuration);
        state.longestDeadlines.clear(); // routes come and go with configurations
        state.usualErrors.clear();
        chooseModelledServices(state);
        forgetRemovedRoutes(state);
        state.servers.cacheTokens.clear();
        for (const auto &service : configuration.services) {
            state.servers.cacheTokens[service.name] = service.cacheTokens;
        }
    }
}

auto handleTick(RouterState &state, Actions &actions) -> void
{
    removeLapsedServers(state.servers, state.now);
    expirePeerReports(state.servers, state.now);
    const auto startOf = [&state](std::string_view id) {
        const auto server = findServer(state.servers, id);
        return server ? std::optional(server->record.startedAt) : std::nullopt;
    };
    reviewIncidents(state.crashes, startOf, state.serversConfirmedAt, state.now);
    forgetOldOrigins(state.streams, state.now);
    detail::reviewResolving(state, actions);
    if (!state.modelledServices.empty()) {
        updateRelativeDelays(state.servers, state.now);
    }
    detail::updateEngineSplits(state);
    detail::reviewReachability(state, actions);
    detail::endExpiredRequests(state, actions);
    detail::dispatchAll(state, actions);
    if (state.closing) {
        detail::refuseWaitingRequests(state, actions);
    }
}

/// Visitor with one overload for each event type.
struct EventHandler {
    RouterState &state;
    Actions &actions;

    auto operator()(const RequestArrived &event) const -> void
    {
        detail::acceptRequest(state, event, actions);
    }
    auto operator()(const CallerGone &event) const -> void
    {
        detail::handleCallerGone(state, event, actions);
    }
    auto operator()(const RequestTakenBack &event) const -> void
    {
        detail::handleTakenBack(state, event, actions);
    }
    auto operator()(const AttemptStarted &event) const -> void
    {
        if (detail::isForwarding(state, event.attempt)) {
            detail::handleForwardStarted(state, event, actions);
        } else {
            detail::handleStarted(state, event, actions);
        }
    }
    auto operator()(const AttemptProgress &event) const -> void
    {
        detail::handleProgress(state, event, actions);
    }
    auto operator()(const RateLimitReported &event) const -> void
    {
        detail::handleRateLimit(state, event);
    }
    auto operator()(const BrittlenessReported &event) const -> void
    {
        detail::handleBrittleness(state, event, actions);
    }
    auto operator()(const AttemptNoticed &event) const -> void
    {
        detail::handleAttemptNotice(state, event, actions);
    }
    auto operator()(const CallNoticed &event) const -> void
    {
        detail::handleCallNotice(state, event, actions);
    }
    auto operator()(const AttemptAnswered &event) const -> void
    {
        if (detail::isForwarding(state, event.attempt)) {
            detail::handleForwardAnswered(state, event, actions);
        } else {
            detail::handleAnswered(state, event, actions);
        }
    }
    auto operator()(const AttemptFinished &event) const -> void
    {
        if (detail::isForwarding(state, event.attempt)) {
            detail::handleForwardFinished(state, event, actions);
        } else {
            detail::handleFinished(state, event, actions);
        }
    }
    auto operator()(const AttemptFailed &event) const -> void
    {
        if (detail::isForwarding(state, event.attempt)) {
            detail::handleForwardFailed(state, event, actions);
        } else {
            detail::handleFailed(state, event, actions);
        }
    }
    auto operator()(const AttemptSilent &event) const -> void
    {
        detail::handleSilent(state, event, actions);
    }
    auto operator()(const ForwardRefused &event) const -> void
    {
        if (detail::isForwarding(state, event.attempt)) {
            detail::handleForwardRefused(state, event, actions);
        }
    }
    auto operator()(const ServerProbed &event) const -> void
    {
        detail::handleServerProbed(state, event, actions);
    }
    auto operator()(const ConfigurationAdopted &event) const -> void
    {
        adoptConfiguration(state, event.configuration);
    }
    auto operator()(const ConfigurationConfirmed &event) const -> void
    {
        state.confirmedAt = std::max(state.confirmedAt, event.asOf);
    }
    auto operator()(const ConfigurationOutdated &event) const -> void
    {
        state.outdatedSince = event.since;
    }
    auto operator()(const ServersListed &event) const -> void
    {
        detail::keepListedVersions(state);
        applyServerList(state.servers, event, state.now);
        state.serversConfirmedAt = std::max(state.serversConfirmedAt, event.asOf);
        rebuildPeerLoads(state.servers);
        detail::updateVersionHistories(state);
        detail::dispatchAll(state, actions);
    }
    auto operator()(const ServersChanged &event) const -> void
    {
        detail::keepListedVersions(state);
        applyServerChanges(state.servers, event, state.now);
        state.serversConfirmedAt = std::max(state.serversConfirmedAt, event.asOf);
        rebuildPeerLoads(state.servers);
        detail::updateVersionHistories(state);
        detail::dispatchAll(state, actions);
    }
    auto operator()(const ServersConfirmed &event) const -> void
    {
        state.serversConfirmedAt = std::max(state.serversConfirmedAt, event.asOf);
        detail::updateVersionHistories(state);
    }
    auto operator()(const EntriesCounted &event) const -> void
    {
        state.entries = std::max<std::uint32_t>(event.entries, 1);
        state.retryBudgetShares = event.isProvisional ? ProvisionalEntries : state.entries;
        setEntryNames(state.servers, event.names);
        setPeers(state.peers, event.otherAddresses);
        state.keepers = event.others;
    }
    auto operator()(const OriginReported &event) const -> void
    {
        detail::handleOriginReported(state, event, actions);
    }
    auto operator()(const OriginUnknown &event) const -> void
    {
        detail::handleOriginUnknown(state, event, actions);
    }
    auto operator()(const PeerReported &event) const -> void
    {
        applyPeerReport(state.servers, event, state.now);
    }
    auto operator()(const CacheListed &event) const -> void
    {
        applyCacheListing(state.servers, event, state.now);
    }
    auto operator()(const CrashesReported &event) const -> void
    {
        detail::handleCrashReport(state, event, actions);
    }
    auto operator()(const QuarantineListed &event) const -> void
    {
        setListedSuspects(state.crashes, event.suspects);
    }
    auto operator()(const LeavingStarted &event) const -> void
    {
        state.leaving = event;
    }
    auto operator()(const ClosingStarted & /*event*/) const -> void
    {
        state.closing = true;
        detail::refuseWaitingRequests(state, actions);
    }
    auto operator()(const ExitStarted & /*event*/) const -> void
    {
        detail::endUnansweredRequests(state, actions);
    }
    auto operator()(const Tick & /*event*/) const -> void
    {
        handleTick(state, actions);
    }
};

auto reportChangedLimits(RouterState &state, Actions &actions) -> void
{
    for (const auto &server : std::exchange(state.servers.changedLimits, {})) {
        const auto &statement = newestStatement(server->limit);
        const auto sharers = allowedSenders(statement.perSecond.value_or(0), state.entries);
        actions.emplace_back(RateLimitChanged{
            .server = server->record.id,
            .perSecond = statement.perSecond,
            .age = state.now - statement.at,
            .sharers = statement.perSecond ? sharers : state.entries,
            .isSharer = !statement.perSecond || server->limit.senderRank < sharers,
        });
    }
}

} // namespace

auto RouterStateDeleter::operator()(RouterState *state) const -> void
{
    delete state; // NOLINT(cppcoreguidelines-owning-memory)
}

auto makeRouter(RouterOptions options) -> RouterStatePointer
{
    auto state = RouterStatePointer(new RouterState);
    state->options = std::move(options);
    state->servers.failureDomain = state->options.failureDomain;
    state->seed = XXH64(state->options.entry.data(), state->options.entry.size(), 0);
    state->servers.seed = state->seed;
    state->servers.ownNameHash = state->seed;
    return state;
}

auto step(RouterState &state, const Event &event, TimePoint now) -> Actions
{
    Actions actions;
    state.now = std::max(state.now, now);
    std::visit(EventHandler{ state, actions }, event);
    reportChangedLimits(state, actions);
    return actions;
}

auto updateOptions(RouterState &state, const RouterOptions &options) -> void
{
    state.options.retries = options.retries;
    state.options.keyFreshness = options.keyFreshness;
    state.options.outdatedTolerance = options.outdatedTolerance;
}

auto makeEntryReport(RouterState &state) -> PeerReported
{
    detail::updateWaitingTokens(state);
    detail::updateOwnArrivalRates(state);
    return makeEntryReport(state.servers, state.options.entry, state.now);
}

auto makeAggregateReport(const RouterState &state, ReportScope scope) -> PeerReported
{
    return makeAggregateReport(state.servers, state.options.entry, scope, state.now);
}

auto makeSpeedReport(const RouterState &state, ReportScope scope) -> std::optional<PeerReported>
{
    if (state.modelledServices.empty()) {
        return std::nullopt;
    }
    auto report = makeSpeedReport(state.servers, state.options.entry, scope, state.now);
    return report.speeds.empty() ? std::nullopt : std::optional(std::move(report));
}

auto loadOfService(const RouterState &state, const std::string &service, TimePoint now) -> ServiceLoad
{
    ServiceLoad load;
    const auto group = state.servers.byService.find(service);
    if (group == state.servers.byService.end()) {
        return load;
    }
    const auto pool = state.pools.find(service);
    load.tokensPerMs = pool == state.pools.end() ? EngineSpeed().tokensPerMs : pool->second.speed.tokensPerMs;
    for (const auto &server : group->second.all) {
        const auto work = totalLoad(*server);
        load.requests += work.inFlight;
        load.unreadTokens += std::uint64_t{ work.unreadTokens } + work.waitingTokens;
        if (isUsable(*server, now)) {
            load.servers += 1;
            load.slots += server->record.slots;
        }
    }
    return load;
}

auto quarantinedSuspects(const RouterState &state, TimePoint now) -> std::vector<QuarantinedSuspect>
{
    return quarantinedSuspects(state.crashes, now);
}

auto quarantineRevision(const RouterState &state) -> std::uint64_t
{
    return state.crashes.revision;
}

auto findStreamOrigin(const RouterState &state, StreamId stream) -> std::optional<StreamOrigin>
{
    const auto *origin = findOrigin(state.streams, stream);
    return origin == nullptr ? std::nullopt : std::optional(*origin);
}

auto describeVersions(const RouterState &state, const std::string &service, TimePoint now) -> std::optional<VersionReport>
{
    const auto history = state.versionHistories.find(service);
    return history == state.versionHistories.end() ? std::nullopt : reportHistory(history->second, service, now);
}

auto acceptsCalls(const RouterState &state, std::string_view server, TimePoint now) -> bool
{
    const auto found = findServer(state.servers, server);
    return found && takesRequests(*found, now);
}

auto countServersInBackoff(const RouterState &state, TimePoint now) -> std::uint32_t
{
    const auto isCounted = [now](const auto &item) { return isInBackoff(item.second->stated, now); };
    return static_cast<std::uint32_t>(std::count_if(state.servers.byId.begin(), state.servers.byId.end(), isCounted));
}

auto statusOf(const RouterState &state, TimePoint now) -> RouterStatus
{
    std::uint32_t waiting = 0;
    for (const auto &[service, pool] : state.pools) {
        waiting += static_cast<std::uint32_t>(pool.waiting.size());
    }
    return {
        .configurationVersion = state.table ? state.table->configuration().version : 0,
        .waiting = waiting,
        .inFlight = static_cast<std::uint32_t>(state.attempts.size() + state.forwardings.size()),
        .servers = static_cast<std::uint32_t>(state.servers.byId.size()),
        .limitedServers = state.servers.limitedServers,
        .entries = state.entries,
        .configurationAge = now - state.confirmedAt,
    };
}

auto isConfigurationFresh(const RouterState &state, TimePoint now) -> bool
{
    return state.table && now - state.confirmedAt < state.options.keyFreshness && !isConfigurationOverdue(state, now);
}

auto isConfigurationOverdue(const RouterState &state, TimePoint now) -> bool
{
    return state.outdatedSince && now - *state.outdatedSince >= state.options.outdatedTolerance;
}

} // namespace auburnspread::passthrough
