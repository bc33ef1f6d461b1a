#include "core/placement/placer.h"

#include "core/placement/internal/explain.h"
#include "core/placement/internal/jitter.h"
#include "core/placement/internal/reconcile.h"

#include <algorithm>
#include <utility>

namespace auburnspread::placement
{

namespace
{

using detail::explain;
using detail::isPending;
using detail::takeCall;

/// Forgets what was learnt under a lease that is over: backend servers may have got another holder's orders since.
auto endTenure(PlacerState &state, Actions &actions, Decision decision, const std::string &detail, TimePoint now) -> void
{
    dropLease(state.lease, now);
    state.documentConfirmed = false;
    state.documentCall.reset();
    state.fenceVersion.reset();
    state.fenceVersionAsked.reset();
    state.servers.clear();
    state.explained.clear();
    explain(state, actions, decision, "", detail);
}

auto on(PlacerState &state, Actions &actions, const LeaseGranted &event, TimePoint now) -> void
{
    if (!isPending(state.lease.pending, event.call)) {
        return;
    }
    const bool isNewTenure = grantLease(state.lease, state.options.lease, event.fence, now);
    state.fenceVersion = std::exchange(state.fenceVersionAsked, std::nullopt);
    if (!isNewTenure) {
        return;
    }
    state.tenureFence = event.fence;
    state.documentConfirmed = false;
    state.documentCall.reset();
    state.nextDocumentReadAt = now;
    explain(state, actions, Decision::LeaseAcquired, "", "fencing number " + std::to_string(event.fence));
}

auto on(PlacerState &state, Actions & /*actions*/, const LeaseRenewed &event, TimePoint now) -> void
{
    if (isPending(state.lease.pending, event.call)) {
        renewLease(state.lease, state.options.lease, now);
    }
}

auto on(PlacerState &state, Actions &actions, const LeaseFailed &event, TimePoint now) -> void
{
    if (!isPending(state.lease.pending, event.call)) {
        return;
    }
    state.lease.pending.reset();
    state.fenceVersionAsked.reset();
    if (!state.lease.fence) {
        // Many processes stand by; the longer interval and the jitter keep their calls apart.
        state.lease.nextCallAt = now + detail::withJitter(state.random, state.options.lease.standbyInterval);
        if (event.failure == LeaseFailure::HeldElsewhere) {
            explain(state, actions, Decision::LeaseHeldElsewhere, "", "");
        }
        return;
    }
    if (event.failure == LeaseFailure::Unknown) {
        // The platform's service is out or slow: the lease runs on until its own count ends.
        state.lease.nextCallAt = now + state.options.lease.retryInterval;
        state.lease.nextWriteAt = state.lease.nextCallAt;
        return;
    }
    const bool elsewhere = event.failure == LeaseFailure::HeldElsewhere;
    endTenure(state, actions, Decision::LeaseLost, elsewhere ? "another process holds the lease" : "the session is gone", now);
}

/// Keeps views of backend servers that are still in the document. A new document gives failed orders a fresh start.
auto resetViews(PlacerState &state) -> void
{
    const auto &servers = state.document->document.backendServers;
    std::erase_if(state.servers,
                  [&](const auto &entry) { return std::ranges::find(servers, entry.first, &configuration::BackendServer::name) == servers.end(); });
    for (auto &[name, view] : state.servers) {
        view.failures = 0;
        view.nextOrderAt = TimePoint{};
    }
}

auto takeDocument(PlacerState &state, Actions &actions, std::shared_ptr<const configuration::AdoptedDocument> document) -> void
{
    if (state.document && document->version < state.document->version) {
        explain(state,
                actions,
                Decision::DocumentOlder,
                "",
                "version " + std::to_string(document->version) + " read, " + std::to_string(state.document->version) + " in force");
        return;
    }
    if (state.document && document->version == state.document->version) {
        return;
    }
    state.document = std::move(document);
    state.needs = needsOf(state.document->document);
    state.wanted.clear();
    for (const auto &server : state.document->document.backendServers) {
        state.wanted[server.name] = wantedState(server);
    }
    resetViews(state);
    explain(state, actions, Decision::DocumentTaken, "", "version " + std::to_string(state.document->version));
}

auto on(PlacerState &state, Actions &actions, const DocumentRead &event, TimePoint /*now*/) -> void
{
    if (event.document) {
        takeDocument(state, actions, event.document);
    }
    if (!isPending(state.documentCall, event.call)) {
        return;
    }
    state.documentCall.reset();
    state.documentConfirmed = state.document != nullptr;
    if (state.documentConfirmed && state.lease.fence) {
        // No order has left under this number yet, so it may stand for this version without another write.
        state.fenceVersion = state.document->version;
    }
}

auto on(PlacerState &state, Actions &actions, const DocumentReadFailed &event, TimePoint now) -> void
{
    if (!isPending(state.documentCall, event.call)) {
        return;
    }
    state.documentCall.reset();
    state.nextDocumentReadAt = now + state.options.lease.retryInterval;
    explain(state, actions, Decision::DocumentMissing, "", "");
}

auto on(PlacerState &state, Actions &actions, const ServerRead &event, TimePoint now) -> void
{
    detail::onServerRead(state, actions, event, now);
}

auto on(PlacerState &state, Actions &actions, const ServerReadFailed &event, TimePoint now) -> void
{
    detail::onServerReadFailed(state, actions, event, now);
}

auto on(PlacerState &state, Actions &actions, const OrderSettled &event, TimePoint now) -> void
{
    detail::onOrderSettled(state, actions, event, now);
}

auto on(PlacerState &state, Actions & /*actions*/, const BackendLeaving &event, TimePoint now) -> void
{
    if (event.leaving) {
        state.leaving.insert(event.backend);
        return;
    }
    const bool wasLeaving = state.leaving.erase(event.backend) > 0;
    if (const auto found = state.servers.find(event.backend); wasLeaving && found != state.servers.end()) {
        // A new VM of this name starts empty.
        found->second.report.reset();
        found->second.nextReadAt = now;
    }
}

auto on(PlacerState &state, Actions & /*actions*/, const StopRequested & /*event*/, TimePoint /*now*/) -> void
{
    state.stopping = true;
}

auto on(PlacerState & /*state*/, Actions & /*actions*/, const Tick & /*event*/, TimePoint /*now*/) -> void {}

auto sendLeaseCall(PlacerState &state, TimePoint now) -> CallId
{
    state.lease.pending = PendingCall{ .call = takeCall(state), .sentAt = now };
    return state.lease.pending->call;
}

auto needsNewFence(const PlacerState &state) -> bool
{
    return state.lease.fence && state.documentConfirmed && state.fenceVersion != state.document->version;
}

auto driveLease(PlacerState &state, Actions &actions, TimePoint now) -> void
{
    const auto &options = state.options.lease;
    if (state.lease.pending && now >= state.lease.pending->sentAt + options.callTimeout) {
        on(state, actions, LeaseFailed{ .call = state.lease.pending->call, .failure = LeaseFailure::Unknown }, now);
    }
    if (state.lease.pending || state.stopping) {
        return;
    }
    if (needsNewFence(state) && now >= state.lease.nextWriteAt) {
        state.fenceVersionAsked = state.document->version;
        actions.emplace_back(AcquireLease{ .call = sendLeaseCall(state, now) });
        return;
    }
    if (now < state.lease.nextCallAt) {
        return;
    }
    const auto call = sendLeaseCall(state, now);
    if (state.lease.fence) {
        actions.emplace_back(RenewLease{ .call = call });
    } else {
        actions.emplace_back(AcquireLease{ .call = call });
    }
}

auto driveDocument(PlacerState &state, Actions &actions, TimePoint now) -> void
{
    if (state.documentCall && now >= state.documentCall->sentAt + state.options.lease.callTimeout) {
        on(state, actions, DocumentReadFailed{ .call = state.documentCall->call }, now);
    }
    if (!state.lease.fence || state.documentConfirmed || state.documentCall || now < state.nextDocumentReadAt) {
        return;
    }
    state.documentCall = PendingCall{ .call = takeCall(state), .sentAt = now };
    actions.emplace_back(ReadDocument{ .call = state.documentCall->call });
}

auto driveStop(PlacerState &state, Actions &actions) -> void
{
    if (!state.stopping || state.stopped || detail::hasUnsettledOrder(state)) {
        return;
    }
    state.stopped = true;
    if (state.lease.fence) {
        actions.emplace_back(ReleaseLease{});
    }
    actions.emplace_back(Stopped{});
}

} // namespace

auto makePlacer(const PlacerOptions &options) -> PlacerState
{
    PlacerState state;
    state.random = options.seed;
    state.options = options;
    return state;
}

auto step(PlacerState &state, const Event &event, TimePoint now) -> Actions
{
    Actions actions;
    // First of all: after a pause nothing may be done on the strength of a lease that ended meanwhile.
    if (hasExpired(state.lease, now)) {
        endTenure(state, actions, Decision::LeaseExpired, "not renewed in time", now);
    }
    std::visit([&](const auto &concrete) { on(state, actions, concrete, now); }, event);
    const bool mayChangeNothing = std::holds_alternative<Tick>(event) || std::holds_alternative<ServerRead>(event);
    state.changed = state.changed || !mayChangeNothing;
    if (hasExpired(state.lease, now)) {
        endTenure(state, actions, Decision::LeaseExpired, "granted too late", now);
    }
    driveLease(state, actions, now);
    driveDocument(state, actions, now);
    detail::reconcile(state, actions, now);
    driveStop(state, actions);
    return actions;
}

auto statusOf(const PlacerState &state, TimePoint now) -> PlacerStatus
{
    PlacerStatus status;
    status.holdsLease = state.lease.fence.has_value() && !hasExpired(state.lease, now);
    status.fence = state.lease.fence.value_or(0);
    if (!state.document) {
        return status;
    }
    status.version = state.document->version;
    for (const auto &server : state.document->document.backendServers) {
        PlacerStatus::ServerStatus line{ .backend = server.name, .wanted = describe(wantedState(server)) };
        if (const auto view = state.servers.find(server.name); view != state.servers.end()) {
            line.failures = view->second.failures;
            if (view->second.report) {
                line.state = describe(view->second.report->state);
                status.converged += view->second.report->state == wantedState(server) ? 1 : 0;
            }
        }
        if (const auto last = state.explained.find(server.name); last != state.explained.end()) {
            line.decision = decisionName(last->second.decision);
            line.detail = last->second.detail;
        }
        status.servers.push_back(std::move(line));
    }
    return status;
}

} // namespace auburnspread::placement
