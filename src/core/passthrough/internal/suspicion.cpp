#include "core/passthrough/internal/suspicion.h"

#include "core/passthrough/internal/candidate.h"
#include "core/passthrough/internal/dispatching.h"

#include <algorithm>
#include <span>
#include <utility>

namespace auburnspread::passthrough::detail
{

namespace
{

/// A server may crash after its first event: it proves nothing.
constexpr std::uint32_t MinEventsOfProof = 2;
/// Shortest interval between two proofs by one attempt while nothing is suspected.
constexpr Duration ProofInterval = std::chrono::seconds(1);

/// Time after a crash for the reports of other entries, which may have seen one of the same suspect at the same moment. With them,
/// all entries choose the same server for the next trial.
constexpr Duration TrialDelay = std::chrono::milliseconds(100);

/// Time within which a response usually begins. One that has not shows nothing, and the next request need not wait for it.
constexpr Duration TrialTime = std::chrono::seconds(1);

/// The parts that other requests may have as well: the last one belongs to this request alone.
auto sharedParts(const RequestArrived &call) -> std::span<const PromptPart>
{
    return std::span(call.prompt.parts).first(call.prompt.parts.empty() ? 0 : call.prompt.parts.size() - 1);
}

auto hasPart(std::span<const PromptPart> parts, std::uint64_t id) -> bool
{
    return std::any_of(parts.begin(), parts.end(), [id](const PromptPart &part) { return part.id == id; });
}

auto hasProof(const Attempt &attempt) -> bool
{
    return attempt.events >= MinEventsOfProof;
}

auto reportSuspect(RouterState &state, Suspect suspect, Actions &actions) -> void
{
    const auto incidents = incidentsOf(state.crashes, suspect);
    auto first = state.now;
    for (const auto &incident : incidents) {
        first = std::min(first, incident.at);
    }
    actions.emplace_back(ReportCrashes{
        .suspect = suspect,
        .incidents = { incidents.begin(), incidents.end() },
        .isQuarantined = isQuarantined(state.crashes, suspect, state.now),
        .firstIncidentAge = state.now - first,
    });
}

auto proveParts(RouterState &state, const Request &request, Actions &actions) -> void
{
    for (const auto &part : sharedParts(request.call)) {
        if (recordProof(state.crashes, part.id, state.now)) {
            actions.emplace_back(ReportCrashes{ .suspect = partSuspect(part.id), .provenAt = state.now });
        }
    }
}

} // namespace

auto isWithheld(const RouterState &state, const RequestArrived &call) -> bool
{
    const auto parts = sharedParts(call);
    const auto isContained = [&parts](std::uint64_t part) { return hasPart(parts, part); };
    const auto isPartWithheld = [&](const PromptPart &part) {
        return isQuarantined(state.crashes, partSuspect(part.id), state.now) && !isExplainedByOther(state.crashes, part.id, isContained, state.now);
    };
    return isQuarantined(state.crashes, requestSuspect(call.fingerprint), state.now) || std::any_of(parts.begin(), parts.end(), isPartWithheld);
}

auto findTrial(const RouterState &state, const Request &request) -> std::optional<std::uint64_t>
{
    std::optional<std::uint64_t> trial;
    std::size_t most = 1;
    for (const auto &part : sharedParts(request.call)) {
        const auto crashes = incidentsOf(state.crashes, partSuspect(part.id)).size();
        if (crashes >= most && isPartSuspected(state.crashes, part.id)) { // of equal ones the last: fewer other prompts contain it
            most = crashes;
            trial = part.id;
        }
    }
    return trial;
}

auto mustAwaitTrial(const RouterState &state, const Request &request) -> bool
{
    const auto isRecent = [&state](const CrashIncident &each) { return state.now - each.at < TrialDelay; };
    const auto mayShow = [&state](const Attempt &attempt, std::uint64_t part) {
        const auto isOver = hasProof(attempt) || state.now - attempt.sentAt >= TrialTime;
        const auto found = isOver ? state.requests.end() : state.requests.find(attempt.request);
        return found != state.requests.end() && hasPart(sharedParts(found->second.call), part);
    };
    const auto parts = sharedParts(request.call);
    return std::any_of(parts.begin(), parts.end(), [&](const PromptPart &part) {
        const auto incidents = incidentsOf(state.crashes, partSuspect(part.id));
        const auto isReported = std::none_of(incidents.begin(), incidents.end(), isRecent);
        return isPartSuspected(state.crashes, part.id)
            && (!isReported || std::any_of(state.attempts.begin(), state.attempts.end(), [&](const auto &item) { return mayShow(item.second, part.id); }));
    });
}

auto findTrialServer(const RouterState &state, const Request &request, std::uint64_t part) -> ServerPointer
{
    const auto group = state.servers.byService.find(request.service);
    if (group == state.servers.byService.end()) {
        return nullptr;
    }
    const auto incidents = incidentsOf(state.crashes, partSuspect(part));
    const auto rankOf = [&](const ServerState &server) {
        const auto hasCrashed = std::any_of(incidents.begin(), incidents.end(), [&](const CrashIncident &each) { return each.server == server.record.id; });
        return std::pair(!hasCrashed, mixHash(part, server.hash)); // the session's preferred engine, if the part is the session's
    };
    ServerPointer best;
    for (const auto &server : group->second.all) {
        const auto isAvoided = std::find(request.serversToAvoid.begin(), request.serversToAvoid.end(), server->record.id) != request.serversToAvoid.end();
        const auto hasVersion = !request.origin || server->record.version == request.origin->version;
        const auto isAllowed = !isAvoided && hasVersion && isUsable(*server, state.now);
        if (isAllowed && (!best || rankOf(*server) > rankOf(*best))) {
            best = server;
        }
    }
    return best;
}

auto noteCrash(RouterState &state, const Request &request, const Attempt &attempt, Actions &actions) -> void
{
    const CrashIncident incident{
        .server = attempt.server->record.id,
        .startedAt = attempt.server->record.startedAt,
        .at = state.now,
        .hadEvents = attempt.started && request.route->repeatability == Repeatability::Stream,
        .sentAt = attempt.sentAt,
        .request = request.call.fingerprint,
    };
    const auto itself = requestSuspect(request.call.fingerprint);
    if (recordIncidents(state.crashes, itself, { incident })) {
        reportSuspect(state, itself, actions);
    }
    if (hasProof(attempt)) {
        return;
    }
    for (const auto &part : sharedParts(request.call)) {
        const auto suspect = partSuspect(part.id);
        if (!isRecentlyProven(state.crashes, part.id, state.now) && recordIncidents(state.crashes, suspect, { incident })) {
            reportSuspect(state, suspect, actions);
        }
    }
}

auto noteEvents(RouterState &state, const Request &request, Attempt &attempt, std::uint32_t events, Actions &actions) -> void
{
    attempt.events += events;
    const auto isDue = attempt.provenAt == TimePoint() || state.now - attempt.provenAt >= ProofInterval || !state.crashes.incidents.empty();
    if (hasProof(attempt) && isDue) {
        attempt.provenAt = state.now;
        proveParts(state, request, actions);
    }
}

auto noteSoundness(RouterState &state, const Request &request, Actions &actions) -> void
{
    if (recordCompletion(state.crashes, request.call.fingerprint)) {
        actions.emplace_back(ReportCrashes{ .suspect = requestSuspect(request.call.fingerprint) });
    }
    proveParts(state, request, actions);
}

auto handleCrashReport(RouterState &state, const CrashesReported &event, Actions &actions) -> void
{
    const auto before = state.crashes.revision;
    const auto isPart = event.suspect.kind == SuspectKind::PromptPart;
    if (!event.incidents.empty()) {
        recordIncidents(state.crashes, event.suspect, event.incidents);
    } else if (isPart) {
        recordProof(state.crashes, event.suspect.id, std::min(event.provenAt, state.now));
    } else {
        recordCompletion(state.crashes, Fingerprint{ event.suspect.id });
    }
    if (state.crashes.revision != before) {
        dispatchAll(state, actions);
    }
}

} // namespace auburnspread::passthrough::detail
