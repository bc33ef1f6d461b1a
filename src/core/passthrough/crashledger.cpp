#include "core/passthrough/crashledger.h"

#include <algorithm>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// A request is quarantined after this many crashes. One may be a coincidence, but a third server is not put at risk.
constexpr std::size_t MaxCrashes = 2;
/// When a server crashes, all of its streams break. Sound streams that are resumed may meet a second crash of the same cause, so a request
/// whose response had made progress is given one more server.
constexpr std::size_t ExtraCrashesWithEvents = 1;
/// So is a request that recently completed: copies of a frequent request run on many servers, and several may end at the same time.
constexpr std::size_t ExtraCrashesAfterCompletion = 1;
/// Callers repeat requests within minutes; after that the fault of the servers may have been fixed.
constexpr Duration IncidentLifetime = std::chrono::minutes(5);
/// A crashed server sends no heartbeats and leaves the list after three missed ones.
constexpr Duration MaxListedAfterCrash = std::chrono::seconds(6);
constexpr Duration ReviewInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxRecords = 10'000;
constexpr std::size_t MaxCompleted = 4096;
constexpr std::size_t MaxQuarantinedListed = 256;

auto lastIncidentAt(const std::vector<CrashIncident> &incidents) -> TimePoint
{
    TimePoint last;
    for (const auto &incident : incidents) {
        last = std::max(last, incident.at);
    }
    return last;
}

auto maxCrashesOf(const CrashLedger &ledger, Fingerprint fingerprint, const std::vector<CrashIncident> &incidents) -> std::size_t
{
    const auto hadEvents = std::any_of(incidents.begin(), incidents.end(), [](const CrashIncident &each) { return each.hadEvents; });
    return MaxCrashes + (hadEvents ? ExtraCrashesWithEvents : 0) + (ledger.completed.contains(fingerprint) ? ExtraCrashesAfterCompletion : 0);
}

auto exceedsLimit(const CrashLedger &ledger, Fingerprint fingerprint, const std::vector<CrashIncident> &incidents) -> bool
{
    return incidents.size() >= maxCrashesOf(ledger, fingerprint, incidents);
}

auto removeOldestRecord(CrashLedger &ledger) -> void
{
    const auto isOlder = [](const auto &a, const auto &b) { return lastIncidentAt(a.second) < lastIncidentAt(b.second); };
    ledger.incidents.erase(std::min_element(ledger.incidents.begin(), ledger.incidents.end(), isOlder));
}

auto rememberCompletion(CrashLedger &ledger, Fingerprint fingerprint) -> void
{
    if (!ledger.completed.insert(fingerprint).second) {
        return;
    }
    ledger.completionOrder.push_back(fingerprint);
    if (ledger.completionOrder.size() > MaxCompleted) {
        ledger.completed.erase(ledger.completionOrder.front());
        ledger.completionOrder.pop_front();
    }
}

} // namespace

auto recordIncidents(CrashLedger &ledger, Fingerprint fingerprint, const std::vector<CrashIncident> &incidents) -> bool
{
    if (fingerprint == Fingerprint{} || incidents.empty()) {
        return false;
    }
    if (ledger.incidents.size() >= MaxRecords && !ledger.incidents.contains(fingerprint)) {
        removeOldestRecord(ledger);
    }
    auto &known = ledger.incidents[fingerprint];
    const auto before = known.size();
    for (const auto &incident : incidents) {
        const auto isKnown = std::any_of(known.begin(), known.end(), [&incident](const CrashIncident &each) { return each.server == incident.server; });
        if (!isKnown) {
            known.push_back(incident);
        }
    }
    ledger.revision += known.size() != before ? 1 : 0;
    return known.size() != before;
}

auto recordCompletion(CrashLedger &ledger, Fingerprint fingerprint) -> bool
{
    if (fingerprint == Fingerprint{}) {
        return false;
    }
    rememberCompletion(ledger, fingerprint);
    const auto wasSuspect = ledger.incidents.erase(fingerprint) + ledger.listed.erase(fingerprint) > 0;
    ledger.revision += wasSuspect ? 1 : 0;
    return wasSuspect;
}

auto setListedRequests(CrashLedger &ledger, const std::vector<QuarantinedRequest> &requests) -> void
{
    ledger.listed.clear();
    for (const auto &request : requests) {
        ledger.listed[request.fingerprint] = request.at;
    }
    ledger.revision += 1;
}

auto isQuarantined(const CrashLedger &ledger, Fingerprint fingerprint, TimePoint now) -> bool
{
    const auto listed = ledger.listed.find(fingerprint);
    if (listed != ledger.listed.end() && now - listed->second < IncidentLifetime) {
        return true;
    }
    const auto found = ledger.incidents.find(fingerprint);
    return found != ledger.incidents.end() && exceedsLimit(ledger, fingerprint, found->second) && now - lastIncidentAt(found->second) < IncidentLifetime;
}

auto incidentsOf(const CrashLedger &ledger, Fingerprint fingerprint) -> std::vector<CrashIncident>
{
    const auto found = ledger.incidents.find(fingerprint);
    return found == ledger.incidents.end() ? std::vector<CrashIncident>() : found->second;
}

auto quarantinedRequests(const CrashLedger &ledger, TimePoint now) -> std::vector<QuarantinedRequest>
{
    std::unordered_map<Fingerprint, TimePoint> all;
    for (const auto &[fingerprint, at] : ledger.listed) {
        if (now - at < IncidentLifetime) {
            all[fingerprint] = at;
        }
    }
    for (const auto &[fingerprint, incidents] : ledger.incidents) {
        const auto at = lastIncidentAt(incidents);
        if (exceedsLimit(ledger, fingerprint, incidents) && now - at < IncidentLifetime) {
            all[fingerprint] = std::max(all[fingerprint], at);
        }
    }
    std::vector<QuarantinedRequest> sorted;
    sorted.reserve(all.size());
    for (const auto &[fingerprint, at] : all) {
        sorted.push_back({ .fingerprint = fingerprint, .at = at });
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return std::pair(b.at, a.fingerprint) < std::pair(a.at, b.fingerprint); });
    sorted.resize(std::min(sorted.size(), MaxQuarantinedListed));
    std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return a.fingerprint < b.fingerprint; });
    return sorted;
}

auto reviewIncidents(CrashLedger &ledger, const std::function<bool(std::string_view server)> &isListed, TimePoint listAsOf, TimePoint now) -> void
{
    if (now - ledger.checkedAt < ReviewInterval) {
        return;
    }
    ledger.checkedAt = now;
    const auto isObsolete = [&](const CrashIncident &incident) {
        const auto isDisproved = listAsOf - incident.at >= MaxListedAfterCrash && isListed(incident.server);
        return isDisproved || now - incident.at >= IncidentLifetime;
    };
    std::size_t dropped = std::erase_if(ledger.listed, [now](const auto &item) { return now - item.second >= IncidentLifetime; });
    for (auto &[fingerprint, incidents] : ledger.incidents) {
        dropped += std::erase_if(incidents, isObsolete);
    }
    std::erase_if(ledger.incidents, [](const auto &item) { return item.second.empty(); });
    ledger.revision += dropped > 0 ? 1 : 0;
}

} // namespace auburnspread::passthrough
