#include "core/passthrough/peerreports.h"

#include <algorithm>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// A report is sent several times a second; after this time the peer has stopped or cannot reach us.
constexpr Duration PeerReportAge = std::chrono::milliseconds(1500);

auto addUse(Work &work, const PeerReported::Use &use) -> void
{
    work.inFlight += use.inFlight;
    work.unreadTokens += use.unreadTokens;
    work.heldTokens += use.heldTokens;
    work.waitingTokens += use.waitingTokens;
    work.shortPrompts += use.shortPrompts;
}

auto subtract(std::uint32_t all, std::uint32_t own) -> std::uint32_t
{
    return all - std::min(all, own);
}

/// A total holds what this entry last reported, not what it has now.
auto withoutOwn(const Work &total, const Work &reported) -> Work
{
    return {
        .inFlight = subtract(total.inFlight, reported.inFlight),
        .unreadTokens = subtract(total.unreadTokens, reported.unreadTokens),
        .heldTokens = subtract(total.heldTokens, reported.heldTokens),
        .waitingTokens = subtract(total.waitingTokens, reported.waitingTokens),
        .shortPrompts = subtract(total.shortPrompts, reported.shortPrompts),
    };
}

auto sumPeerReports(ServerTable &table) -> void
{
    for (auto &[id, server] : table.byId) {
        server->others = {};
    }
    const auto add = [&table](const PeerReported &report) {
        for (const auto &use : report.uses) {
            if (const auto server = findServer(table, use.server)) {
                addUse(server->others, use);
            }
        }
    };
    if (!table.totals) {
        for (const auto &[entry, use] : table.peers) {
            add(use.report);
        }
        return;
    }
    add(table.totals->report);
    for (auto &[id, server] : table.byId) {
        server->others = withoutOwn(server->others, server->reported);
    }
}

auto makeUse(const std::string &server, const Work &work, std::vector<PromptPart> sent) -> PeerReported::Use
{
    return {
        .server = server,
        .inFlight = work.inFlight,
        .unreadTokens = work.unreadTokens,
        .heldTokens = work.heldTokens,
        .waitingTokens = work.waitingTokens,
        .shortPrompts = work.shortPrompts,
        .sent = std::move(sent),
    };
}

auto isNews(const PeerReported::Use &use) -> bool
{
    return use.inFlight > 0 || use.waitingTokens > 0 || !use.sent.empty();
}

/// Parts smaller than this are read again in less time than a report of them is worth.
constexpr std::uint32_t LeastToldTokens = 512;

auto partsToTell(const ServerState &server, Duration window, bool alsoOfPeers, TimePoint now) -> std::vector<PromptPart>
{
    std::vector<PromptPart> parts;
    addSentWithin(server.sentHere, window, now, parts);
    if (alsoOfPeers) {
        addSentWithin(server.sentByPeers, window, now, parts);
    }
    return parts;
}

auto capacityOf(const ServerTable &table, const ServerState &server) -> std::uint64_t
{
    const auto found = table.cacheTokens.find(server.record.service);
    return found == table.cacheTokens.end() ? 0 : found->second;
}

/// A shared part was sent there, or is there: believed from now on, and told to the other entries.
auto noteOwnUse(const ServerTable &table, ServerState &server, const PromptPart &part, TimePoint now) -> void
{
    noteUse(server.cache, part, capacityOf(table, server), now);
    if (part.tokens >= LeastToldTokens) {
        noteSent(server.sentHere, part, now);
    }
}

/// Datagrams get lost now and then, so each use of a cache is told in two reports; a sum goes to a part of the entries at a time.
constexpr Duration SentWindow = 2 * ReportInterval;
constexpr Duration TotalSentWindow = 4 * ReportInterval;

} // namespace

auto takeReport(ServerTable &table, const std::string &entry, TimePoint now) -> PeerReported
{
    PeerReported report{ .entry = entry };
    for (auto &[id, server] : table.byId) {
        server->reported = server->own;
        auto use = makeUse(id, server->own, partsToTell(*server, SentWindow, false, now));
        if (isNews(use)) {
            report.uses.push_back(std::move(use));
        }
    }
    return report;
}

auto takeTotals(const ServerTable &table, const std::string &entry, TimePoint now) -> PeerReported
{
    PeerReported report{ .entry = entry, .isTotal = true };
    for (const auto &[id, server] : table.byId) {
        auto use = makeUse(id, totalWork(*server), partsToTell(*server, TotalSentWindow, true, now));
        if (isNews(use)) {
            report.uses.push_back(std::move(use));
        }
    }
    return report;
}

namespace
{

auto noteSentParts(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    for (const auto &use : report.uses) {
        const auto server = findServer(table, use.server);
        if (!server) {
            continue;
        }
        for (const auto &part : use.sent) {
            noteUse(server->cache, part, capacityOf(table, *server), now);
            if (!report.isTotal) {
                noteSent(server->sentByPeers, part, now);
            }
        }
    }
}

} // namespace

auto noteCacheListed(ServerTable &table, const CacheListed &listed, TimePoint now) -> void
{
    const auto server = findServer(table, listed.server);
    if (!server) {
        return;
    }
    for (const auto &part : listed.parts) {
        noteOwnUse(table, *server, part, now);
    }
}

auto notePeerReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void
{
    noteSentParts(table, report, now);
    if (report.isRest) {
        return;
    }
    table.reports += 1;
    if (report.isTotal) {
        table.totals = ServerTable::PeerUse{ .report = report, .at = now };
    } else {
        table.peers[report.entry] = { .report = report, .at = now };
        table.totals.reset();
    }
    sumPeerReports(table);
}

auto expirePeerReports(ServerTable &table, TimePoint now) -> void
{
    const auto isOld = [now](const ServerTable::PeerUse &use) { return now - use.at > PeerReportAge; };
    const auto expired = std::erase_if(table.peers, [&](const auto &item) { return isOld(item.second); });
    const auto totalIsOld = table.totals && isOld(*table.totals);
    if (totalIsOld) {
        table.totals.reset();
    }
    if (expired > 0 || totalIsOld) {
        sumPeerReports(table);
    }
}

auto notePrompt(ServerTable &table, ServerState &server, const Prompt &prompt, TimePoint now) -> void
{
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        noteOwnUse(table, server, prompt.parts[i], now);
    }
}

} // namespace auburnspread::passthrough
