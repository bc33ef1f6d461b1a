#include "core/routing/router.h"

#include "core/routing/internal/arriving.h"
#include "core/routing/internal/attempts.h"
#include "core/routing/internal/catalog.h"
#include "core/routing/internal/deadlines.h"
#include "core/routing/internal/dispatching.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/reporting.h"
#include "core/routing/internal/silence.h"
#include "core/routing/internal/state.h"
#include "core/routing/internal/suspects.h"
#include "core/routing/internal/waiting.h"

#include <utility>

namespace auburnspread::routing
{

namespace
{

auto onTick(RouterState &state, Actions &actions) -> void
{
    balancing::advance(*state.balancing, state.now);
    quarantine::expire(state.quarantine, state.now);
    reviewHeld(state, actions);
    reviewWaiting(state, actions);
    touchWaiting(state);
    for (const auto server : balancing::takeProbesDue(*state.balancing, state.now)) {
        const auto view = balancing::viewServer(*state.balancing, server);
        actions.emplace_back(ProbeBackend{ .backend = view.name, .address = view.address });
    }
}

/// Hands each event to the policy that answers it.
struct Handler {
    RouterState &state;
    Actions &actions;

    auto operator()(const RequestArrived &event) const -> void
    {
        acceptRequest(state, event, actions);
    }
    auto operator()(const CallerGone &event) const -> void
    {
        const auto place = state.requests.find(event.request);
        if (place != state.requests.end()) {
            refuse(state, place->second, { .reason = Reason::CallerGone, .step = "relay" }, actions);
        }
    }
    auto operator()(const AttemptStarted &event) const -> void
    {
        onStarted(state, event, actions);
    }
    auto operator()(const AttemptProgress &event) const -> void
    {
        onProgress(state, event, actions);
    }
    auto operator()(const AttemptFinished &event) const -> void
    {
        onFinished(state, event, actions);
    }
    auto operator()(const AttemptFailed &event) const -> void
    {
        onFailed(state, event, actions);
    }
    auto operator()(const AttemptSilent &event) const -> void
    {
        onSilent(state, event, actions);
    }
    auto operator()(const LoadReported &event) const -> void
    {
        const balancing::LoadReport report{ .running = event.running, .waiting = event.waiting, .age = event.age };
        balancing::noteLoadReport(*state.balancing, event.backend, report, state.now);
    }
    auto operator()(const ProbeSettled &event) const -> void
    {
        balancing::noteProbe(*state.balancing, event.backend, event.healthy, state.now);
        touchWaiting(state);
    }
    auto operator()(const BackendLeaving &event) const -> void
    {
        balancing::noteLeaving(*state.balancing, event.backend, event.leaving, state.now);
        reviewWaiting(state, actions);
        touchWaiting(state);
    }
    auto operator()(const ClaimSettled &event) const -> void
    {
        onClaimSettled(state, event, actions);
    }
    auto operator()(const PeerReported &event) const -> void
    {
        onPeerReported(state, event);
        balancing::advance(*state.balancing, state.now);
        touchWaiting(state);
    }
    auto operator()(const CellChanged &event) const -> void
    {
        onCellChanged(state, event);
        balancing::advance(*state.balancing, state.now);
        touchWaiting(state);
    }
    auto operator()(const QuarantineHeard &event) const -> void
    {
        onQuarantineHeard(state, event, actions);
    }
    auto operator()(const ConfigurationAdopted &event) const -> void
    {
        adoptConfiguration(state, event, actions);
    }
    auto operator()(const DrainStarted &) const -> void
    {
        state.draining = true;
    }
    auto operator()(const Tick &) const -> void
    {
        onTick(state, actions);
    }
};

auto classStatus(const RouterState &state, const ClassState &requestClass, std::uint32_t waitingAside) -> RouterStatus::ClassStatus
{
    return {
        .requestClass = requestClass.definition.name,
        .waiting = queueing::waitingOf(state.queue, requestClass.id) + waitingAside,
        .inFlight = requestClass.inFlight,
        .completed = requestClass.completed,
        .onTime = requestClass.onTime,
        .refused = requestClass.refused,
    };
}

auto backendStatus(const RouterState &state, ServerIndex server) -> RouterStatus::BackendStatus
{
    const auto view = balancing::viewServer(*state.balancing, server);
    return {
        .backend = view.name,
        .inFlight = view.inFlight,
        .share = view.share,
        .ejected = view.health == balancing::Health::Ejected,
        .leaving = view.leaving,
    };
}

} // namespace

auto RouterStateDeleter::operator()(RouterState *state) const -> void
{
    delete state;
}

auto makeRouter(RouterOptions options) -> RouterStatePointer
{
    RouterStatePointer state(new RouterState);
    state->balancing = balancing::makeState({ .entry = options.entry, .failureDomain = options.failureDomain, .seed = options.seed });
    state->quarantine = quarantine::makeState({ .entry = options.entry });
    state->options = std::move(options);
    return state;
}

auto step(RouterState &state, const Event &event, TimePoint now) -> Actions
{
    Actions actions;
    state.now = now;
    std::visit(Handler{ .state = state, .actions = actions }, event);
    fireTimers(state, actions);
    dispatchWaiting(state, actions);
    if (state.draining && !state.drained && state.requests.empty()) {
        state.drained = true;
        actions.emplace_back(Drained{});
    }
    return actions;
}

auto takeReport(RouterState &state) -> PeerReported
{
    return makeReport(state);
}

auto statusOf(const RouterState &state) -> RouterStatus
{
    RouterStatus status{ .draining = state.draining, .wastedTokens = state.wastedTokens };
    if (state.adopted) {
        status.configurationVersion = state.adopted->version;
        status.configurationDigest = state.adopted->digest;
    }
    auto aside = countWaitingAside(state);
    for (const auto &[name, requestClass] : state.classes) {
        status.classes.push_back(classStatus(state, requestClass, aside[requestClass.id]));
    }
    for (const auto server : balancing::listServers(*state.balancing)) {
        status.backends.push_back(backendStatus(state, server));
    }
    for (const auto &listed : quarantine::list(state.quarantine, state.now)) {
        if (listed.quarantined) {
            status.quarantined.push_back(listed.fingerprint);
        }
    }
    return status;
}

} // namespace auburnspread::routing
