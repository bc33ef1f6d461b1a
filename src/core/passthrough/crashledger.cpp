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
/// All parts of a prompt are accused at a crash, most of them wrongly, so a part is given more servers than a request.
constexpr std::size_t MaxCrashesOfPart = 3;
/// A part that was proven sound within this time is not accused. It is short, because a part may begin to crash servers when their software
/// changes.
constexpr Duration ProofImmunity = std::chrono::seconds(3);
/// Reports of incidents are repeated, and may arrive after a proof that is newer than the incident.
constexpr Duration ProofLifetime = std::chrono::seconds(30);
/// Shortest interval between two recorded proofs of a part that is not a suspect.
constexpr Duration ProofInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxProofs = 16'384;
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

auto maxCrashesOfRequest(const CrashLedger &ledger, Suspect suspect, const std::vector<CrashIncident> &incidents) -> std::size_t
{
    const auto hadEvents = std::any_of(incidents.begin(), incidents.end(), [](const CrashIncident &each) { return each.hadEvents; });
    const auto isCompleted = ledger.completed.contains(Fingerprint{ suspect.id });
    return MaxCrashes + (hadEvents ? ExtraCrashesWithEvents : 0) + (isCompleted ? ExtraCrashesAfterCompletion : 0);
}

/// Whether a request was sent after the first of the incidents. Servers that end at the same moment for another reason may all run requests
/// with the same sound part.
auto hasSuccessiveIncidents(const std::vector<CrashIncident> &incidents) -> bool
{
    const auto isEarlier = [](const CrashIncident &a, const CrashIncident &b) { return a.at < b.at; };
    const auto first = std::min_element(incidents.begin(), incidents.end(), isEarlier);
    return std::any_of(incidents.begin(), incidents.end(), [&first](const CrashIncident &each) { return each.sentAt > first->at; });
}

auto haveDifferentRequests(std::span<const CrashIncident> incidents) -> bool
{
    return std::any_of(incidents.begin(), incidents.end(), [&incidents](const CrashIncident &each) { return each.request != incidents.front().request; });
}

/// Reports of earlier builds do not tell the run.
auto isSameRun(std::int64_t a, std::int64_t b) -> bool
{
    return a == b || a == 0 || b == 0;
}

auto haveSameRun(const CrashIncident &a, const CrashIncident &b) -> bool
{
    return a.server == b.server && isSameRun(a.startedAt, b.startedAt);
}

auto exceedsLimit(const CrashLedger &ledger, Suspect suspect, const std::vector<CrashIncident> &incidents) -> bool
{
    if (suspect.kind == SuspectKind::PromptPart) {
        return incidents.size() >= MaxCrashesOfPart && hasSuccessiveIncidents(incidents) && haveDifferentRequests(incidents);
    }
    return incidents.size() >= maxCrashesOfRequest(ledger, suspect, incidents);
}

/// When the part was last proven sound; the earliest time if it was not lately.
auto lastProofOf(const CrashLedger &ledger, Suspect suspect) -> TimePoint
{
    const auto found = suspect.kind == SuspectKind::PromptPart ? ledger.provenParts.find(suspect.id) : ledger.provenParts.end();
    return found == ledger.provenParts.end() ? TimePoint::min() : found->second;
}

auto forgetOldProofs(CrashLedger &ledger, TimePoint now) -> void
{
    while (!ledger.proofOrder.empty() && (ledger.proofOrder.size() > MaxProofs || now - ledger.proofOrder.front().at >= ProofLifetime)) {
        const auto oldest = ledger.proofOrder.front();
        ledger.proofOrder.pop_front();
        const auto found = ledger.provenParts.find(oldest.part);
        if (found != ledger.provenParts.end() && found->second <= oldest.at) {
            ledger.provenParts.erase(found);
        }
    }
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

auto requestSuspect(Fingerprint fingerprint) -> Suspect
{
    return { .kind = SuspectKind::Request, .id = static_cast<std::uint64_t>(fingerprint) };
}

auto partSuspect(std::uint64_t part) -> Suspect
{
    return { .kind = SuspectKind::PromptPart, .id = part };
}

auto recordIncidents(CrashLedger &ledger, Suspect suspect, const std::vector<CrashIncident> &incidents) -> bool
{
    const auto provenAt = lastProofOf(ledger, suspect);
    const auto isObsolete = [provenAt](const CrashIncident &each) { return each.at <= provenAt; };
    if (suspect == requestSuspect(Fingerprint{}) || std::all_of(incidents.begin(), incidents.end(), isObsolete)) {
        return false;
    }
    if (ledger.incidents.size() >= MaxRecords && !ledger.incidents.contains(suspect)) {
        removeOldestRecord(ledger);
    }
    auto &known = ledger.incidents[suspect];
    const auto before = known.size();
    for (const auto &incident : incidents) {
        const auto isKnown = std::any_of(known.begin(), known.end(), [&incident](const CrashIncident &each) { return haveSameRun(each, incident); });
        if (!isKnown && !isObsolete(incident)) {
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
    const auto suspect = requestSuspect(fingerprint);
    const auto wasSuspect = ledger.incidents.erase(suspect) + ledger.listed.erase(suspect) > 0;
    ledger.revision += wasSuspect ? 1 : 0;
    return wasSuspect;
}

auto recordProof(CrashLedger &ledger, std::uint64_t part, TimePoint at) -> bool
{
    const auto suspect = partSuspect(part);
    const auto last = lastProofOf(ledger, suspect);
    const auto found = ledger.incidents.find(suspect);
    const auto dropped = found == ledger.incidents.end() ? 0 : std::erase_if(found->second, [at](const CrashIncident &each) { return each.at <= at; });
    if (found != ledger.incidents.end() && found->second.empty()) {
        ledger.incidents.erase(found);
    }
    const auto listed = ledger.listed.find(suspect);
    const auto isReleased = listed != ledger.listed.end() && listed->second <= at;
    if (isReleased) {
        ledger.listed.erase(listed);
    }
    const auto wasSuspect = dropped > 0 || isReleased;
    if (wasSuspect || last == TimePoint::min() || at - last >= ProofInterval) {
        ledger.provenParts[part] = std::max(last, at);
        ledger.proofOrder.push_back({ .part = part, .at = at });
        forgetOldProofs(ledger, at);
    }
    ledger.revision += wasSuspect ? 1 : 0;
    return wasSuspect;
}

auto setListedSuspects(CrashLedger &ledger, const std::vector<QuarantinedSuspect> &suspects) -> void
{
    ledger.listed.clear();
    for (const auto &each : suspects) {
        if (each.at > lastProofOf(ledger, each.suspect)) {
            ledger.listed[each.suspect] = each.at;
        }
    }
    ledger.revision += 1;
}

auto isRecentlyProven(const CrashLedger &ledger, std::uint64_t part, TimePoint now) -> bool
{
    const auto found = ledger.provenParts.find(part);
    return found != ledger.provenParts.end() && now - found->second < ProofImmunity;
}

auto isQuarantined(const CrashLedger &ledger, Suspect suspect, TimePoint now) -> bool
{
    const auto listed = ledger.listed.find(suspect);
    if (listed != ledger.listed.end() && now - listed->second < IncidentLifetime) {
        return true;
    }
    const auto found = ledger.incidents.find(suspect);
    return found != ledger.incidents.end() && exceedsLimit(ledger, suspect, found->second) && now - lastIncidentAt(found->second) < IncidentLifetime;
}

auto isPartSuspected(const CrashLedger &ledger, std::uint64_t part) -> bool
{
    return haveDifferentRequests(incidentsOf(ledger, partSuspect(part)));
}

auto isExplainedByOther(const CrashLedger &ledger, std::uint64_t part, const std::function<bool(std::uint64_t part)> &isContained, TimePoint now) -> bool
{
    const auto own = incidentsOf(ledger, partSuspect(part));
    if (own.empty()) {
        return false;
    }
    return std::any_of(ledger.incidents.begin(), ledger.incidents.end(), [&](const auto &item) {
        const auto other = item.first;
        const auto &incidents = item.second;
        if (other.kind != SuspectKind::PromptPart || isContained(other.id) || !isQuarantined(ledger, other, now)) {
            return false;
        }
        return std::all_of(own.begin(), own.end(), [&incidents](const CrashIncident &each) {
            return std::any_of(incidents.begin(), incidents.end(), [&each](const CrashIncident &its) { return haveSameRun(its, each); });
        });
    });
}

auto incidentsOf(const CrashLedger &ledger, Suspect suspect) -> std::span<const CrashIncident>
{
    const auto found = ledger.incidents.find(suspect);
    return found == ledger.incidents.end() ? std::span<const CrashIncident>() : found->second;
}

auto quarantinedSuspects(const CrashLedger &ledger, TimePoint now) -> std::vector<QuarantinedSuspect>
{
    std::map<Suspect, TimePoint> all;
    for (const auto &[suspect, at] : ledger.listed) {
        if (now - at < IncidentLifetime) {
            all[suspect] = at;
        }
    }
    for (const auto &[suspect, incidents] : ledger.incidents) {
        const auto at = lastIncidentAt(incidents);
        if (exceedsLimit(ledger, suspect, incidents) && now - at < IncidentLifetime) {
            all[suspect] = std::max(all[suspect], at);
        }
    }
    std::vector<QuarantinedSuspect> sorted;
    sorted.reserve(all.size());
    for (const auto &[suspect, at] : all) {
        sorted.push_back({ .suspect = suspect, .at = at });
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return std::pair(b.at, a.suspect) < std::pair(a.at, b.suspect); });
    sorted.resize(std::min(sorted.size(), MaxQuarantinedListed));
    std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return a.suspect < b.suspect; });
    return sorted;
}

auto reviewIncidents(CrashLedger &ledger, const std::function<std::optional<std::int64_t>(std::string_view server)> &startOf, TimePoint listAsOf, TimePoint now)
    -> void
{
    if (now - ledger.checkedAt < ReviewInterval) {
        return;
    }
    ledger.checkedAt = now;
    const auto isDisproved = [&](const CrashIncident &incident) {
        const auto start = listAsOf - incident.at >= MaxListedAfterCrash ? startOf(incident.server) : std::nullopt;
        return start && isSameRun(*start, incident.startedAt);
    };
    const auto isObsolete = [&](const CrashIncident &incident) { return now - incident.at >= IncidentLifetime || isDisproved(incident); };
    std::size_t dropped = std::erase_if(ledger.listed, [now](const auto &item) { return now - item.second >= IncidentLifetime; });
    for (auto &[suspect, incidents] : ledger.incidents) {
        dropped += std::erase_if(incidents, isObsolete);
    }
    std::erase_if(ledger.incidents, [](const auto &item) { return item.second.empty(); });
    ledger.revision += dropped > 0 ? 1 : 0;
}

} // namespace auburnspread::passthrough
