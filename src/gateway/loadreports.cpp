#include "gateway/loadreports.h"

#include "gateway/clock.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

/// With more peers than this, hubs aggregate the reports. An aggregate of 60 servers takes about 1.6 KB.
constexpr std::size_t MaxDirectPeers = 12;
/// A hub sends its aggregate to each entry once in this many reports, so that with two hubs each entry receives one aggregate per report
/// interval.
constexpr int ReportsPerAggregate = 2;
/// With more servers than this, an aggregate contains only the busiest servers that fit and is sent less often, as each server gets fewer
/// requests. Failure without this limit: a hub of a hundred entries sends megabytes a second, more than the links carry.
constexpr std::size_t ServersPerFrequentAggregate = 256;
constexpr std::size_t MaxSlowdown = 8;
/// Dispatches within this time are combined in one report.
constexpr Duration BatchWindow = std::chrono::milliseconds(2);

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
    reportTimer_ = loop_.every(passthrough::ReportInterval, [this]() {
        sendReport();
        sendAggregates();
        sendSpeeds();
    });
}

auto LoadReports::recordDispatch() -> void
{
    if (!std::exchange(isEarlyReportScheduled_, true)) {
        const auto due = lastReportAt_ + passthrough::MinReportInterval - now();
        earlyReportTimer_ = loop_.after(std::max(due, BatchWindow), [this]() { sendReport(); });
    }
}

auto LoadReports::handleReport(const passthrough::PeerReported &report) -> void
{
    if (report.scope == passthrough::ReportScope::Fleet) {
        fleet::recordFleetReport(hubs_, report.entry, now());
    }
    relay(report);
}

auto LoadReports::isLarge() const -> bool
{
    return peers_.peerCount() > MaxDirectPeers;
}

auto LoadReports::sendReport() -> void
{
    isEarlyReportScheduled_ = false;
    earlyReportTimer_ = {};
    lastReportAt_ = now();
    chooseHubs();
    const auto report = passthrough::makeEntryReport(router_);
    const auto hasUse = !report.uses.empty();
    const auto isNews = std::exchange(hadUse_, hasUse) || hasUse;
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

/// Failure: an entry knows only a part of the fleet and sends its reports to an entry that is not a hub. Symptom: its requests are in no
/// aggregate. An entry that receives such a report therefore relays it to the hubs. An aggregate of another failure domain is sent to one
/// of the hubs, in turn, which relays it to the other one.
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

/// The hub of the first rank sends the failure domain's aggregate to other domains; the other hub takes over when the first one is silent.
auto LoadReports::sendAggregates() -> void
{
    if (!isHub_) {
        return;
    }
    aggregateTurn_ = (aggregateTurn_ + 1) % reportsPerAggregate();
    if (isFirstHub_) {
        const auto others = fleet::hubsOfOtherDomains(known_.entries, self_, static_cast<std::size_t>(aggregateTurn_ % ReportsPerAggregate));
        peers_.sendTo(peerAddresses(others, self_), passthrough::makeAggregateReport(router_, passthrough::ReportScope::FailureDomain));
    }
    peers_.sendTo(nextAggregateRecipients(), passthrough::makeAggregateReport(router_, passthrough::ReportScope::Fleet));
}

/// The speed of an engine changes seldom, so its samples are sent less often than the load.
auto LoadReports::sendSpeeds() -> void
{
    constexpr int ReportsPerSpeeds = 10;
    speedTurn_ = (speedTurn_ + 1) % ReportsPerSpeeds;
    if (speedTurn_ != 0) {
        return;
    }
    if (const auto own = passthrough::makeSpeedReport(router_, passthrough::ReportScope::Entry)) {
        peers_.sendTo(isLarge() ? hubAddresses_ : peerAddresses(known_.entries, self_), *own);
    }
    if (!isHub_) {
        return;
    }
    const auto domain = passthrough::makeSpeedReport(router_, passthrough::ReportScope::FailureDomain);
    if (domain && isFirstHub_) {
        peers_.sendTo(peerAddresses(fleet::hubsOfOtherDomains(known_.entries, self_, 0), self_), *domain);
    }
    const auto all = passthrough::makeSpeedReport(router_, passthrough::ReportScope::Fleet);
    if (all && isFirstHub_) {
        peers_.sendTo(membersOfDomain(), *all);
    }
}

auto LoadReports::membersOfDomain() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (const auto &entry : known_.entries) {
        if (entry.failureDomain == self_.failureDomain && entry.name != self_.name) {
            addresses.push_back(entry.peerAddress);
        }
    }
    return addresses;
}

auto LoadReports::reportsPerAggregate() const -> int
{
    const auto slowdown = (known_.servers.size() + ServersPerFrequentAggregate - 1) / ServersPerFrequentAggregate;
    return ReportsPerAggregate * static_cast<int>(std::clamp<std::size_t>(slowdown, 1, MaxSlowdown));
}

/// Members of the failure domain that receive the next aggregate.
auto LoadReports::nextAggregateRecipients() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    auto number = 0;
    for (const auto &entry : known_.entries) {
        const auto isMember = entry.failureDomain == self_.failureDomain && entry.name != self_.name;
        if (isMember && number++ % reportsPerAggregate() == aggregateTurn_) {
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
