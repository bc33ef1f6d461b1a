#include "core/routing/internal/suspects.h"

#include "core/routing/internal/ending.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>
#include <iterator>

namespace auburnspread::routing
{

namespace
{

using quarantine::Mark;
using quarantine::Verdict;

/// Equal requests held back at once. Fingerprints that hold any back are bounded by what runs and by the suspects.
constexpr std::size_t MostHeld = 100;

constexpr auto Marks = std::to_array<std::pair<QuarantineHeard::Mark, Mark>>({
    { QuarantineHeard::Mark::Suspect, Mark::Suspect },
    { QuarantineHeard::Mark::Retrying, Mark::Retrying },
    { QuarantineHeard::Mark::RetryEnded, Mark::RetryEnded },
    { QuarantineHeard::Mark::Cleared, Mark::Cleared },
    { QuarantineHeard::Mark::Quarantined, Mark::Quarantined },
    { QuarantineHeard::Mark::Released, Mark::Released },
});

auto toRouting(Mark mark) -> QuarantineHeard::Mark
{
    for (const auto &[outside, inside] : Marks) {
        if (inside == mark) {
            return outside;
        }
    }
    return QuarantineHeard::Mark::Suspect;
}

auto toQuarantine(QuarantineHeard::Mark mark) -> Mark
{
    for (const auto &[outside, inside] : Marks) {
        if (outside == mark) {
            return inside;
        }
    }
    return Mark::Suspect;
}

} // namespace

auto silentAttemptsOf(const RouterState &state, const Request &request) -> std::vector<AttemptId>
{
    std::vector<AttemptId> silent;
    std::copy_if(request.attempts.begin(), request.attempts.end(), std::back_inserter(silent), [&](AttemptId id) { return state.attempts.at(id).isSilent; });
    return silent;
}

auto decideSuspect(const RouterState &state, const Request &request) -> quarantine::Decision
{
    if (request.call.fingerprint == Fingerprint{}) {
        return {};
    }
    return quarantine::decide(state.quarantine, request.call.fingerprint, state.now, silentAttemptsOf(state, request));
}

auto announceOwnRetry(RouterState &state, const Request &request, Actions &actions) -> void
{
    tellCell(quarantine::announceRetry(state.quarantine, request.call.fingerprint, state.now, silentAttemptsOf(state, request)), actions);
}

auto mayHold(const RouterState &state, const Request &request) -> bool
{
    const auto place = state.held.find(request.call.fingerprint);
    return place == state.held.end() || place->second.size() < MostHeld;
}

auto hold(RouterState &state, Request &request, Actions &actions) -> void
{
    request.stage = Stage::Held;
    request.heldSince = request.heldSince.value_or(state.now);
    state.held[request.call.fingerprint].insert({ request.order, request.call.request });
    announceOwnRetry(state, request, actions);
}

auto releaseHeld(RouterState &state, Fingerprint fingerprint, Actions &actions) -> void
{
    const auto node = state.held.extract(fingerprint);
    if (node.empty()) {
        return;
    }
    for (const auto &[order, id] : node.mapped()) {
        waitForSlot(state, state.requests.at(id), actions);
    }
}

auto reviewHeld(RouterState &state, Actions &actions) -> void
{
    std::vector<Fingerprint> released;
    for (const auto &[fingerprint, requests] : state.held) {
        if (quarantine::decide(state.quarantine, fingerprint, state.now).verdict != Verdict::Wait) {
            released.push_back(fingerprint);
        } else {
            tellCell(quarantine::announceRetry(state.quarantine, fingerprint, state.now), actions);
        }
    }
    for (const auto fingerprint : released) {
        releaseHeld(state, fingerprint, actions);
    }
}

auto tellCell(const std::vector<quarantine::Notice> &notices, Actions &actions) -> void
{
    for (const auto &notice : notices) {
        actions.emplace_back(TellQuarantine{ .fingerprint = notice.fingerprint, .mark = toRouting(notice.mark), .server = notice.server });
    }
}

auto onQuarantineHeard(RouterState &state, const QuarantineHeard &event, Actions &actions) -> void
{
    if (event.mark == QuarantineHeard::Mark::Released && event.entry.empty()) {
        if (const auto notice = quarantine::release(state.quarantine, event.fingerprint)) {
            tellCell({ *notice }, actions);
        }
    } else {
        const quarantine::Notice notice{ .fingerprint = event.fingerprint, .mark = toQuarantine(event.mark), .entry = event.entry, .server = event.server };
        tellCell(quarantine::applyNotice(state.quarantine, notice, state.now), actions);
    }
    reviewHeld(state, actions);
}

} // namespace auburnspread::routing
