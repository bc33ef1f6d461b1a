#include "core/routing/internal/reporting.h"

#include "core/routing/internal/choosing.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

auto findWorkspace(RouterState &state, const std::string &name) -> WorkspaceState *
{
    const auto place = state.workspaces.find(name);
    return place == state.workspaces.end() ? nullptr : &place->second;
}

/// Takes out what the peer had open by its last report.
auto forgetOpen(RouterState &state, PeerState &peer) -> void
{
    for (const auto &[name, open] : peer.open) {
        if (auto *workspace = findWorkspace(state, name)) {
            workspace->usage.peersOpen -= std::min(workspace->usage.peersOpen, open);
        }
    }
    peer.open.clear();
}

auto noteWorkspaces(RouterState &state, PeerState &peer, const PeerReported &event) -> void
{
    forgetOpen(state, peer);
    for (const auto &use : event.workspaces) {
        auto *workspace = findWorkspace(state, use.workspace);
        if (workspace == nullptr) {
            continue;
        }
        limits::recordPeerDemand(workspace->usage, workspace->definition, { .requests = use.requests, .tokens = use.tokens }, state.now);
        workspace->usage.peersOpen += use.inFlight;
        peer.open[use.workspace] += use.inFlight;
    }
}

auto noteServers(RouterState &state, const PeerReported &event) -> void
{
    balancing::UseReport report{ .entry = event.entry };
    report.servers.reserve(event.backends.size());
    report.demand.reserve(event.demand.size());
    for (const auto &use : event.backends) {
        report.servers.push_back({ .server = use.backend, .inFlight = use.inFlight });
    }
    for (const auto &demand : event.demand) {
        report.demand.push_back({ .pool = demand.model, .waiting = demand.waiting });
    }
    balancing::notePeerReport(*state.balancing, report, state.now);
}

/// What waits, and what would wait had it not been refused for want of slots: an entry that refuses early has a short
/// queue, and without this its peers would never leave it the slots that it lacks.
auto collectDemand(RouterState &state) -> std::vector<balancing::Demand>
{
    std::map<std::string, std::uint32_t> waiting;
    for (std::size_t index = 0; index < state.routes.size(); ++index) {
        auto &route = state.routes.at(index);
        const auto parked = static_cast<std::uint32_t>(route.parked.size());
        const auto count = queueing::waitingOn(state.queue, static_cast<RouteId>(index)) + parked + route.unmet;
        route.unmet = 0;
        if (count > 0) {
            waiting[balancing::demandName(queryOf(route))] += count;
        }
    }
    std::vector<balancing::Demand> demand;
    demand.reserve(waiting.size());
    for (const auto &[name, count] : waiting) {
        demand.push_back({ .pool = name, .waiting = count });
    }
    return demand;
}

auto reportWorkspaces(RouterState &state, PeerReported &report) -> void
{
    for (auto &[name, workspace] : state.activeWorkspaces) {
        const auto demand = limits::takeDemand(workspace->usage, state.now);
        report.workspaces.push_back({ .workspace = name, .requests = demand.requests, .tokens = demand.tokens, .inFlight = workspace->usage.open });
    }
    std::erase_if(state.activeWorkspaces, [](const auto &entry) { return entry.second->usage.open == 0; });
}

} // namespace

auto onPeerReported(RouterState &state, const PeerReported &event) -> void
{
    // A late report of an entry that left would count its requests as open for ever.
    const auto peer = state.peers.find(event.entry);
    if (peer == state.peers.end()) {
        return;
    }
    noteWorkspaces(state, peer->second, event);
    noteServers(state, event);
}

auto onCellChanged(RouterState &state, const CellChanged &event) -> void
{
    state.entries = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(event.entries.size()));
    std::map<std::string, PeerState> peers;
    for (const auto &entry : event.entries) {
        if (entry != state.options.entry) {
            peers[entry] = std::move(state.peers[entry]);
            state.peers.erase(entry);
        }
    }
    for (auto &[entry, left] : state.peers) {
        forgetOpen(state, left);
    }
    state.peers = std::move(peers);
    balancing::noteCell(*state.balancing, event.entries, state.now);
}

auto makeReport(RouterState &state) -> PeerReported
{
    PeerReported report{ .entry = state.options.entry };
    const auto use = balancing::takeReport(*state.balancing, collectDemand(state), state.now);
    for (const auto &server : use.servers) {
        report.backends.push_back({ .backend = server.server, .inFlight = server.inFlight });
    }
    for (const auto &demand : use.demand) {
        report.demand.push_back({ .model = demand.pool, .waiting = demand.waiting });
    }
    reportWorkspaces(state, report);
    return report;
}

} // namespace auburnspread::routing
