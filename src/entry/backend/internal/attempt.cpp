#include "entry/backend/internal/attempt.h"

#include "runtime/task/eventloop.h"

#include <utility>

namespace auburnspread::entry
{

namespace
{

constexpr Duration ReportInterval = std::chrono::milliseconds(200);

auto heldTokens(const Attempt &attempt) -> std::uint32_t
{
    return attempt.stream.nextOffset - attempt.dispatch.resumeOffset;
}

} // namespace

Attempt::Attempt(routing::Dispatch order, PayloadPointer bytes, std::string wireId, AttemptContext &owner)
    : dispatch(std::move(order))
    , payload(std::move(bytes))
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
    const auto relayed = attempt.committed ? attempt.stream.nextOffset : attempt.dispatch.resumeOffset;
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
    attempt.context.mailboxes.caller.post(AnswerEnded{ .request = attempt.dispatch.request });
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptFinished{
        .attempt = attempt.dispatch.attempt,
        .relayedTokens = attempt.stream.nextOffset,
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
    attempt.lastReport = now;
    attempt.context.mailboxes.router.post(routing::Event(routing::AttemptProgress{
        .attempt = attempt.dispatch.attempt,
        .relayedTokens = attempt.stream.nextOffset,
    }));
}

auto commit(Attempt &attempt) -> void
{
    if (attempt.over || attempt.committed) {
        return;
    }
    attempt.committed = true;
    if (attempt.dispatch.resumeOffset == 0) {
        attempt.context.mailboxes.caller.post(AnswerRestarted{ .request = attempt.dispatch.request });
    }
    for (auto &message : std::exchange(attempt.held, {})) {
        attempt.context.mailboxes.caller.post(std::move(message));
    }
    if (attempt.complete) {
        finish(attempt);
    }
}

auto extendDeadline(Attempt &attempt) -> void
{
    attempt.deadline = task::monotonicNow() + attempt.dispatch.progressTimeout;
}

} // namespace auburnspread::entry
