#include "core/balancing/internal/pools.h"
#include "core/balancing/internal/sharing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnspread::balancing
{

namespace detail
{

namespace
{

/// Reported demand falls to half in this time once the requests are gone. Without it a share would be given away
/// between two bursts a second apart and every burst would begin without slots.
constexpr double DemandHalfLifeMicros = 500'000;

/// Demand below this is none.
constexpr double LeastDemand = 0.5;

auto findEntry(State &state, std::string_view name) -> Entry *
{
    const auto found = std::find_if(state.cell.begin(), state.cell.end(), [&](const Entry &entry) { return entry.name == name; });
    return found == state.cell.end() ? nullptr : &*found;
}

auto smoothDemand(DemandTotal &demand, std::uint32_t waiting, TimePoint now) -> std::uint32_t
{
    const double elapsed = static_cast<double>((now - demand.smoothedAt).count());
    const double decayed = demand.smoothed * std::exp2(-elapsed / DemandHalfLifeMicros);
    demand.smoothed = std::max(static_cast<double>(waiting), decayed < LeastDemand ? 0 : decayed);
    demand.smoothedAt = now;
    return static_cast<std::uint32_t>(std::ceil(demand.smoothed));
}

auto setPeerUse(State &state, Entry &entry, ServerIndex index, std::uint32_t inFlight, TimePoint now) -> void
{
    auto &before = entry.inFlight[place(index)];
    if (before == inFlight) {
        return;
    }
    auto &server = serverAt(state, index);
    server.peersInFlight += inFlight - before;
    before = inFlight;
    refreshServer(state, index, now);
}

auto forgetEntry(State &state, Entry &entry, TimePoint now) -> void
{
    for (std::size_t index = 0; index < entry.inFlight.size(); ++index) {
        setPeerUse(state, entry, ServerIndex(index), 0, now);
    }
}

auto makeEntry(const State &state, std::string name) -> Entry
{
    return {
        .name = std::move(name),
        .inFlight = std::vector<std::uint32_t>(state.servers.size()),
        .waiting = std::vector<std::uint32_t>(state.demands.size()),
    };
}

} // namespace

auto forgetSilentPeers(State &state, TimePoint now) -> void
{
    for (auto &entry : state.cell) {
        if (entry.heard && !isHeard(entry, now) && entry.name != state.options.entry) {
            forgetEntry(state, entry, now);
            entry.heard = false;
        }
    }
}

} // namespace detail

auto notePeerReport(State &state, const UseReport &report, TimePoint now) -> void
{
    auto *entry = detail::findEntry(state, report.entry);
    if (entry == nullptr || report.entry == state.options.entry) {
        return;
    }
    std::vector<std::uint32_t> inFlight(state.servers.size());
    for (const auto &use : report.servers) {
        const auto server = findServer(state, use.server);
        if (server) {
            inFlight[detail::place(*server)] = use.inFlight;
        }
    }
    for (std::size_t index = 0; index < inFlight.size(); ++index) {
        detail::setPeerUse(state, *entry, ServerIndex(index), inFlight[index], now);
    }
    std::fill(entry->waiting.begin(), entry->waiting.end(), 0);
    for (const auto &demand : report.demand) {
        const auto found = state.demandsByName.find(demand.pool);
        if (found != state.demandsByName.end()) {
            entry->waiting[detail::place(found->second)] = demand.waiting;
        }
    }
    entry->heard = true;
    entry->heardAt = now;
    state.sharesDue = true;
}

auto demandName(const Query &query) -> std::string
{
    if (!query.service.empty()) {
        return std::string("service:").append(query.service);
    }
    return std::string(query.model);
}

auto takeReport(State &state, std::span<const Demand> waiting, TimePoint now) -> UseReport
{
    auto &own = state.cell[detail::ownPlace(state)];
    std::fill(own.waiting.begin(), own.waiting.end(), 0);
    for (const auto &demand : waiting) {
        const auto found = state.demandsByName.find(demand.pool);
        if (found != state.demandsByName.end()) {
            own.waiting[detail::place(found->second)] += demand.waiting;
        }
    }
    UseReport report{ .entry = state.options.entry, .servers = {}, .demand = {} };
    for (std::size_t index = 0; index < state.demands.size(); ++index) {
        auto &demand = state.demands[index];
        own.waiting[index] = detail::smoothDemand(demand, own.waiting[index], now);
        if (own.waiting[index] > 0) {
            report.demand.push_back({ .pool = demand.name, .waiting = own.waiting[index] });
        }
    }
    for (std::size_t index = 0; index < state.servers.size(); ++index) {
        const auto &server = state.servers[index];
        own.inFlight[index] = server.inFlight;
        if (server.inDocument && server.inFlight > 0) {
            report.servers.push_back({ .server = server.name, .inFlight = server.inFlight });
        }
    }
    own.heard = true;
    own.heardAt = now;
    state.sharesDue = true;
    return report;
}

auto noteCell(State &state, std::span<const std::string> entries, TimePoint now) -> void
{
    std::vector<std::string> names(entries.begin(), entries.end());
    names.push_back(state.options.entry);
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    std::vector<detail::Entry> cell;
    for (auto &name : names) {
        auto *known = detail::findEntry(state, name);
        cell.push_back(known == nullptr ? detail::makeEntry(state, name) : std::move(*known));
        if (known != nullptr) {
            known->name.clear();
        }
    }
    for (auto &entry : state.cell) {
        if (!entry.name.empty()) {
            detail::forgetEntry(state, entry, now);
        }
    }
    state.cell = std::move(cell);
    state.sharesDue = true;
    state.sharesAt = {};
    advance(state, now);
}

} // namespace auburnspread::balancing
