#include "core/passthrough/servertable.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace auburnspread::passthrough
{

namespace
{

/// Shortest and longest time without new requests after a failed connection; repeated failures double the time. A crashed backend
/// server is replaced within a few seconds, under a new id.
constexpr Duration LeastSuspension = std::chrono::milliseconds(300);
constexpr Duration LongestSuspension = std::chrono::seconds(3);

/// A server counts as unresponsive after MinSilence without a response, or after SilenceFactor times the expected time to the first
/// byte if that is longer. In a large fleet, an entry has at most one request on a server, and in a burst its first byte may take
/// seconds. Treating the server as dead in that case would move its sessions to other servers and overload these in turn.
constexpr Duration MinSilence = std::chrono::milliseconds(1200);
constexpr int SilenceFactor = 3;
/// An unresponsive server gets one request as a probe when nothing was sent to it for this time. Unresponsive servers stay so for
/// several seconds, and each probe of one that has not recovered costs a request.
constexpr Duration SilenceProbe = std::chrono::milliseconds(2500);

/// Weight of the newest outcome in the moving average of failures: it covers about the last ten.
constexpr double OutcomeWeight = 0.1;
/// Time in which a failure rate decays to about a third (1/e). A server that is not chosen has no successes to report, so without the
/// decay a single failure at a time of low traffic would keep the server idle forever. Faulty backend servers recover within seconds.
constexpr Duration FailureDecayTime = std::chrono::seconds(3);
constexpr double SlownessWeight = 0.15;
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 20;

auto hashOf(std::string_view name) -> std::uint64_t
{
    return XXH64(name.data(), name.size(), 0);
}

constexpr std::size_t MaxServersPerShard = 256;

/// \return a power of two, so that the number of shards rarely changes as servers come and go
auto countShards(std::size_t servers) -> std::size_t
{
    std::size_t shards = 1;
    while (servers > shards * MaxServersPerShard) {
        shards *= 2;
    }
    return shards;
}

auto assignShards(ServerGroup &group) -> void
{
    group.shards.resize(countShards(group.all.size()));
    for (const auto &server : group.all) {
        group.shards[server->hash % group.shards.size()].push_back(server);
    }
}

auto countLimited(ServerTable &table) -> void
{
    const auto hasLimit = [](const auto &item) { return isLimited(item.second->limit); };
    table.limitedServers = static_cast<std::uint32_t>(std::count_if(table.byId.begin(), table.byId.end(), hasLimit));
}

auto addVersion(ServerGroup &group, const SoftwareVersion &version) -> void
{
    if (std::find(group.versions.begin(), group.versions.end(), version) == group.versions.end()) {
        group.versions.push_back(version);
    }
}

auto indexByService(ServerTable &table) -> void
{
    countLimited(table);
    table.byService.clear();
    table.hasLapsedServers = false;
    for (const auto &[id, server] : table.byId) {
        auto &group = table.byService[server->record.service];
        group.all.push_back(server);
        addVersion(group, server->record.version);
        table.hasLapsedServers = table.hasLapsedServers || server->returnDeadline;
    }
    for (auto &[service, group] : table.byService) {
        assignShards(group);
    }
}

/// Rank of this entry in the server's rendezvous hash order of all entries.
auto senderRankOf(const ServerTable &table, const ServerState &server) -> std::uint32_t
{
    const auto scoreOf = [&server](std::uint64_t entry) { return XXH64(&entry, sizeof entry, server.hash); };
    const auto ownScore = scoreOf(table.ownNameHash);
    const auto isBefore = [&](std::uint64_t entry) { return scoreOf(entry) > ownScore; };
    return static_cast<std::uint32_t>(std::count_if(table.entryNameHashes.begin(), table.entryNameHashes.end(), isBefore));
}

/// Time for which a removed server is remembered. A server that is leaving may go on serving for many seconds.
constexpr Duration RemovedServerRetention = std::chrono::seconds(60);

auto isSameRun(const ServerState &server, const Server &record) -> bool
{
    return server.record.startedAt == record.startedAt && server.record.service == record.service && server.record.version == record.version;
}

/// \return the state of a server that left the list, if this is the same run of it; otherwise a new state
auto restoreOrCreate(ServerTable &table, const Server &record) -> ServerPointer
{
    const auto node = table.removed.extract(record.id);
    if (node && isSameRun(*node.mapped().server, record)) {
        const auto &server = node.mapped().server;
        server->limit.senderRank = senderRankOf(table, *server); // the entries may have changed in the meantime
        return server;
    }
    auto server = std::make_shared<ServerState>();
    server->hash = hashOf(record.id);
    return server;
}

/// Whether the server has stated something that would matter if it came back, or may still do so in a response that is due. Others are
/// not remembered: in a large fleet whose servers come and go, their states would take memory and time.
auto isWorthRemembering(const ServerState &server, TimePoint now) -> bool
{
    return !acceptsRequests(server.stated, now) || server.ownLoad.inFlight > 0;
}

auto remove(ServerTable &table, const ServerPointer &server, TimePoint now) -> void
{
    if (isWorthRemembering(*server, now)) {
        table.removed[server->record.id] = { .server = server, .removedAt = now };
    }
    table.byId.erase(server->record.id);
}

/// Adds or updates a server. A server that restarted under its id gets a new state; attempts on its earlier run keep the old state
/// until they end.
///
/// Failure: a server crashes and restarts under the same id. Symptom: sessions are sent to an engine whose cache is now empty, requests
/// wait for load that no longer exists, and the server is avoided because of failures before the restart.
/// \return whether the indexes by service have to be rebuilt
auto applyRecord(ServerTable &table, const Server &record) -> bool
{
    auto &server = table.byId[record.id];
    const auto isNew = !server || !isSameRun(*server, record);
    if (isNew) {
        server = restoreOrCreate(table, record);
    }
    server->record = record;
    server->returnDeadline.reset();
    return isNew;
}

/// \return the time until which a server that is missing from the list is kept; nothing if it is removed at once
///
/// Registrations may lapse while the registry is unreachable, and removing servers at once would empty the list although all of them
/// are alive. Once a list newer than the outage has been applied, a server that is missing has left and must get no more requests.
auto returnDeadlineFor(const ServerTable &table, std::optional<TimePoint> outageEndedAt) -> std::optional<TimePoint>
{
    const auto lapsed = outageEndedAt && table.listAsOf < *outageEndedAt;
    return lapsed ? std::optional(*outageEndedAt + ReregistrationTime) : std::nullopt;
}

/// \return whether the missing server is kept for now
auto keepUntilReturn(ServerState &server, std::optional<TimePoint> returnDeadline, TimePoint now) -> bool
{
    if (!server.returnDeadline) {
        server.returnDeadline = returnDeadline;
    }
    return server.returnDeadline && now < *server.returnDeadline;
}

/// Removes the servers for which \p condition returns true. \return their number
template <typename Condition>
auto removeIf(ServerTable &table, TimePoint now, Condition condition) -> std::size_t
{
    std::vector<ServerPointer> matching;
    for (const auto &[id, server] : table.byId) {
        if (condition(*server)) {
            matching.push_back(server);
        }
    }
    for (const auto &server : matching) {
        remove(table, server, now);
    }
    return matching.size();
}

} // namespace

auto applyServerList(ServerTable &table, const ServersListed &list, TimePoint now) -> void
{
    const auto returnDeadline = returnDeadlineFor(table, list.outageEndedAt);
    std::set<std::string_view> present;
    for (const auto &record : list.servers) {
        present.insert(record.id);
        applyRecord(table, record);
    }
    removeIf(table, now, [&](ServerState &server) { return !present.contains(server.record.id) && !keepUntilReturn(server, returnDeadline, now); });
    table.listAsOf = std::max(table.listAsOf, list.asOf);
    indexByService(table);
}

auto applyServerChanges(ServerTable &table, const ServersChanged &change, TimePoint now) -> void
{
    const auto returnDeadline = returnDeadlineFor(table, change.outageEndedAt);
    auto needsIndexing = false;
    for (const auto &record : change.changed) {
        needsIndexing = applyRecord(table, record) || needsIndexing;
    }
    for (const auto &id : change.removed) {
        const auto server = findServer(table, id);
        if (server && !keepUntilReturn(*server, returnDeadline, now)) {
            remove(table, server, now);
        }
        needsIndexing = true;
    }
    table.listAsOf = std::max(table.listAsOf, change.asOf);
    if (needsIndexing) {
        indexByService(table);
    }
}

auto removeLapsedServers(ServerTable &table, TimePoint now) -> void
{
    std::erase_if(table.removed, [now](const auto &item) { return now - item.second.removedAt >= RemovedServerRetention; });
    if (!table.hasLapsedServers) {
        return;
    }
    const auto dropped = removeIf(table, now, [now](const ServerState &server) { return server.returnDeadline && now >= *server.returnDeadline; });
    if (dropped > 0) {
        indexByService(table);
    }
}

namespace
{

/// Time for which reports announce that a rate limit ended. An entry that misses these reports learns it from its next answer of the
/// server.
constexpr Duration LimitEndReportedFor = std::chrono::seconds(3);

auto handleLimitChange(ServerTable &table, ServerState &server) -> void
{
    server.limit.senderRank = senderRankOf(table, server);
    countLimited(table);
    if (auto known = findServer(table, server.record.id)) {
        table.changedLimits.push_back(std::move(known));
    }
}

auto statementForScope(ServerLimit &limit, ReportScope scope) -> LimitStatement &
{
    switch (scope) {
    case ReportScope::Entry:
        return limit.fromEntries;
    case ReportScope::FailureDomain:
        return limit.fromDomains;
    case ReportScope::Fleet:
        break;
    }
    return limit.fromFleet;
}

} // namespace

auto setEntryNames(ServerTable &table, const std::vector<std::string> &names) -> void
{
    table.entryNameHashes.clear();
    std::transform(names.begin(), names.end(), std::back_inserter(table.entryNameHashes), hashOf);
    for (const auto &[id, server] : table.byId) {
        if (isLimited(server->limit)) {
            server->limit.senderRank = senderRankOf(table, *server);
        }
        if (toleratedRejections(server->brittleness)) {
            server->brittleness.senderRank = senderRankOf(table, *server);
        }
    }
}

auto recordLimitStatement(ServerTable &table, ServerState &server, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> void
{
    const auto isChanged = updateOwnStatement(server.limit, perSecond, sentAt, now);
    if (limitForReport(server, ReportScope::Entry, now)) {
        markReportable(table, server);
    }
    if (isChanged) {
        handleLimitChange(table, server);
    }
}

auto recordBrittleness(ServerTable &table, ServerState &server, std::optional<double> rejectionsPerSecond, TimePoint sentAt, TimePoint now) -> void
{
    constexpr Duration SpreadInterval = std::chrono::milliseconds(500); // a service may have hundreds of servers
    const auto before = server.brittleness.own;
    updateOwnStatement(server.brittleness, rejectionsPerSecond, sentAt, now);
    const auto isNews = rejectionsPerSecond != before.rejectionsPerSecond || (rejectionsPerSecond && now - before.at >= SpreadInterval);
    const auto group = table.byService.find(server.record.service);
    if (!isNews || group == table.byService.end()) {
        return;
    }
    for (const auto &each : group->second.all) {
        if (each.get() != &server) {
            each->brittleness.ofService = server.brittleness.own;
        }
        each->brittleness.senderRank = senderRankOf(table, *each);
    }
}

auto applyPeerLimit(ServerTable &table, ServerState &server, const LimitStatement &statement, ReportScope scope) -> void
{
    auto &known = statementForScope(server.limit, scope);
    const auto before = newestStatement(server.limit).perSecond;
    if (statement.at > known.at) {
        known = statement;
    }
    if (newestStatement(server.limit).perSecond != before) {
        handleLimitChange(table, server);
    }
}

auto limitForReport(const ServerState &server, ReportScope scope, TimePoint now) -> std::optional<PeerReported::Limit>
{
    auto newest = server.limit.own;
    const auto take = [&newest](const LimitStatement &statement) { newest = statement.at > newest.at ? statement : newest; };
    if (scope != ReportScope::Entry) {
        take(server.limit.fromEntries);
    }
    if (scope == ReportScope::Fleet) {
        take(server.limit.fromDomains);
    }
    const auto isReportable = newest.perSecond ? isLimited(server.limit) : now - newest.at < LimitEndReportedFor && newest.at != TimePoint();
    return isReportable ? std::optional(PeerReported::Limit{ .perSecond = newest.perSecond, .age = now - newest.at }) : std::nullopt;
}

auto shardForKey(const ServerGroup &group, std::uint64_t key) -> std::size_t
{
    return key % group.shards.size();
}

auto fallbackShardForKey(const ServerGroup &group, std::uint64_t key) -> std::size_t
{
    const auto otherShards = group.shards.size() - 1;
    const auto step = otherShards == 0 ? 0 : 1 + key / group.shards.size() % otherShards;
    return (shardForKey(group, key) + step) % group.shards.size();
}

auto findServer(const ServerTable &table, std::string_view id) -> ServerPointer
{
    const auto found = table.byId.find(id);
    return found == table.byId.end() ? nullptr : found->second;
}

auto markReportable(ServerTable &table, const ServerState &server) -> void
{
    if (auto known = findServer(table, server.record.id)) {
        table.reportableServers[server.record.id] = std::move(known);
    }
}

auto recordSend(ServerTable &table, ServerState &server, const RequestLoad &load, Duration expected, TimePoint now) -> void
{
    markReportable(table, server);
    server.busySince = server.ownLoad.inFlight == 0 ? now : server.busySince;
    server.ownLoad.inFlight += 1;
    server.ownLoad.unreadTokens += load.unreadTokens;
    server.ownLoad.heldTokens += load.heldTokens;
    server.ownLoad.shortPrompts += load.isShort ? 1 : 0;
    if (isLimited(server.limit)) {
        addOne(server.limit.ownSends, now);
    }
    server.lastSentAt = now;
    if (!server.responseDueAt) {
        server.responseDueAt = now + std::max(MinSilence, expected * SilenceFactor);
    }
}

auto recordActivity(ServerState &server, TimePoint now) -> void
{
    server.responseDueAt.reset();
    server.consecutiveFailures = 0;
    server.silentUntil = {};
    server.lastHeardAt = now;
}

auto recordPromptRead(ServerState &server, const RequestLoad &load) -> void
{
    server.ownLoad.unreadTokens -= std::min(server.ownLoad.unreadTokens, load.unreadTokens);
}

auto recordFirstByteTime(ServerState &server, Duration observed, Duration expected) -> double
{
    constexpr Duration ShortestExpected = std::chrono::milliseconds(10);
    const auto ratio = static_cast<double>(observed.count()) / static_cast<double>(std::max(expected, ShortestExpected).count());
    const auto bounded = std::clamp(ratio, LeastSlowness, MostSlowness);
    server.slowness += SlownessWeight * (bounded - server.slowness);
    return bounded;
}

auto currentFailureRate(const ServerState &server, TimePoint now) -> double
{
    const auto elapsed = std::chrono::duration<double>(now - server.failureRateAt) / std::chrono::duration<double>(FailureDecayTime);
    return server.failureRate * std::exp(-elapsed);
}

namespace
{

auto recordOutcome(ServerState &server, double failed, TimePoint now) -> void
{
    const auto before = currentFailureRate(server, now);
    server.failureRate = before + OutcomeWeight * (failed - before);
    server.failureRateAt = now;
}

/// Time without new requests after as many failures in a row.
auto suspensionAfter(std::uint32_t failures) -> Duration
{
    constexpr std::uint32_t MostDoublings = 4;
    return std::min(LeastSuspension * (1 << std::min(failures, MostDoublings)), LongestSuspension);
}

} // namespace

auto recordSuccess(ServerState &server, TimePoint now) -> void
{
    recordActivity(server, now);
    recordOutcome(server, 0, now);
}

auto recordFailure(ServerState &server, Failure failure, TimePoint now) -> void
{
    recordOutcome(server, 1, now);
    const auto isDead = failure == Failure::ConnectFailed || failure == Failure::WrongServer || failure == Failure::FirstTokenTimeout
        || failure == Failure::ProgressTimeout || looksLikeCrash(failure);
    if (!isDead) {
        return;
    }
    server.suspendedUntil = std::max(server.suspendedUntil, now + suspensionAfter(server.consecutiveFailures));
    server.consecutiveFailures += 1;
}

auto recordSilence(ServerState &server, TimePoint silentSince, TimePoint now) -> void
{
    // other responses of a server that falls silent may have gone on a little longer
    const auto isHeardLately = now - server.lastHeardAt < (now - silentSince) / 2;
    if (isHeardLately) {
        return; // only this connection is silent
    }
    recordOutcome(server, 1, now);
    server.silentUntil = std::max(server.silentUntil, now + suspensionAfter(server.consecutiveFailures));
    server.consecutiveFailures += 1;
}

auto recordAttemptEnd(ServerState &server, const RequestLoad &load) -> void
{
    server.ownLoad.inFlight -= std::min<std::uint32_t>(server.ownLoad.inFlight, 1);
    server.ownLoad.heldTokens -= std::min(server.ownLoad.heldTokens, load.heldTokens);
    server.ownLoad.shortPrompts -= std::min<std::uint32_t>(server.ownLoad.shortPrompts, load.isShort ? 1 : 0);
    if (server.ownLoad.inFlight == 0) {
        server.responseDueAt.reset();
    }
}

auto totalLoad(const ServerState &server) -> ServerLoad
{
    return {
        .inFlight = server.ownLoad.inFlight + server.peerLoad.inFlight,
        .unreadTokens = server.ownLoad.unreadTokens + server.peerLoad.unreadTokens,
        .heldTokens = server.ownLoad.heldTokens + server.peerLoad.heldTokens,
        .waitingTokens = server.ownLoad.waitingTokens + server.peerLoad.waitingTokens,
        .shortPrompts = server.ownLoad.shortPrompts + server.peerLoad.shortPrompts,
        .sentLately = server.ownLoad.sentLately + server.peerLoad.sentLately,
    };
}

auto isHeardSince(const ServerState &server, TimePoint at) -> bool
{
    return server.lastHeardAt > at || server.ownLoad.inFlight == 0 || server.busySince > at;
}

auto isUnresponsive(const ServerState &server, TimePoint now) -> bool
{
    return server.responseDueAt && now > *server.responseDueAt && now - server.lastSentAt < SilenceProbe;
}

auto takesRequests(const ServerState &server, TimePoint now) -> bool
{
    return !server.record.isLeaving && acceptsRequests(server.stated, now);
}

auto firstBackoffEnd(const ServerTable &table, const std::string &service, TimePoint now) -> std::optional<TimePoint>
{
    const auto group = table.byService.find(service);
    if (group == table.byService.end()) {
        return std::nullopt;
    }
    std::optional<TimePoint> first;
    for (const auto &server : group->second.all) {
        if (server->record.isLeaving || server->stated.isLeaving) {
            continue;
        }
        if (!isInBackoff(server->stated, now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(server->stated.backoffUntil), server->stated.backoffUntil);
    }
    return first;
}

auto isUsable(const ServerState &server, TimePoint now) -> bool
{
    return takesRequests(server, now) && now >= server.suspendedUntil && now >= server.silentUntil && now >= server.ejectedUntil
        && !isUnresponsive(server, now);
}

} // namespace auburnspread::passthrough
