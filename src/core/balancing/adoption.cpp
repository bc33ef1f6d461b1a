#include "core/balancing/internal/pools.h"

#include <algorithm>
#include <utility>

namespace auburnspread::balancing
{

namespace detail
{

namespace
{

auto internDemand(State &state, std::string name) -> DemandIndex
{
    const auto [found, added] = state.demandsByName.try_emplace(std::move(name), DemandIndex(state.demands.size()));
    if (added) {
        state.demands.push_back({ .name = found->first });
        for (auto &entry : state.cell) {
            entry.waiting.resize(state.demands.size());
        }
    }
    return found->second;
}

auto internPool(State &state, std::string key) -> PoolIndex
{
    const auto [found, added] = state.poolsByKey.try_emplace(std::move(key), PoolIndex(state.pools.size()));
    if (added) {
        state.pools.emplace_back().base = found->second;
    }
    return found->second;
}

/// What the document says of one server, engine or plain service alike.
struct ServerSpec {
    std::string_view name;
    std::string_view address;
    std::string_view failureDomain;
    std::uint32_t concurrency = 0;
    bool canResume = false;
    bool honoursPriority = false;
    std::vector<PoolIndex> pools;
    std::vector<DemandIndex> demands;
};

auto addUnique(std::vector<DemandIndex> &demands, DemandIndex demand) -> void
{
    if (std::find(demands.begin(), demands.end(), demand) == demands.end()) {
        demands.push_back(demand);
    }
}

auto addModel(State &state, ServerSpec &spec, const configuration::ServedModel &model) -> void
{
    const PoolIndex base = internPool(state, makeKey(model.model, model.version, {}));
    spec.pools.push_back(base);
    for (const auto &adapter : model.adapters) {
        const PoolIndex pool = internPool(state, makeKey(model.model, model.version, adapter));
        poolAt(state, pool).hasAdapter = true;
        poolAt(state, pool).base = base;
        spec.pools.push_back(pool);
    }
    addUnique(spec.demands, internDemand(state, demandName({ .model = model.model })));
}

auto specsOf(State &state, const configuration::Document &document) -> std::vector<ServerSpec>
{
    std::vector<ServerSpec> specs;
    for (const auto &engine : document.backendServers) {
        auto &spec = specs.emplace_back(ServerSpec{ .name = engine.name,
                                                    .address = engine.address,
                                                    .failureDomain = engine.failureDomain,
                                                    .concurrency = engine.concurrency,
                                                    .canResume = engine.canResume,
                                                    .honoursPriority = engine.honoursPriority });
        for (const auto &model : engine.models) {
            addModel(state, spec, model);
        }
    }
    for (const auto &service : document.services) {
        const PoolIndex pool = internPool(state, makeServiceKey(service.name));
        const DemandIndex demand = internDemand(state, demandName({ .service = service.name }));
        for (const auto &server : service.servers) {
            specs.push_back({ .name = server.name,
                              .address = server.address,
                              .failureDomain = server.failureDomain,
                              .concurrency = server.concurrency,
                              .pools = { pool },
                              .demands = { demand } });
        }
    }
    std::sort(specs.begin(), specs.end(), [](const ServerSpec &left, const ServerSpec &right) { return left.name < right.name; });
    return specs;
}

/// A slot of a server that left and has nothing in flight any more, else a new one.
auto makeServer(State &state) -> ServerIndex
{
    const auto retired
        = std::find_if(state.servers.begin(), state.servers.end(), [](const Server &server) { return !server.inDocument && server.inFlight == 0; });
    if (retired == state.servers.end()) {
        state.servers.emplace_back();
        for (auto &entry : state.cell) {
            entry.inFlight.resize(state.servers.size());
        }
        return ServerIndex(state.servers.size() - 1);
    }
    *retired = Server{};
    const auto index = static_cast<std::size_t>(retired - state.servers.begin());
    for (auto &entry : state.cell) {
        entry.inFlight[index] = 0;
    }
    return ServerIndex(index);
}

auto isSame(const Server &server, const ServerSpec &spec) -> bool
{
    return server.name == spec.name && server.address == spec.address;
}

/// A server that left the document with requests in flight and is back before they ended. As a new one it would seem
/// idle and be given its whole concurrency again.
auto findReturning(const State &state, const ServerSpec &spec) -> std::optional<ServerIndex>
{
    const auto found
        = std::find_if(state.servers.begin(), state.servers.end(), [&](const Server &server) { return server.inFlight > 0 && isSame(server, spec); });
    if (found == state.servers.end()) {
        return std::nullopt;
    }
    return ServerIndex(found - state.servers.begin());
}

/// The server that stays. A changed address is another server: what is known of the old one says nothing of it. The
/// name is compared too: the slot may have been given to another server of the same document already.
auto findStaying(const State &state, const ServerSpec &spec) -> std::optional<ServerIndex>
{
    const auto found = state.serversByName.find(spec.name);
    if (found != state.serversByName.end() && isSame(serverAt(state, found->second), spec)) {
        return found->second;
    }
    return findReturning(state, spec);
}

auto internServer(State &state, const ServerSpec &spec) -> ServerIndex
{
    const auto staying = findStaying(state, spec);
    if (staying) {
        return *staying;
    }
    const ServerIndex index = makeServer(state);
    auto &server = serverAt(state, index);
    server.name = spec.name;
    server.address = spec.address;
    server.nameHash = hashName(spec.name);
    server.fractionSeed = mixBits(server.nameHash ^ hashName(state.options.entry));
    return index;
}

auto groupOf(Pool &pool, std::string_view failureDomain) -> std::uint32_t
{
    const auto found = std::find_if(pool.groups.begin(), pool.groups.end(), [&](const Group &group) { return group.failureDomain == failureDomain; });
    if (found != pool.groups.end()) {
        return static_cast<std::uint32_t>(found - pool.groups.begin());
    }
    pool.groups.push_back({ .failureDomain = std::string(failureDomain), .free = {} });
    return static_cast<std::uint32_t>(pool.groups.size() - 1);
}

/// Servers that stay are marked before a new one looks for a free slot among those that left.
auto markStaying(State &state, const std::vector<ServerSpec> &specs) -> void
{
    for (const auto &spec : specs) {
        const auto staying = findStaying(state, spec);
        if (staying) {
            serverAt(state, *staying).inDocument = true;
        }
    }
}

auto joinPools(State &state, ServerIndex index, const ServerSpec &spec) -> void
{
    auto &server = serverAt(state, index);
    std::vector<Membership> memberships;
    for (const PoolIndex poolIndex : spec.pools) {
        auto &pool = poolAt(state, poolIndex);
        pool.servers.push_back(index);
        auto &membership = memberships.emplace_back();
        const Membership *before = findMembership(server, poolIndex);
        if (before != nullptr) {
            membership = *before;
        }
        membership.pool = poolIndex;
        membership.group = groupOf(pool, spec.failureDomain);
        membership.freePlace = NotFree;
    }
    server.memberships = std::move(memberships);
    server.demands = spec.demands;
}

/// Empties pools and sums; what the servers know of themselves stays.
auto dissolvePools(State &state) -> std::vector<std::vector<ServerIndex>>
{
    std::vector<std::vector<ServerIndex>> before;
    for (auto &pool : state.pools) {
        before.push_back(std::move(pool.servers));
        pool.servers.clear();
        pool.groups.clear();
        pool.usable = 0;
        pool.slots = 0;
        pool.inFlight = 0;
        pool.freeSlots = 0;
    }
    for (auto &server : state.servers) {
        server.inDocument = false;
        server.limit = 0;
        server.counted = false;
    }
    return before;
}

auto forgetChangedAffinity(State &state, const std::vector<std::vector<ServerIndex>> &before) -> void
{
    for (std::size_t index = 0; index < state.pools.size(); ++index) {
        auto &pool = state.pools[index];
        if (index >= before.size() || pool.servers != before[index]) {
            pool.affinity = {};
        }
    }
}

} // namespace

} // namespace detail

auto adopt(State &state, const configuration::Document &document, TimePoint now) -> void
{
    state.ejectedSharePercent = document.limits.ejectedSharePercent;
    const auto specs = detail::specsOf(state, document);
    const auto serversBefore = detail::dissolvePools(state);
    detail::markStaying(state, specs);
    state.serversInOrder.clear();
    detail::NameMap<ServerIndex> names;
    for (const auto &spec : specs) {
        const ServerIndex index = detail::internServer(state, spec);
        auto &server = detail::serverAt(state, index);
        server.inDocument = true;
        server.failureDomain = spec.failureDomain;
        server.concurrency = spec.concurrency;
        server.canResume = spec.canResume;
        server.honoursPriority = spec.honoursPriority;
        detail::joinPools(state, index, spec);
        names.emplace(spec.name, index);
        state.serversInOrder.push_back(index);
    }
    state.serversByName = std::move(names);
    detail::forgetChangedAffinity(state, serversBefore);
    for (auto &server : state.servers) {
        if (!server.inDocument) {
            server.memberships.clear();
            server.demands.clear();
        }
    }
    // Sums were emptied above: each server is counted anew, first without slots, then by its share.
    for (std::size_t index = 0; index < state.servers.size(); ++index) {
        const auto &server = state.servers[index];
        for (const auto &membership : server.memberships) {
            detail::poolAt(state, membership.pool).inFlight += server.inFlight;
        }
        detail::refreshServer(state, ServerIndex(index), now);
    }
    state.sharesDue = true;
    state.sharesAt = {};
    advance(state, now);
}

} // namespace auburnspread::balancing
