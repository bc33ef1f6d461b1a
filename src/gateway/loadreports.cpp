#include "gateway/loadreports.h"

#include "gateway/clock.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

/// With more entries than this the reports are summed up; a sum of 60 servers takes about 1.6 KB.
constexpr std::size_t MostDirectPeers = 12;
/// A hub sends its sum to each entry once in this many reports, so that with two hubs each entry hears one with every report.
constexpr int ReportsPerSum = 2;
/// Where there are more servers a sum names as many as fit and is sent less often: it tells of the busiest ones, and each server gets fewer
/// requests. Failure: a hub of a hundred entries sends megabytes a second, more than the links have.
constexpr std::size_t ServersOfFrequentSum = 256;
constexpr std::size_t MostSlowdown = 8;
/// What is sent in the same moment is told in one report.
constexpr Duration Gathering = std::chrono::milliseconds(2);

} // namespace

LoadReports::LoadReports(task::EventLoop &loop, passthrough::RouterState &router, PeerExchange &peers, const DirectoryState &known, fleet::EntryRecord self)
    : loop_(loop)
    , router_(router)
    , peers_(peers)
    , known_(known)
    , self_(std::move(self))
{
}

auto LoadReports::start() -> void
{
    reporter_ = loop_.every(passthrough::ReportInterval, [this]() {
        sendReport();
        sendSums();
    });
}

auto LoadReports::noteSent() -> void
{
    if (!std::exchange(reportsSoon_, true)) {
        const auto due = reportedAt_ + passthrough::LeastReportInterval - now();
        soonReporter_ = loop_.after(std::max(due, Gathering), [this]() { sendReport(); });
    }
}

auto LoadReports::hear(const passthrough::PeerReported &report) -> void
{
    if (report.scope == passthrough::ReportScope::Fleet) {
        fleet::noteSum(hubs_, report.entry, now());
    }
    relay(report);
}

auto LoadReports::isLarge() const -> bool
{
    return peers_.peers() > MostDirectPeers;
}

auto LoadReports::sendReport() -> void
{
    reportsSoon_ = false;
    soonReporter_ = {};
    reportedAt_ = now();
    chooseHubs();
    const auto report = passthrough::takeReport(router_);
    const auto hasUse = !report.uses.empty();
    const auto isNews = std::exchange(reportedUse_, hasUse) || hasUse;
    if (!isNews) {
        return;
    }
    if (isLarge()) {
        peers_.sendTo(hubAddresses_, report);
    } else {
        peers_.send(report);
    }
}

auto LoadReports::chooseHubs() -> void
{
    if (!isLarge()) {
        isHub_ = false;
        return;
    }
    const auto hubs = fleet::chooseHubs(hubs_, known_.entries, self_, now());
    const auto own = std::find_if(hubs.begin(), hubs.end(), [this](const fleet::EntryRecord &hub) { return hub.name == self_.name; });
    hubAddresses_ = peerAddresses(hubs, self_);
    isHub_ = own != hubs.end();
    isFirstHub_ = own == hubs.begin();
}

/// Failure: an entry knows only a part of the fleet, and takes another one for a hub. Symptom: its requests are in no sum. Whoever is
/// taken for a hub tells those that are. A sum of another domain comes to one of the hubs, in turn, and is passed on to the other.
auto LoadReports::relay(const passthrough::PeerReported &report) -> void
{
    const auto isForHubs = report.scope == passthrough::ReportScope::FailureDomain || (report.scope == passthrough::ReportScope::Entry && !isHub_);
    if (!isForHubs || report.isRelayed || !isLarge()) {
        return;
    }
    auto relayed = report;
    relayed.isRelayed = true;
    peers_.sendTo(hubAddresses_, relayed);
}

/// The first of the hubs speaks for the failure domain; the other takes its place when it is silent.
auto LoadReports::sendSums() -> void
{
    if (!isHub_) {
        return;
    }
    turn_ = (turn_ + 1) % reportsPerSum();
    if (isFirstHub_) {
        const auto others = fleet::hubsOfOtherDomains(known_.entries, self_, static_cast<std::size_t>(turn_ % ReportsPerSum));
        peers_.sendTo(peerAddresses(others, self_), passthrough::takeSum(router_, passthrough::ReportScope::FailureDomain));
    }
    peers_.sendTo(membersInTurn(), passthrough::takeSum(router_, passthrough::ReportScope::Fleet));
}

auto LoadReports::reportsPerSum() const -> int
{
    const auto slowdown = (known_.servers.size() + ServersOfFrequentSum - 1) / ServersOfFrequentSum;
    return ReportsPerSum * static_cast<int>(std::clamp<std::size_t>(slowdown, 1, MostSlowdown));
}

/// Of the failure domain.
auto LoadReports::membersInTurn() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    auto number = 0;
    for (const auto &entry : known_.entries) {
        const auto isMember = entry.failureDomain == self_.failureDomain && entry.name != self_.name;
        if (isMember && number++ % reportsPerSum() == turn_) {
            addresses.push_back(entry.peerAddress);
        }
    }
    return addresses;
}

auto peerAddresses(const std::vector<fleet::EntryRecord> &entries, const fleet::EntryRecord &self) -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (const auto &entry : entries) {
        if (entry.name != self.name) {
            addresses.push_back(entry.peerAddress);
        }
    }
    return addresses;
}

} // namespace auburnspread::gateway
