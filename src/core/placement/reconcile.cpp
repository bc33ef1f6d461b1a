#include "core/placement/internal/reconcile.h"

#include "core/placement/internal/explain.h"
#include "core/placement/internal/jitter.h"

#include <algorithm>

namespace auburnspread::placement::detail
{

namespace
{

using configuration::BackendServer;

auto backOff(PlacerState &state, ServerView &view, TimePoint now) -> void
{
    constexpr std::uint32_t MostDoublings = 16;
    const auto doublings = std::min(view.failures, MostDoublings);
    const auto delay = std::min(state.options.backoffFirst * (1U << doublings), state.options.backoffLongest);
    ++view.failures;
    view.nextOrderAt = now + withJitter(state.random, delay);
}

/// When orders to a backend server that does not check fencing numbers may begin in this tenure. Before it, the last
/// holder may be paused with its own count of the lease still running, or an order of its may be under way; taking
/// effect after ours, it would stay.
auto oldOrdersEndAt(const PlacerState &state) -> TimePoint
{
    return state.lease.heldSince + state.options.lease.duration + state.options.orderTime;
}

/// Whether the last report shows what an order sent now would meet.
auto isReportCurrent(const PlacerState &state, const BackendServer &server, const ServerView &view) -> bool
{
    if (!view.report || view.reportAskedAt < state.lease.heldSince) {
        return false;
    }
    return server.checksFencing || view.reportAskedAt >= oldOrdersEndAt(state);
}

/// Whether no order decided earlier can change what the last report says, other than the one that is waited for.
auto isSecured(const PlacerState &state, const BackendServer &server, const ServerView &view) -> bool
{
    if (!isReportCurrent(state, server, view) || state.leaving.contains(server.name)) {
        return false;
    }
    return !server.checksFencing || view.report->fence >= std::max(state.tenureFence, view.requiredFence);
}

auto situationOf(const PlacerState &state, const BackendServer &server) -> ServerSituation
{
    ServerSituation situation{ .wanted = &state.wanted.at(server.name) };
    const auto found = state.servers.find(server.name);
    if (found == state.servers.end() || !found->second.report || state.leaving.contains(server.name)) {
        return situation;
    }
    const auto &view = found->second;
    situation.current = &view.report->state;
    situation.secured = isSecured(state, server, view);
    if (view.order) {
        situation.usable = &view.order->kept;
    } else if (view.report->state.role == Role::Serving) {
        situation.usable = &view.report->state.variants;
    }
    return situation;
}

auto situationsOf(const PlacerState &state) -> std::vector<ServerSituation>
{
    std::vector<ServerSituation> situations;
    const auto &servers = state.document->document.backendServers;
    situations.reserve(servers.size());
    for (const auto &server : servers) {
        situations.push_back(situationOf(state, server));
    }
    return situations;
}

auto isLoading(const ServerView &view) -> bool
{
    return (view.order && view.order->needsWeights) || (view.report && !view.report->loading.empty());
}

auto countOrders(const PlacerState &state) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::count_if(state.servers, [](const auto &entry) { return entry.second.order.has_value(); }));
}

auto countLoading(const PlacerState &state) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::count_if(state.servers, [](const auto &entry) { return isLoading(entry.second); }));
}

/// Interval between reads of one backend server, stretched when there are many.
auto steadyReadInterval(const PlacerState &state) -> Duration
{
    const auto count = static_cast<Duration::rep>(state.document->document.backendServers.size());
    return std::max(state.options.readInterval, state.options.readSpacing * count);
}

auto giveUpOldCalls(PlacerState &state, Actions &actions, TimePoint now) -> void
{
    for (auto &[name, view] : state.servers) {
        if (view.read && now >= view.read->sentAt + state.options.readTimeout) {
            onServerReadFailed(state, actions, { .call = view.read->call, .backend = name }, now);
        }
        if (view.order && !view.order->settled && now >= view.order->call.sentAt + state.options.orderTime) {
            onOrderSettled(state, actions, { .call = view.order->call.call, .backend = name, .result = OrderResult::Unknown }, now);
        }
    }
}

/// Whether it is time to read this backend server. A report from before the end of the last holder's orders is of no
/// use for one that does not check, so that one is read again at once.
auto isReadDue(const PlacerState &state, const BackendServer &server, const ServerView &view, TimePoint now) -> bool
{
    if (view.read || state.leaving.contains(server.name)) {
        return false;
    }
    const bool isOutdated = view.report && !server.checksFencing && view.reportAskedAt < oldOrdersEndAt(state) && now >= oldOrdersEndAt(state);
    return isOutdated || now >= view.nextReadAt;
}

auto sendReads(PlacerState &state, Actions &actions, TimePoint now) -> void
{
    auto underWay = std::ranges::count_if(state.servers, [](const auto &entry) { return entry.second.read.has_value(); });
    for (const auto &server : state.document->document.backendServers) {
        if (underWay >= state.options.concurrentReads) {
            return;
        }
        auto &view = state.servers[server.name];
        if (!isReadDue(state, server, view, now)) {
            continue;
        }
        view.read = PendingCall{ .call = takeCall(state), .sentAt = now };
        ++underWay;
        actions.emplace_back(ReadServer{ .call = view.read->call, .backend = server.name, .address = server.address });
    }
}

auto sendOrder(PlacerState &state, Actions &actions, const BackendServer &server, ServerView &view, const ServerState &target, TimePoint now) -> void
{
    view.order = Order{ .call = { .call = takeCall(state), .sentAt = now },
                        .state = target,
                        .kept = keptDuring(view.report->state, target),
                        .needsWeights = needsWeights(view.report->state, target) };
    actions.emplace_back(SendOrder{ .call = view.order->call.call,
                                    .backend = server.name,
                                    .address = server.address,
                                    .fence = *state.lease.fence,
                                    .version = state.document->version,
                                    .state = target,
                                    .sendBefore = ordersEndAt(state.lease, state.options.lease) });
    explain(state, actions, Decision::OrderSent, server.name, describe(view.report->state) + " -> " + describe(target));
}

/// Whether orders of the last holder may still reach this backend server, which would not refuse them.
auto isHeldForOldLease(const PlacerState &state, const BackendServer &server, TimePoint now) -> bool
{
    return !server.checksFencing && now < oldOrdersEndAt(state);
}

/// Whether the backend server loads what it lacks of \p target already, on an order that this process does not wait for.
auto isOnItsWay(const ServerReport &report, const ServerState &target) -> bool
{
    auto coming = report.state;
    coming.variants.insert(report.loading.begin(), report.loading.end());
    return !report.loading.empty() && coming == target;
}

/// The state to order now, if any. A backend server that is to stay as it is may have to be told the fencing number.
auto targetOf(PlacerState &state, Actions &actions, const BackendServer &server, const ServerView &view, const Coverage &coverage) -> std::optional<ServerState>
{
    const auto situation = situationOf(state, server);
    auto choice = chooseTarget(state.options.rollout, coverage, situation);
    if (!choice.target) {
        explain(state, actions, choice.heldFor, server.name, choice.detail);
        const bool mustBeTold = server.checksFencing && !situation.secured && view.report->loading.empty();
        return mustBeTold ? std::optional(*situation.current) : std::nullopt;
    }
    if (isOnItsWay(*view.report, *choice.target)) {
        explain(state, actions, Decision::Loading, server.name, describe(*choice.target));
        return std::nullopt;
    }
    return std::move(choice.target);
}

/// Decides for one backend server. Returns whether an order was sent.
auto reconcileServer(PlacerState &state, Actions &actions, const BackendServer &server, const Coverage &coverage, TimePoint now) -> bool
{
    auto &view = state.servers[server.name];
    const bool isLeaving = state.leaving.contains(server.name);
    if (view.order || isLeaving || !view.report) {
        return false;
    }
    if (isHeldForOldLease(state, server, now)) {
        explain(state, actions, Decision::HeldForOldLease, server.name, "orders of the last holder may be under way");
        return false;
    }
    if (!isReportCurrent(state, server, view)) {
        return false;
    }
    const auto target = targetOf(state, actions, server, view, coverage);
    if (!target) {
        return false;
    }
    if (now < view.nextOrderAt) {
        explain(state, actions, Decision::HeldForBackoff, server.name, std::to_string(view.failures) + " orders failed");
        return false;
    }
    const bool loadsTooMany = needsWeights(view.report->state, *target) && countLoading(state) >= state.options.concurrentLoads;
    if (loadsTooMany) {
        explain(state, actions, Decision::HeldForLoads, server.name, "limit " + std::to_string(state.options.concurrentLoads));
        return false;
    }
    if (countOrders(state) >= state.options.concurrentOrders) {
        return false;
    }
    sendOrder(state, actions, server, view, *target, now);
    return true;
}

auto sendOrders(PlacerState &state, Actions &actions, TimePoint now) -> void
{
    auto coverage = coverageOf(state.needs, situationsOf(state));
    for (const auto &server : state.document->document.backendServers) {
        if (reconcileServer(state, actions, server, coverage, now)) {
            coverage = coverageOf(state.needs, situationsOf(state));
        }
    }
}

/// Compares a report that was asked for after the order's answer with what was ordered.
auto settleByReadBack(PlacerState &state, Actions &actions, const std::string &backend, ServerView &view, TimePoint now) -> void
{
    const auto &report = *view.report;
    if (report.state == view.order->state && report.loading.empty()) {
        view.order.reset();
        view.failures = 0;
        explain(state, actions, Decision::OrderConfirmed, backend, describe(report.state));
        return;
    }
    const bool loadsInTime = !report.loading.empty() && now < view.order->call.sentAt + state.options.loadTime;
    if (loadsInTime) {
        view.nextReadAt = now + state.options.readBackInterval;
        return;
    }
    view.order.reset();
    backOff(state, view, now);
    explain(state, actions, Decision::OrderNotTaken, backend, describe(report.state));
}

} // namespace

auto onServerRead(PlacerState &state, Actions &actions, const ServerRead &event, TimePoint now) -> void
{
    const auto found = state.servers.find(event.backend);
    if (found == state.servers.end() || !isPending(found->second.read, event.call)) {
        return;
    }
    auto &view = found->second;
    const auto askedAt = view.read->sentAt;
    state.changed = state.changed || view.report != event.report || view.order.has_value();
    view.report = event.report;
    if (view.order) {
        view.order->kept = keptDuring(event.report.state, view.order->state);
    }
    view.reportAskedAt = askedAt;
    view.read.reset();
    view.nextReadAt = now + withJitter(state.random, steadyReadInterval(state));
    if (!event.report.loading.empty()) {
        view.nextReadAt = now + state.options.readBackInterval;
    }
    if (view.order && view.order->settled) {
        settleByReadBack(state, actions, event.backend, view, now);
    }
}

auto onServerReadFailed(PlacerState &state, Actions &actions, const ServerReadFailed &event, TimePoint now) -> void
{
    const auto found = state.servers.find(event.backend);
    if (found == state.servers.end() || !isPending(found->second.read, event.call)) {
        return;
    }
    auto &view = found->second;
    state.changed = true;
    view.read.reset();
    // What it had is not known any more: it may have restarted empty, and what it was ordered to load is gone with it.
    view.report.reset();
    view.nextReadAt = now + withJitter(state.random, steadyReadInterval(state));
    explain(state, actions, Decision::ReadFailed, event.backend, "");
    if (view.order && view.order->settled) {
        view.order.reset();
        backOff(state, view, now);
    }
}

auto onOrderSettled(PlacerState &state, Actions &actions, const OrderSettled &event, TimePoint now) -> void
{
    const auto found = state.servers.find(event.backend);
    if (found == state.servers.end() || !found->second.order || found->second.order->call.call != event.call) {
        return;
    }
    auto &view = found->second;
    if (view.order->settled) {
        return;
    }
    view.order->settled = true;
    state.changed = true;
    // A report asked for before the order's answer cannot confirm it.
    view.read.reset();
    view.nextReadAt = now;
    switch (event.result) {
    case OrderResult::Accepted:
        explain(state, actions, Decision::OrderAccepted, event.backend, describe(view.order->state));
        return;
    case OrderResult::Unknown:
        // It may take effect at any later time, also after a report that does not show it. A greater number stops it.
        view.requiredFence = *state.lease.fence + 1;
        state.fenceVersion.reset();
        explain(state, actions, Decision::OrderUnknown, event.backend, describe(view.order->state));
        return;
    case OrderResult::OldFence:
        // Either another process holds the lease by now, or this one's number is too low. Writing the lock key again
        // tells which, and gives a greater number; until then nothing is ordered.
        state.fenceVersion.reset();
        explain(state, actions, Decision::Superseded, event.backend, "knows fencing number " + std::to_string(event.currentFence));
        break;
    case OrderResult::Refused:
    case OrderResult::NotSent:
        explain(state, actions, Decision::OrderFailed, event.backend, describe(view.order->state));
        break;
    }
    view.order.reset();
    backOff(state, view, now);
}

auto reconcile(PlacerState &state, Actions &actions, TimePoint now) -> void
{
    giveUpOldCalls(state, actions, now);
    if (!state.lease.fence || !state.documentConfirmed || !state.document) {
        return;
    }
    sendReads(state, actions, now);
    const bool fenceStandsForVersion = state.fenceVersion == state.document->version;
    if (state.stopping || !fenceStandsForVersion || !mayOrder(state.lease, state.options.lease, now)) {
        return;
    }
    if (!state.changed && now < state.nextPassAt) {
        return;
    }
    state.changed = false;
    state.nextPassAt = now + state.options.passInterval;
    sendOrders(state, actions, now);
}

auto hasUnsettledOrder(const PlacerState &state) -> bool
{
    return std::ranges::any_of(state.servers, [](const auto &entry) { return entry.second.order && !entry.second.order->settled; });
}

} // namespace auburnspread::placement::detail
