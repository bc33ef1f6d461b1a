#include "core/passthrough/peerreports.h"

#include "core/passthrough/ejection.h"
#include "core/passthrough/reportvalidation.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// Reports are sent several times a second; after this time without one, the peer has stopped or cannot reach this entry.
constexpr Duration MaxPeerReportAge = std::chrono::milliseconds(1500);

auto addLoad(ServerLoad &load, const PeerReported::ServerUsage &use) -> void
{
    load.inFlight += use.inFlight;
    load.unreadTokens += use.unreadTokens;
    load.heldTokens += use.heldTokens;
    load.waitingTokens += use.waitingTokens;
    load.shortPrompts += use.shortPrompts;
    load.sentLately += use.sentLately;
}

auto loadFrom(const PeerReported::ServerUsage &use) -> ServerLoad
{
    ServerLoad load;
    addLoad(load, use);
    return load;
}

auto subtract(std::uint32_t all, std::uint32_t part) -> std::uint32_t
{
    return all - std::min(all, part);
}

auto without(const ServerLoad &all, const ServerLoad &part) -> ServerLoad
{
    return {
        .inFlight = subtract(all.inFlight, part.inFlight),
        .unreadTokens = subtract(all.unreadTokens, part.unreadTokens),
        .heldTokens = subtract(all.heldTokens, part.heldTokens),
        .waitingTokens = subtract(all.waitingTokens, part.waitingTokens),
        .shortPrompts = subtract(all.shortPrompts, part.shortPrompts),
        .sentLately = subtract(all.sentLately, part.sentLately),
    };
}

/// An aggregate that covers less than this share of the entries of the previous one comes from an entry that receives only some of the
/// reports.
constexpr double MinEntryShare = 0.95;
/// A previous aggregate older than this is replaced in any case, since the missing entries may have stopped.
constexpr Duration MaxAggregateAge = std::chrono::milliseconds(350);

/// Whether a new aggregate replaces the previous one.
///
/// Failure: several entries send aggregates, and one that receives reports of only a part of the fleet sends last. Symptom: engines look
/// nearly idle and get three times the load that they can handle.
auto replaces(const PeerReported &sum, const ServerTable::ReceivedReport &previous, TimePoint now) -> bool
{
    return sum.entries >= MinEntryShare * previous.report.entries || now - previous.receivedAt > MaxAggregateAge;
}

/// Whether the load of this report is not already covered by the aggregate of the reporting entry's failure domain.
auto isCounted(const ServerTable &table, const PeerReported &report) -> bool
{
    return report.failureDomain == table.failureDomain || !table.domainReports.contains(report.failureDomain);
}

/// Visits the received reports that an aggregate of this scope covers, so that each entry's load is counted once. This entry's own load
/// is not among them.
template <typename Visit>
auto forEachReport(const ServerTable &table, ReportScope scope, Visit visit) -> void
{
    const auto isFleet = scope == ReportScope::Fleet;
    for (const auto &[name, received] : table.entryReports) {
        if (isFleet ? isCounted(table, received.report) : received.report.failureDomain == table.failureDomain) {
            visit(received.report);
        }
    }
    if (isFleet) {
        for (const auto &[domain, received] : table.domainReports) {
            visit(received.report);
        }
    }
}

auto countReportedEntries(const ServerTable &table, ReportScope scope) -> std::uint32_t
{
    std::uint32_t entries = 0;
    forEachReport(table, scope, [&entries](const PeerReported &report) { entries += report.scope == ReportScope::Entry ? 1 : report.entries; });
    return entries;
}

auto prefersFleetReport(const ServerTable &table) -> bool
{
    return table.fleetReport && table.fleetReport->report.entries > reportingEntries(table) + 1;
}

auto addReportedLoads(ServerTable &table, const PeerReported &report) -> void
{
    for (const auto &use : report.uses) {
        const auto server = findServer(table, use.server);
        if (!server) {
            continue;
        }
        if (!std::exchange(server->hasPeerLoad, true)) {
            table.serversWithPeerLoad.push_back(server);
        }
        addLoad(server->peerLoad, use);
    }
}

auto subtractReportedLoads(const ServerTable &table, const PeerReported &report) -> void
{
    for (const auto &use : report.uses) {
        if (const auto server = findServer(table, use.server)) {
            server->peerLoad = without(server->peerLoad, loadFrom(use));
        }
    }
}

/// Smaller parts are not reported: an engine processes them again at less cost than reporting them.
constexpr std::uint32_t MinReportedTokens = 512;

/// Datagrams are lost occasionally, so each sent part is included in two reports, and in two aggregates or those of two hubs.
constexpr Duration ReportedSendWindow = 2 * ReportInterval;

/// The recently sent prompt parts to include in a report of this scope: only those sent by the entries whose load the report covers.
///
/// Failure: a failure domain's parts are reported back to it as those of another domain. Symptom: parts are reported forever, and
/// datagrams grow with every part that was ever sent.
auto partsForReport(const ServerState &server, ReportScope scope, TimePoint now) -> std::vector<PromptPart>
{
    std::vector<PromptPart> parts;
    appendSentWithin(server.ownSentParts, ReportedSendWindow, now, parts);
    if (scope != ReportScope::Entry) {
        appendSentWithin(server.peerSentParts, ReportedSendWindow, now, parts);
    }
    if (scope == ReportScope::Fleet) {
        appendSentWithin(server.domainSentParts, ReportedSendWindow, now, parts);
    }
    return parts;
}

/// \p load: total load of the entries that a report of this scope covers
auto makeUse(const ServerState &server, const ServerLoad &load, ReportScope scope, TimePoint now) -> PeerReported::ServerUsage
{
    return {
        .server = server.record.id,
        .inFlight = load.inFlight,
        .unreadTokens = load.unreadTokens,
        .heldTokens = load.heldTokens,
        .waitingTokens = load.waitingTokens,
        .shortPrompts = load.shortPrompts,
        .ejectedFor = scope == ReportScope::Entry ? remainingOwnEjection(server, now) : remainingEjection(server, now),
        .limit = limitForReport(server, scope, now),
        .sentLately = load.sentLately,
        .sent = partsForReport(server, scope, now),
    };
}

auto isReportable(const PeerReported::ServerUsage &use) -> bool
{
    return use.inFlight > 0 || use.waitingTokens > 0 || use.ejectedFor > Duration::zero() || use.limit || use.sentLately > 0 || !use.sent.empty();
}

/// Number of servers in an aggregate, chosen so that it fits into one datagram. A server with a rate limit takes half as much space again.
constexpr std::size_t MaxAggregatedServers = 200;

/// Drops the servers with the least load until the aggregate fits into a datagram; receivers take these for idle, which is nearly true.
///
/// Failure: an aggregate of thousands of servers exceeds the size of a datagram and is lost as a whole. Symptom: entries know only their
/// own load.
auto keepBusiest(std::vector<PeerReported::ServerUsage> &uses) -> void
{
    const auto limited
        = static_cast<std::size_t>(std::count_if(uses.begin(), uses.end(), [](const PeerReported::ServerUsage &use) { return use.limit.has_value(); }));
    const auto kept = std::max(MaxAggregatedServers - std::min(limited / 2, MaxAggregatedServers), MaxAggregatedServers * 2 / 3);
    if (uses.size() <= kept) {
        return;
    }
    const auto priorityOf
        = [](const PeerReported::ServerUsage &use) { return std::tuple(use.limit.has_value(), use.ejectedFor, use.heldTokens + use.unreadTokens); };
    const auto isBusier = [priorityOf](const PeerReported::ServerUsage &a, const PeerReported::ServerUsage &b) { return priorityOf(a) > priorityOf(b); };
    std::nth_element(uses.begin(), uses.begin() + static_cast<std::ptrdiff_t>(kept), uses.end(), isBusier);
    uses.resize(kept);
}

auto capacityOf(const ServerTable &table, const ServerState &server) -> std::uint64_t
{
    const auto found = table.cacheTokens.find(server.record.service);
    return found == table.cacheTokens.end() ? 0 : found->second;
}

/// Records that the server's engine has a shared prompt part cached, or will have, and includes it in the next reports to other entries.
auto recordOwnUse(ServerTable &table, ServerState &server, const PromptPart &part, TimePoint now) -> void
{
    recordUse(server.cache, part, capacityOf(table, server), now);
    if (part.tokens >= MinReportedTokens) {
        markReportable(table, server);
        recordSentPart(server.ownSentParts, part, now);
    }
}

} // namespace

auto reportingEntries(const ServerTable &table) -> std::uint32_t
{
    return countReportedEntries(table, ReportScope::Fleet);
}

auto rebuildPeerLoads(ServerTable &table) -> void
{
    table.usesFleetReport = prefersFleetReport(table);
    for (const auto &server : std::exchange(table.serversWithPeerLoad, {})) {
        server->peerLoad = {};
        server->hasPeerLoad = false;
    }
    if (table.usesFleetReport) {
        addReportedLoads(table, table.fleetReport->report);
        for (const auto &server : table.serversWithPeerLoad) {
            // The aggregate contains this entry's load as last reported, which may differ from ownLoad by now.
            server->peerLoad = without(server->peerLoad, server->reportedLoad);
        }
        return;
    }
    forEachReport(table, ReportScope::Fleet, [&table](const PeerReported &report) { addReportedLoads(table, report); });
}

namespace
{

auto arrivalsIn(const PeerReported &report, const std::string &service) -> double
{
    const auto found
        = std::find_if(report.arrivals.begin(), report.arrivals.end(), [&service](const PeerReported::Arrivals &each) { return each.service == service; });
    return found == report.arrivals.end() ? 0 : found->perSecond;
}

auto sumArrivals(const ServerTable &table, const std::string &service, ReportScope scope) -> double
{
    double sum = 0;
    forEachReport(table, scope, [&](const PeerReported &report) { sum += arrivalsIn(report, service); });
    return sum;
}

} // namespace

auto peerArrivalRate(const ServerTable &table, const std::string &service) -> double
{
    if (!table.usesFleetReport) {
        return sumArrivals(table, service, ReportScope::Fleet);
    }
    const auto own = table.ownArrivalRates.find(service);
    return std::max(0.0, arrivalsIn(table.fleetReport->report, service) - (own == table.ownArrivalRates.end() ? 0 : own->second));
}

auto makeEntryReport(ServerTable &table, const std::string &entry, TimePoint now) -> PeerReported
{
    PeerReported report{ .entry = entry, .failureDomain = table.failureDomain };
    for (const auto &[service, perSecond] : table.ownArrivalRates) {
        report.arrivals.push_back({ .service = service, .perSecond = perSecond });
    }
    for (auto each = table.reportableServers.begin(); each != table.reportableServers.end();) {
        auto &server = *each->second;
        server.ownLoad.sentLately = sendsWithinWindow(server.limit, now);
        server.reportedLoad = server.ownLoad;
        auto use = makeUse(server, server.ownLoad, ReportScope::Entry, now);
        const auto isListed = findServer(table, each->first) == each->second;
        if (!isListed || !isReportable(use)) {
            each = table.reportableServers.erase(each);
            continue;
        }
        report.uses.push_back(std::move(use));
        ++each;
    }
    return report;
}

namespace
{

/// Load of this entry and of the entries covered by the received reports, for each server with any load or news, by id.
auto sumLoads(const ServerTable &table, ReportScope scope, TimePoint now) -> std::map<std::string_view, ServerLoad>
{
    std::map<std::string_view, ServerLoad> sum;
    for (const auto &[id, server] : table.byId) {
        const auto hasOwnLoad = server->ownLoad.inFlight > 0 || server->ownLoad.waitingTokens > 0;
        const auto hasSentParts = !server->ownSentParts.sent.empty() || !server->peerSentParts.sent.empty() || !server->domainSentParts.sent.empty();
        if (hasOwnLoad || hasSentParts || remainingEjection(*server, now) > Duration::zero() || limitForReport(*server, scope, now)) {
            auto &load = sum[id] = server->ownLoad;
            load.sentLately = sendsWithinWindow(server->limit, now);
        }
    }
    forEachReport(table, scope, [&sum](const PeerReported &report) {
        for (const auto &use : report.uses) {
            addLoad(sum[use.server], use);
        }
    });
    std::erase_if(sum, [&table](const auto &item) { return !table.byId.contains(item.first); });
    return sum;
}

} // namespace

auto makeAggregateReport(const ServerTable &table, const std::string &entry, ReportScope scope, TimePoint now) -> PeerReported
{
    PeerReported report{ .entry = entry, .failureDomain = table.failureDomain, .scope = scope };
    for (const auto &[service, perSecond] : table.ownArrivalRates) {
        report.arrivals.push_back({ .service = service, .perSecond = perSecond + sumArrivals(table, service, scope) });
    }
    report.entries += countReportedEntries(table, scope);
    for (const auto &[id, load] : sumLoads(table, scope, now)) {
        const auto server = findServer(table, id);
        auto use = makeUse(*server, load, scope, now);
        if (isReportable(use)) {
            report.uses.push_back(std::move(use));
        }
    }
    keepBusiest(report.uses);
    return report;
}

namespace
{

auto applyServerUpdates(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    for (const auto &use : report.uses) {
        const auto server = findServer(table, use.server);
        if (!server) {
            continue;
        }
        if (use.ejectedFor > Duration::zero()) {
            applyPeerEjection(table, *server, now + use.ejectedFor, now);
        }
        if (use.limit) {
            applyPeerLimit(table, *server, { .perSecond = use.limit->perSecond, .at = now - use.limit->age }, report.scope);
        }
        for (const auto &part : use.sent) {
            recordUse(server->cache, part, capacityOf(table, *server), now);
            if (report.scope != ReportScope::Fleet) {
                recordSentPart(report.scope == ReportScope::Entry ? server->peerSentParts : server->domainSentParts, part, now);
            }
        }
    }
}

} // namespace

auto applyCacheListing(ServerTable &table, const CacheListed &listed, TimePoint now) -> void
{
    const auto server = findServer(table, listed.server);
    if (!server) {
        return;
    }
    for (const auto &part : listed.parts) {
        recordOwnUse(table, *server, part, now);
    }
}

namespace
{

/// Updates the peer load incrementally: an entry that computes aggregates receives a thousand reports a second.
auto applyEntryReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    auto &previous = table.entryReports[report.entry];
    const auto isInPeerLoad = [&table](const PeerReported &each) { return !table.usesFleetReport && isCounted(table, each); };
    if (isInPeerLoad(previous.report)) {
        subtractReportedLoads(table, previous.report);
    }
    previous = { .report = report, .receivedAt = now };
    if (isInPeerLoad(previous.report)) {
        addReportedLoads(table, previous.report);
    }
    if (table.usesFleetReport != prefersFleetReport(table)) {
        rebuildPeerLoads(table);
    }
}

auto applyDomainAggregate(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    if (report.failureDomain == table.failureDomain) {
        return;
    }
    const auto found = table.domainReports.find(report.failureDomain);
    if (found == table.domainReports.end() || replaces(report, found->second, now)) {
        table.domainReports[report.failureDomain] = { .report = report, .receivedAt = now };
        rebuildPeerLoads(table);
    }
}

} // namespace

namespace
{

auto applySpeeds(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    if (report.speeds.empty()) {
        return;
    }
    ServerTable::ReceivedSpeeds received{ .failureDomain = report.failureDomain, .receivedAt = now };
    for (const auto &speed : report.speeds) {
        received.byServer[speed.server] = { .count = speed.samples, .logSum = speed.logSum, .at = now };
    }
    switch (report.scope) {
    case ReportScope::Entry:
        table.entrySpeeds[report.entry] = std::move(received);
        break;
    case ReportScope::FailureDomain:
        table.domainSpeeds[report.failureDomain] = std::move(received);
        break;
    case ReportScope::Fleet:
        table.fleetSpeeds = std::move(received);
        break;
    }
}

using SpeedSums = std::map<std::string_view, SpeedSamples>;

auto addSpeeds(SpeedSums &sums, const ServerTable::ReceivedSpeeds &received, TimePoint now) -> void
{
    for (const auto &[server, samples] : received.byServer) {
        const auto current = decayed(samples, now);
        auto &sum = sums[server];
        sum.count += current.count;
        sum.logSum += current.logSum;
    }
}

/// Sums of the samples of this entry and of the entries that an aggregate of this scope covers.
auto sumSpeeds(const ServerTable &table, ReportScope scope, TimePoint now) -> SpeedSums
{
    SpeedSums sums;
    for (const auto &[id, server] : table.byId) {
        if (server->ownSpeed.count > 0) {
            sums[id] = decayed(server->ownSpeed, now);
        }
    }
    if (scope == ReportScope::Entry) {
        return sums;
    }
    for (const auto &[entry, received] : table.entrySpeeds) {
        const auto isOfDomain = received.failureDomain == table.failureDomain;
        const auto isCovered = scope == ReportScope::Fleet && !isOfDomain && !table.domainSpeeds.contains(received.failureDomain);
        if (isOfDomain || isCovered) {
            addSpeeds(sums, received, now);
        }
    }
    if (scope == ReportScope::Fleet) {
        for (const auto &[domain, received] : table.domainSpeeds) {
            addSpeeds(sums, received, now);
        }
    }
    return sums;
}

} // namespace

namespace
{

/// Drops the engines with the fewest samples until the report fits into a datagram.
auto keepBestKnown(std::vector<PeerReported::Speed> &speeds) -> void
{
    constexpr std::size_t MaxReportedSpeeds = 250;
    if (speeds.size() <= MaxReportedSpeeds) {
        return;
    }
    const auto hasMore = [](const PeerReported::Speed &a, const PeerReported::Speed &b) { return a.samples > b.samples; };
    std::nth_element(speeds.begin(), speeds.begin() + MaxReportedSpeeds, speeds.end(), hasMore);
    speeds.resize(MaxReportedSpeeds);
}

} // namespace

auto makeSpeedReport(const ServerTable &table, const std::string &entry, ReportScope scope, TimePoint now) -> PeerReported
{
    constexpr double MinSamples = 0.1;
    PeerReported report{ .entry = entry, .failureDomain = table.failureDomain, .scope = scope, .isContinuation = true };
    for (const auto &[server, samples] : sumSpeeds(table, scope, now)) {
        if (samples.count >= MinSamples) {
            report.speeds.push_back({ .server = std::string(server), .samples = samples.count, .logSum = samples.logSum });
        }
    }
    keepBestKnown(report.speeds);
    return report;
}

auto updateRelativeDelays(ServerTable &table, TimePoint now) -> void
{
    constexpr Duration UpdateInterval = std::chrono::milliseconds(100);
    if (now - table.delaysUpdatedAt < UpdateInterval) {
        return;
    }
    table.delaysUpdatedAt = now;
    const auto isOld = [now](const auto &item) { return now - item.second.receivedAt > MaxPeerReportAge; };
    std::erase_if(table.entrySpeeds, isOld);
    std::erase_if(table.domainSpeeds, isOld);
    if (table.fleetSpeeds && now - table.fleetSpeeds->receivedAt > MaxPeerReportAge) {
        table.fleetSpeeds.reset();
    }
    SpeedSums sums;
    if (table.fleetSpeeds) {
        addSpeeds(sums, *table.fleetSpeeds, now);
    } else {
        sums = sumSpeeds(table, ReportScope::Fleet, now);
    }
    for (const auto &[id, server] : table.byId) {
        const auto found = sums.find(id);
        server->relativeDelay = found == sums.end() ? 1 : relativeDelay(found->second.count, found->second.logSum);
    }
}

auto applyPeerReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    if (findInvalidFigure(report)) {
        return;
    }
    applyServerUpdates(table, report, now);
    applySpeeds(table, report, now);
    if (report.isContinuation) {
        return;
    }
    table.reportCount += 1;
    switch (report.scope) {
    case ReportScope::Entry:
        applyEntryReport(table, report, now);
        break;
    case ReportScope::FailureDomain:
        applyDomainAggregate(table, report, now);
        break;
    case ReportScope::Fleet:
        if (!table.fleetReport || replaces(report, *table.fleetReport, now)) {
            table.fleetReport = ServerTable::ReceivedReport{ .report = report, .receivedAt = now };
            rebuildPeerLoads(table);
        }
        break;
    }
}

auto expirePeerReports(ServerTable &table, TimePoint now) -> void
{
    const auto isOld = [now](const ServerTable::ReceivedReport &received) { return now - received.receivedAt > MaxPeerReportAge; };
    auto expired = std::erase_if(table.entryReports, [&](const auto &item) { return isOld(item.second); });
    expired += std::erase_if(table.domainReports, [&](const auto &item) { return isOld(item.second); });
    const auto fleetReportIsOld = table.fleetReport && isOld(*table.fleetReport);
    if (fleetReportIsOld) {
        table.fleetReport.reset();
    }
    if (expired > 0 || fleetReportIsOld) {
        rebuildPeerLoads(table);
    }
}

auto recordPromptSent(ServerTable &table, ServerState &server, const Prompt &prompt, TimePoint now) -> void
{
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        recordOwnUse(table, server, prompt.parts[i], now);
    }
}

} // namespace auburnspread::passthrough
