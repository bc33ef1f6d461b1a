#include "core/passthrough/peerreports.h"

#include "core/passthrough/ejection.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// A report is sent several times a second; after this time the peer has stopped or cannot reach us.
constexpr Duration MaxPeerReportAge = std::chrono::milliseconds(1500);

auto addUse(ServerLoad &work, const PeerReported::Use &use) -> void
{
    work.inFlight += use.inFlight;
    work.unreadTokens += use.unreadTokens;
    work.heldTokens += use.heldTokens;
    work.waitingTokens += use.waitingTokens;
    work.shortPrompts += use.shortPrompts;
    work.sentLately += use.sentLately;
}

auto loadFrom(const PeerReported::Use &use) -> ServerLoad
{
    ServerLoad work;
    addUse(work, use);
    return work;
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

/// A sum that holds this much fewer entries than the one before is one of an entry that hears only some of them.
constexpr double MinEntryShare = 0.95;
/// Once the sum before is older than this it is replaced all the same: the entries may be gone.
constexpr Duration MaxSumAge = std::chrono::milliseconds(350);

/// Failure: several entries sum up, one of them hears only a part of the fleet, and its sum comes later. Symptom: engines are taken for
/// nearly idle, and get three times the work that they can do.
auto replaces(const PeerReported &sum, const ServerTable::ReceivedReport &held, TimePoint now) -> bool
{
    return sum.entries >= MinEntryShare * held.report.entries || now - held.receivedAt > MaxSumAge;
}

/// The entries of a failure domain whose sum is known are in that sum.
auto isCounted(const ServerTable &table, const PeerReported &report) -> bool
{
    return report.failureDomain == table.failureDomain || !table.domainReports.contains(report.failureDomain);
}

/// The reports that a sum of this scope counts, each once; without this entry's own.
template <typename Visit>
auto forEachReport(const ServerTable &table, ReportScope scope, Visit visit) -> void
{
    const auto isFleet = scope == ReportScope::Fleet;
    for (const auto &[name, use] : table.entryReports) {
        if (isFleet ? isCounted(table, use.report) : use.report.failureDomain == table.failureDomain) {
            visit(use.report);
        }
    }
    if (isFleet) {
        for (const auto &[domain, use] : table.domainReports) {
            visit(use.report);
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

auto addUses(ServerTable &table, const PeerReported &report) -> void
{
    for (const auto &use : report.uses) {
        const auto server = findServer(table, use.server);
        if (!server) {
            continue;
        }
        if (!std::exchange(server->hasPeerLoad, true)) {
            table.serversWithPeerLoad.push_back(server);
        }
        addUse(server->peerLoad, use);
    }
}

auto subtractUses(const ServerTable &table, const PeerReported &report) -> void
{
    for (const auto &use : report.uses) {
        if (const auto server = findServer(table, use.server)) {
            server->peerLoad = without(server->peerLoad, loadFrom(use));
        }
    }
}

/// Parts smaller than this are read again in less time than a report of them is worth.
constexpr std::uint32_t MinReportedTokens = 512;

/// Datagrams get lost now and then, so each use of a cache is told in two reports, and in two sums or by two hubs.
constexpr Duration ReportedSendWindow = 2 * ReportInterval;

/// Failure: what one failure domain told goes back to it as another one's. Symptom: parts are told for ever, and datagrams grow with
/// all that was ever sent. So a sum tells the parts of those whose requests it counts.
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

/// \p work: of the entries that a report of this scope counts
auto makeUse(const ServerState &server, const ServerLoad &work, ReportScope scope, TimePoint now) -> PeerReported::Use
{
    return {
        .server = server.record.id,
        .inFlight = work.inFlight,
        .unreadTokens = work.unreadTokens,
        .heldTokens = work.heldTokens,
        .waitingTokens = work.waitingTokens,
        .shortPrompts = work.shortPrompts,
        .ejectedFor = scope == ReportScope::Entry ? remainingOwnEjection(server, now) : remainingEjection(server, now),
        .limit = limitForReport(server, scope, now),
        .sentLately = work.sentLately,
        .sent = partsForReport(server, scope, now),
    };
}

auto isReportable(const PeerReported::Use &use) -> bool
{
    return use.inFlight > 0 || use.waitingTokens > 0 || use.ejectedFor > Duration::zero() || use.limit || use.sentLately > 0 || !use.sent.empty();
}

/// Servers that a sum names: as many as go into one datagram. One with a limit takes half as much again.
constexpr std::size_t MaxSummedServers = 200;

/// Failure: a sum of thousands of servers is longer than a datagram and gets lost as a whole. Symptom: entries know only what they send
/// themselves. The servers with least work are left out; they are believed idle, which is nearly true.
auto keepBusiest(std::vector<PeerReported::Use> &uses) -> void
{
    const auto limited = static_cast<std::size_t>(std::count_if(uses.begin(), uses.end(), [](const PeerReported::Use &use) { return use.limit.has_value(); }));
    const auto named = std::max(MaxSummedServers - std::min(limited / 2, MaxSummedServers), MaxSummedServers * 2 / 3);
    if (uses.size() <= named) {
        return;
    }
    const auto rankOf = [](const PeerReported::Use &use) { return std::tuple(use.limit.has_value(), use.ejectedFor, use.heldTokens + use.unreadTokens); };
    const auto isBusier = [rankOf](const PeerReported::Use &a, const PeerReported::Use &b) { return rankOf(a) > rankOf(b); };
    std::nth_element(uses.begin(), uses.begin() + static_cast<std::ptrdiff_t>(named), uses.end(), isBusier);
    uses.resize(named);
}

auto capacityOf(const ServerTable &table, const ServerState &server) -> std::uint64_t
{
    const auto found = table.cacheTokens.find(server.record.service);
    return found == table.cacheTokens.end() ? 0 : found->second;
}

/// A shared part was sent there, or is there: believed from now on, and told to the other entries.
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
        addUses(table, table.fleetReport->report);
        for (const auto &server : table.serversWithPeerLoad) {
            server->peerLoad = without(server->peerLoad, server->reportedLoad); // not what it has now: that was not told yet
        }
        return;
    }
    forEachReport(table, ReportScope::Fleet, [&table](const PeerReported &report) { addUses(table, report); });
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

/// Own work with that of the entries that told this one; by server, those that anybody uses.
auto sumLoads(const ServerTable &table, ReportScope scope, TimePoint now) -> std::map<std::string_view, ServerLoad>
{
    std::map<std::string_view, ServerLoad> sum;
    for (const auto &[id, server] : table.byId) {
        const auto isUsed = server->ownLoad.inFlight > 0 || server->ownLoad.waitingTokens > 0;
        const auto isTold = !server->ownSentParts.sent.empty() || !server->peerSentParts.sent.empty() || !server->domainSentParts.sent.empty();
        if (isUsed || isTold || remainingEjection(*server, now) > Duration::zero() || limitForReport(*server, scope, now)) {
            auto &work = sum[id] = server->ownLoad;
            work.sentLately = sendsWithinWindow(server->limit, now);
        }
    }
    forEachReport(table, scope, [&sum](const PeerReported &report) {
        for (const auto &use : report.uses) {
            addUse(sum[use.server], use);
        }
    });
    std::erase_if(sum, [&table](const auto &item) { return !table.byId.contains(item.first); });
    return sum;
}

} // namespace

auto makeSumReport(const ServerTable &table, const std::string &entry, ReportScope scope, TimePoint now) -> PeerReported
{
    PeerReported report{ .entry = entry, .failureDomain = table.failureDomain, .scope = scope };
    for (const auto &[service, perSecond] : table.ownArrivalRates) {
        report.arrivals.push_back({ .service = service, .perSecond = perSecond + sumArrivals(table, service, scope) });
    }
    report.entries += countReportedEntries(table, scope);
    for (const auto &[id, work] : sumLoads(table, scope, now)) {
        const auto server = findServer(table, id);
        auto use = makeUse(*server, work, scope, now);
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

/// Only what changed is counted: an entry that sums up hears a thousand reports a second.
auto applyEntryReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    auto &held = table.entryReports[report.entry];
    const auto isInOthers = [&table](const PeerReported &each) { return !table.usesFleetReport && isCounted(table, each); };
    if (isInOthers(held.report)) {
        subtractUses(table, held.report);
    }
    held = { .report = report, .receivedAt = now };
    if (isInOthers(held.report)) {
        addUses(table, held.report);
    }
    if (table.usesFleetReport != prefersFleetReport(table)) {
        rebuildPeerLoads(table);
    }
}

auto applyDomainSum(ServerTable &table, const PeerReported &report, TimePoint now) -> void
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

auto applyPeerReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    applyServerUpdates(table, report, now);
    if (report.isRest) {
        return;
    }
    table.reportCount += 1;
    switch (report.scope) {
    case ReportScope::Entry:
        applyEntryReport(table, report, now);
        break;
    case ReportScope::FailureDomain:
        applyDomainSum(table, report, now);
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
    const auto isOld = [now](const ServerTable::ReceivedReport &use) { return now - use.receivedAt > MaxPeerReportAge; };
    auto expired = std::erase_if(table.entryReports, [&](const auto &item) { return isOld(item.second); });
    expired += std::erase_if(table.domainReports, [&](const auto &item) { return isOld(item.second); });
    const auto totalIsOld = table.fleetReport && isOld(*table.fleetReport);
    if (totalIsOld) {
        table.fleetReport.reset();
    }
    if (expired > 0 || totalIsOld) {
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
