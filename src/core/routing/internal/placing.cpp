#include "core/routing/internal/placing.h"

#include "core/routing/internal/choosing.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/hedging.h"
#include "core/routing/internal/suspects.h"
#include "core/routing/internal/waiting.h"

namespace auburnspread::routing
{

namespace
{

/// A kept connection may have been closed or lost by the other end without a sign. Its break looks as if the request might have run:
/// a non-repeatable request would be given up for nothing, and a suspect would seem to have crashed another server.
auto needsFreshConnection(const Request &request, const Attempt &attempt) -> bool
{
    return request.retries > 0 || !request.repeatable || attempt.alone;
}

auto send(RouterState &state, Request &request, Attempt &attempt, Actions &actions) -> void
{
    const auto &key = routeOf(state, request.route).key;
    const auto isChat = key.kind == CallKind::Chat;
    const auto &limits = state.adopted->document.limits;
    attempt.sent = true;
    attempt.sentAt = state.now;
    scheduleHedge(state, request);
    actions.emplace_back(Dispatch{
        .request = request.call.request,
        .attempt = attempt.id,
        .backend = attempt.serverName,
        .address = balancing::viewServer(*state.balancing, attempt.server).address,
        .model = isChat ? key.name : std::string(),
        .version = key.version,
        .adapter = key.adapter,
        .priority = request.requestClass->definition.tier,
        .resumeOffset = attempt.resumeOffset,
        .freshConnection = needsFreshConnection(request, attempt),
        .firstTokenTimeout = limits.firstTokenTimeout,
        .progressTimeout = limits.progressTimeout,
    });
    if (request.call.fingerprint != Fingerprint{}) {
        tellCell(quarantine::recordDispatch(state.quarantine, attempt.id, request.call.fingerprint, attempt.serverName, state.now), actions);
    }
}

/// Only a caller that gave a key can repeat the request recognisably; without one there is nothing to claim.
auto needsClaim(const Request &request) -> bool
{
    return !request.repeatable && !request.claimed && !request.call.idempotencyKey.empty();
}

} // namespace

auto place(RouterState &state, Request &request, const Placement &placement, Actions &actions) -> void
{
    state.lastAttempt += 1;
    const auto id = static_cast<AttemptId>(state.lastAttempt);
    auto &attempt = state.attempts[id];
    const auto view = balancing::viewServer(*state.balancing, placement.server);
    attempt = { .id = id,
                .request = request.call.request,
                .server = placement.server,
                .serverName = view.name,
                .failureDomain = view.failureDomain,
                .alone = placement.alone,
                .onFloor = placement.onFloor,
                .resumeOffset = resumeOffsetOf(request) };
    request.attempts.push_back(id);
    request.stage = Stage::Placed;
    request.isRetryPaid = false;
    request.requestClass->inFlight += 1;
    request.requestClass->floorInFlight += placement.onFloor ? 1 : 0;
    balancing::noteDispatched(*state.balancing, id, placement.server, attemptQuery(state, request, placement.alone), state.now);
    // The slot is held while the key is claimed. Claimed later, the request could run twice; claimed earlier, one that is then evicted
    // from the queue would leave a claim behind that bars its caller's repeat.
    if (needsClaim(request) && state.options.policy == Policy::Standard) {
        actions.emplace_back(ClaimKey{ .request = request.call.request, .workspace = request.call.workspace, .idempotencyKey = request.call.idempotencyKey });
        return;
    }
    send(state, request, attempt, actions);
}

auto sendClaimed(RouterState &state, Request &request, Actions &actions) -> void
{
    request.claimed = true;
    auto &attempt = state.attempts.at(request.attempts.front());
    const auto view = balancing::viewServer(*state.balancing, attempt.server);
    if (view.leaving || !view.inDocument) {
        // It left while the key was claimed: no new work may go there.
        cancelAttempt(state, attempt.id, actions);
        waitForSlot(state, request, actions);
        return;
    }
    // The time of the claim is none of the server's.
    balancing::noteCancelled(*state.balancing, attempt.id, state.now);
    balancing::noteDispatched(*state.balancing, attempt.id, attempt.server, attemptQuery(state, request, attempt.alone), state.now);
    send(state, request, attempt, actions);
}

} // namespace auburnspread::routing
