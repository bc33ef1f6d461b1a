#include "core/routing/router.h"

#include "core/routing/internal/arriving.h"
#include "core/routing/internal/attempts.h"
#include "core/routing/internal/catalog.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/placing.h"
#include "core/routing/internal/state.h"
#include "core/routing/internal/timers.h"

#include <utility>

namespace auburnspread::routing
{

namespace
{

/// Hands each event to the policy that answers it.
struct Handler {
    RouterState &state;
    TimePoint now;
    Actions &actions;

    auto operator()(const RequestArrived &event) const -> void
    {
        acceptRequest(state, event, now, actions);
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
        onStarted(state, event, now, actions);
    }
    auto operator()(const AttemptProgress &event) const -> void
    {
        onProgress(state, event);
    }
    auto operator()(const AttemptFinished &event) const -> void
    {
        onFinished(state, event, now, actions);
    }
    auto operator()(const AttemptFailed &event) const -> void
    {
        onFailed(state, event, now, actions);
    }
    auto operator()(const LoadReported &) const -> void {}
    auto operator()(const ProbeSettled &) const -> void {}
    auto operator()(const BackendLeaving &event) const -> void
    {
        const auto place = state.servers.find(event.backend);
        if (place != state.servers.end()) {
            place->second.leaving = event.leaving;
            state.touched.insert(place->second.routes.begin(), place->second.routes.end());
        }
    }
    auto operator()(const ClaimSettled &event) const -> void
    {
        onClaimSettled(state, event, now, actions);
    }
    auto operator()(const PeerReported &) const -> void {}
    auto operator()(const CellChanged &) const -> void {}
    auto operator()(const QuarantineHeard &) const -> void {}
    auto operator()(const ConfigurationAdopted &event) const -> void
    {
        adoptConfiguration(state, event, now, actions);
    }
    auto operator()(const DrainStarted &) const -> void
    {
        state.draining = true;
    }
    auto operator()(const Tick &) const -> void {}
};

auto classStatus(const RouterState &state, const ClassState &requestClass) -> RouterStatus::ClassStatus
{
    return {
        .requestClass = requestClass.definition.name,
        .waiting = queueing::waitingOf(state.queue, requestClass.id),
        .inFlight = requestClass.inFlight,
        .completed = requestClass.completed,
        .onTime = requestClass.onTime,
        .refused = requestClass.refused,
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
    state->options = std::move(options);
    return state;
}

auto step(RouterState &state, const Event &event, TimePoint now) -> Actions
{
    Actions actions;
    std::visit(Handler{ .state = state, .now = now, .actions = actions }, event);
    fireTimers(state, now, actions);
    dispatchWaiting(state, now, actions);
    if (state.draining && !state.drained && state.requests.empty()) {
        state.drained = true;
        actions.emplace_back(Drained{});
    }
    return actions;
}

auto takeReport(RouterState &state) -> PeerReported
{
    PeerReported report{ .entry = state.options.entry };
    for (const auto &[name, server] : state.servers) {
        if (server.inFlight > 0) {
            report.backends.push_back({ .backend = name, .inFlight = server.inFlight });
        }
    }
    return report;
}

auto statusOf(const RouterState &state) -> RouterStatus
{
    RouterStatus status{ .draining = state.draining, .wastedTokens = state.wastedTokens };
    if (state.adopted) {
        status.configurationVersion = state.adopted->version;
        status.configurationDigest = state.adopted->digest;
    }
    for (const auto &[name, requestClass] : state.classes) {
        status.classes.push_back(classStatus(state, requestClass));
    }
    for (const auto &[name, server] : state.servers) {
        status.backends.push_back({ .backend = name, .inFlight = server.inFlight, .share = server.concurrency, .leaving = server.leaving });
    }
    return status;
}

} // namespace auburnspread::routing
