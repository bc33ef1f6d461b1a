#include "entry/backend/internal/attempt.h"

#include "runtime/task/eventloop.h"

#include <algorithm>
#include <utility>

namespace auburnspread::entry
{

namespace
{

constexpr Duration ReportInterval = std::chrono::milliseconds(200);
constexpr Duration SilenceInterval = std::chrono::milliseconds(100); // between two reports of the same silence

auto heldTokens(const Attempt &attempt) -> std::uint32_t
{
    return attempt.stream.nextOffset - attempt.dispatch.resumeOffset;
}

/// A whole answer whose begin is dropped: the caller has seen nothing of it.
auto beginsAnew(const Attempt &attempt) -> bool
{
    return attempt.dispatch.resumeOffset == 0 && !attempt.payload->stream;
}

/// What is held begins with one message for each token.
auto dropRelayedTokens(Attempt &attempt) -> void
{
    const auto known = attempt.relayFrom - std::min(attempt.relayFrom, attempt.dispatch.resumeOffset);
    const auto dropped = std::min(known, heldTokens(attempt));
    attempt.held.erase(attempt.held.begin(), attempt.held.begin() + dropped);
}

auto reportRelayed(Attempt &attempt, TimePoint now) -> void
{
    attempt.lastReport = now;
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptProgress{
        .attempt = attempt.dispatch.attempt,
        .relayedTokens = relayedTokensOf(attempt),
    }));
}

/// Another attempt has relayed the whole answer, so nothing of this one is relayed.
auto endAnswered(Attempt &attempt) -> void
{
    attempt.over = true;
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptFinished{
        .attempt = attempt.dispatch.attempt,
        .relayedTokens = attempt.shared->relayed,
    }));
    attempt.context.ended(attempt.dispatch.attempt, false);
}

} // namespace

Attempt::Attempt(routing::Dispatch order, PayloadPointer bytes, std::string wireId, std::shared_ptr<RequestRelay> sharedRelay, AttemptContext &owner)
    : dispatch(std::move(order))
    , payload(std::move(bytes))
    , shared(std::move(sharedRelay))
    , context(owner)
    , stream{ .attemptId = std::move(wireId), .nextOffset = dispatch.resumeOffset }
    , reader(owner.mostEventBytes)
{
}

auto fail(Attempt &attempt, Failure failure) -> void
{
    if (attempt.over) {
        return;
    }
    if (attempt.complete) {
        attempt.broken = true;
        finish(attempt);
        return;
    }
    attempt.over = true;
    const auto relayed = relayedTokensOf(attempt);
    const auto wasted = attempt.stream.discardedTokens + (attempt.committed ? 0 : heldTokens(attempt));
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptFailed{
        .attempt = attempt.dispatch.attempt,
        .failure = failure,
        .relayedTokens = relayed,
        .wastedTokens = wasted,
    }));
    if (attempt.context.failed) {
        attempt.context.failed({
            .request = attempt.payload->publicId,
            .attempt = attempt.stream.attemptId,
            .backend = attempt.dispatch.backend,
            .failure = failure,
            .wastedTokens = wasted,
        });
    }
    attempt.context.ended(attempt.dispatch.attempt, false);
}

auto finish(Attempt &attempt) -> void
{
    if (attempt.over) {
        return;
    }
    if (!attempt.committed) {
        attempt.complete = true; // relayed, ended and reported at commit
        return;
    }
    attempt.over = true;
    attempt.shared->answered = true;
    attempt.context.mailboxes.caller.post(AnswerEnded{ .request = attempt.dispatch.request });
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptFinished{
        .attempt = attempt.dispatch.attempt,
        .relayedTokens = relayedTokensOf(attempt),
    }));
    attempt.context.ended(attempt.dispatch.attempt, !attempt.broken);
}

auto relayPart(Attempt &attempt, CallerMessage message) -> void
{
    if (attempt.committed) {
        attempt.context.mailboxes.caller.post(std::move(message));
        return;
    }
    attempt.held.push_back(std::move(message));
}

auto reportStarted(Attempt &attempt) -> void
{
    if (attempt.started) {
        return;
    }
    attempt.started = true;
    attempt.lastReport = task::monotonicNow();
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptStarted{ .attempt = attempt.dispatch.attempt }));
}

auto reportProgress(Attempt &attempt) -> void
{
    const auto now = task::monotonicNow();
    if (!attempt.committed || now - attempt.lastReport < ReportInterval) {
        return;
    }
    reportRelayed(attempt, now);
}

auto commit(Attempt &attempt, std::uint32_t relayedTokens) -> void
{
    if (attempt.over || attempt.committed) {
        return;
    }
    if (attempt.shared->answered) {
        endAnswered(attempt);
        return;
    }
    attempt.committed = true;
    attempt.relayFrom = beginsAnew(attempt) ? 0 : std::max({ attempt.shared->relayed, relayedTokens, attempt.dispatch.resumeOffset });
    if (attempt.relayFrom == 0) {
        attempt.context.mailboxes.caller.post(AnswerRestarted{ .request = attempt.dispatch.request });
    }
    dropRelayedTokens(attempt);
    attempt.shared->relayed = relayedTokensOf(attempt);
    for (auto &message : std::exchange(attempt.held, {})) {
        attempt.context.mailboxes.caller.post(std::move(message));
    }
    if (attempt.complete) {
        finish(attempt);
    }
}

auto reportSilence(Attempt &attempt, TimePoint now) -> void
{
    attempt.silent = true;
    attempt.deadline = now + SilenceInterval;
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptSilent{
        .attempt = attempt.dispatch.attempt,
        .timeout = timeoutOf(attempt),
        .relayedTokens = relayedTokensOf(attempt),
    }));
}

auto noteArrival(Attempt &attempt) -> void
{
    extendDeadline(attempt);
    if (std::exchange(attempt.silent, false) && attempt.committed) {
        reportRelayed(attempt, task::monotonicNow());
    }
}

auto timeoutOf(const Attempt &attempt) -> Failure
{
    return attempt.started ? Failure::ProgressTimeout : Failure::FirstTokenTimeout;
}

auto relayedTokensOf(const Attempt &attempt) -> std::uint32_t
{
    return attempt.committed ? std::max(attempt.stream.nextOffset, attempt.relayFrom) : attempt.dispatch.resumeOffset;
}

auto extendDeadline(Attempt &attempt) -> void
{
    attempt.deadline = task::monotonicNow() + attempt.dispatch.progressTimeout;
}

} // namespace auburnspread::entry
