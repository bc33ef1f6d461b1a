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

/// First pause of a server that refused or broke a connection, and the longest after repeated failures. A crashed
/// backend server is back after some seconds, with a new id.
constexpr Duration LeastSuspension = std::chrono::milliseconds(300);
constexpr Duration LongestSuspension = std::chrono::seconds(3);

/// A server counts as silent after this time, or after so many times the expected start if that is longer. An entry of a large
/// fleet has one request or none on a server, so in a burst the first byte of the only one may well take seconds; taking
/// the server for dead then would send its sessions to others, and these would be overloaded next.
constexpr Duration MinSilence = std::chrono::milliseconds(1200);
constexpr int SilenceFactor = 3;
/// After this time without a send, one request finds out whether a silent server has come back. Dark servers stay so for
/// some seconds; each that is tried costs one request.
constexpr Duration SilenceProbe = std::chrono::milliseconds(2500);

/// Weight of the newest outcome in the moving averages: about the last ten count.
constexpr double OutcomeWeight = 0.1;
/// Time in which a failure rate fades to a third. A server that is chosen no more shows no successes, so without this one
/// failure in a quiet hour would keep it idle for ever; backend servers that turn bad do so for some seconds.
constexpr Duration FailureDecayTime = std::chrono::seconds(3);
constexpr double SlownessWeight = 0.15;
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 20;

auto hashOf(std::string_view id) -> std::uint64_t
{
    return XXH64(id.data(), id.size(), 0);
}

/// Servers of a part, at most.
constexpr std::size_t MaxServersPerShard = 256;

/// A power of two, so that the parts seldom change as servers come and go.
auto countShards(std::size_t servers) -> std::size_t
{
    std::size_t parts = 1;
    while (servers > parts * MaxServersPerShard) {
        parts *= 2;
    }
    return parts;
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
    const auto isOne = [](const auto &item) { return isLimited(item.second->limit); };
    table.limitedServers = static_cast<std::uint32_t>(std::count_if(table.byId.begin(), table.byId.end(), isOne));
}

auto indexByService(ServerTable &table) -> void
{
    countLimited(table);
    table.byService.clear();
    table.hasLapsedServers = false;
    for (const auto &[id, server] : table.byId) {
        table.byService[server->record.service].all.push_back(server);
        table.hasLapsedServers = table.hasLapsedServers || server->returnDeadline;
    }
    for (auto &[service, group] : table.byService) {
        assignShards(group);
    }
}

/// Failure: a server crashes and starts again under its id. Symptom: sessions go to a cache that is empty, requests wait for
/// work that died with it, and it is passed over for failures of its earlier run. So a later start is another server: attempts of
/// the earlier run keep its state to their end.
/// \return whether the servers of a service are others now
auto applyRecord(ServerTable &table, const Server &record) -> bool
{
    auto &server = table.byId[record.id];
    const auto isOther = !server || server->record.startedAt != record.startedAt || server->record.service != record.service;
    if (isOther) {
        server = std::make_shared<ServerState>();
        server->hash = hashOf(record.id);
    }
    server->record = record;
    server->returnDeadline.reset();
    return isOther;
}

/// Until when a server that is absent may be back. Its registration may have lapsed while the registry was out of reach: dropping such
/// servers at once would empty the list although every one lives. One that stood in a list since then has left: it must get nothing more.
auto returnDeadlineFor(const ServerTable &table, std::optional<TimePoint> outageEndedAt) -> std::optional<TimePoint>
{
    const auto lapsed = outageEndedAt && table.listAsOf < *outageEndedAt;
    return lapsed ? std::optional(*outageEndedAt + ReturnTime) : std::nullopt;
}

/// \return whether it stays for now
auto keepUntilReturn(ServerState &server, std::optional<TimePoint> returnDeadline, TimePoint now) -> bool
{
    if (!server.returnDeadline) {
        server.returnDeadline = returnDeadline;
    }
    return server.returnDeadline && now < *server.returnDeadline;
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
    std::erase_if(table.byId, [&](const auto &item) { return !present.contains(item.first) && !keepUntilReturn(*item.second, returnDeadline, now); });
    table.listAsOf = std::max(table.listAsOf, list.asOf);
    indexByService(table);
}

auto applyServerChanges(ServerTable &table, const ServersChanged &change, TimePoint now) -> void
{
    const auto returnDeadline = returnDeadlineFor(table, change.outageEndedAt);
    auto isOther = false;
    for (const auto &record : change.changed) {
        isOther = applyRecord(table, record) || isOther;
    }
    for (const auto &id : change.removed) {
        const auto found = table.byId.find(id);
        if (found != table.byId.end() && !keepUntilReturn(*found->second, returnDeadline, now)) {
            table.byId.erase(found);
        }
        isOther = true;
    }
    table.listAsOf = std::max(table.listAsOf, change.asOf);
    if (isOther) {
        indexByService(table);
    }
}

auto removeLapsedServers(ServerTable &table, TimePoint now) -> void
{
    if (!table.hasLapsedServers) {
        return;
    }
    const auto dropped = std::erase_if(table.byId, [now](const auto &item) {
        const auto &returnDeadline = item.second->returnDeadline;
        return returnDeadline && now >= *returnDeadline;
    });
    if (dropped > 0) {
        indexByService(table);
    }
}

namespace
{

/// A statement that there is no limit any more is told for this long; entries that miss it learn it from their next answer.
constexpr Duration LimitEndReportedFor = std::chrono::seconds(3);

auto senderRankOf(const ServerTable &table, const ServerState &server) -> std::uint32_t
{
    const auto drawOf = [&server](std::uint64_t entry) { return XXH64(&entry, sizeof entry, server.hash); };
    const auto own = drawOf(table.ownNameHash);
    const auto isBefore = [&](std::uint64_t entry) { return drawOf(entry) > own; };
    return static_cast<std::uint32_t>(std::count_if(table.entryNameHashes.begin(), table.entryNameHashes.end(), isBefore));
}

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
    const auto others = group.shards.size() - 1;
    const auto step = others == 0 ? 0 : 1 + key / group.shards.size() % others;
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

auto recordActivity(ServerState &server) -> void
{
    server.responseDueAt.reset();
    server.consecutiveFailures = 0;
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

} // namespace

auto recordSuccess(ServerState &server, TimePoint now) -> void
{
    recordActivity(server);
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
    constexpr std::uint32_t MostDoublings = 4;
    const auto doublings = std::min(server.consecutiveFailures, MostDoublings);
    const auto pause = std::min(LeastSuspension * (1 << doublings), LongestSuspension);
    server.consecutiveFailures += 1;
    server.suspendedUntil = std::max(server.suspendedUntil, now + pause);
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

auto isUnresponsive(const ServerState &server, TimePoint now) -> bool
{
    return server.responseDueAt && now > *server.responseDueAt && now - server.lastSentAt < SilenceProbe;
}

auto isUsable(const ServerState &server, TimePoint now) -> bool
{
    return !server.record.isLeaving && now >= server.suspendedUntil && now >= server.ejectedUntil && !isUnresponsive(server, now);
}

} // namespace auburnspread::passthrough
