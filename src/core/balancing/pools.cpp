#include "core/balancing/internal/pools.h"

#include <algorithm>
#include <utility>

namespace auburnspread::balancing
{

namespace detail
{

namespace
{

/// Separates the parts of a pool's key; no name contains it.
constexpr char KeySeparator = '\x1F';

/// Slots of a server on probation.
constexpr std::uint32_t ProbationLimit = 1;

/// A fraction of a slot is a whole slot for that fraction of these periods.
constexpr Duration FractionPeriod = std::chrono::seconds(1);
constexpr std::uint64_t FractionSteps = 1000;

auto makeKey(std::string_view model, std::string_view version, std::string_view adapter) -> std::string
{
    std::string key;
    key.reserve(model.size() + version.size() + adapter.size() + 2);
    key.append(model).append(1, KeySeparator).append(version).append(1, KeySeparator).append(adapter);
    return key;
}

auto makeServiceKey(std::string_view service) -> std::string
{
    return std::string(1, KeySeparator).append(service);
}

/// A slot count that a slow server gets on average: the whole part always, the fraction part of the time.
auto roundInTime(const Server &server, double slots, TimePoint now) -> std::uint32_t
{
    const auto whole = static_cast<std::uint32_t>(slots);
    const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / FractionPeriod);
    const std::uint64_t step = mixBits(server.nameHash ^ mixBits(period)) % FractionSteps;
    const double fraction = slots - whole;
    return step < static_cast<std::uint64_t>(fraction * FractionSteps) ? whole + 1 : whole;
}

auto limitOf(const Server &server, TimePoint now) -> std::uint32_t
{
    if (!isUsable(server) || server.quietAttempt) {
        return 0;
    }
    // Slots that peers still use are not ours yet, whatever the shares say: a share that moved from a peer to us is
    // taken up as the peer's requests end, so a moving share does not put more in flight than the server takes.
    const std::uint32_t unused = server.concurrency > server.peersInFlight ? server.concurrency - server.peersInFlight : 0;
    std::uint32_t limit = std::min(server.share, std::max(unused, server.reserved));
    if (server.speed < 1) {
        limit = roundInTime(server, limit * server.speed, now);
    }
    return server.health == Health::Probation ? std::min(limit, ProbationLimit) : limit;
}

auto freeOf(const Server &server) -> std::uint32_t
{
    return server.limit > server.inFlight ? server.limit - server.inFlight : 0;
}

auto removeFromFree(State &state, ServerIndex index, Membership &membership) -> void
{
    if (membership.freePlace == NotFree) {
        return;
    }
    auto &free = poolAt(state, membership.pool).groups[membership.group].free;
    const ServerIndex last = free.back();
    free[membership.freePlace] = last;
    free.pop_back();
    if (last != index) {
        findMembership(serverAt(state, last), membership.pool)->freePlace = membership.freePlace;
    }
    membership.freePlace = NotFree;
}

auto addToFree(State &state, ServerIndex index, Membership &membership) -> void
{
    if (membership.freePlace != NotFree) {
        return;
    }
    auto &free = poolAt(state, membership.pool).groups[membership.group].free;
    membership.freePlace = static_cast<std::uint32_t>(free.size());
    free.push_back(index);
}

auto updateFree(State &state, ServerIndex index, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    const bool free = freeOf(server) > 0;
    for (auto &membership : server.memberships) {
        if (free && membership.holdUntil <= now) {
            addToFree(state, index, membership);
        } else {
            removeFromFree(state, index, membership);
        }
    }
}

/// What a server adds to the sums of its pools.
struct Contribution {
    std::uint32_t usable = 0;
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t freeSlots = 0;
};

auto contributionOf(const Server &server) -> Contribution
{
    return {
        .usable = server.counted ? 1U : 0U,
        .slots = server.limit,
        .inFlight = server.inFlight,
        .freeSlots = freeOf(server),
    };
}

/// Unsigned sums wrap around, so a smaller contribution subtracts.
auto replaceContribution(State &state, const Server &server, const Contribution &before) -> void
{
    const Contribution after = contributionOf(server);
    for (const auto &membership : server.memberships) {
        auto &pool = poolAt(state, membership.pool);
        pool.usable += after.usable - before.usable;
        pool.slots += after.slots - before.slots;
        pool.inFlight += after.inFlight - before.inFlight;
        pool.freeSlots += after.freeSlots - before.freeSlots;
    }
}

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

/// The server that stays. A changed address is another server: what is known of the old one says nothing of it. The
/// name is compared too: the slot may have been given to another server of the same document already.
auto findStaying(const State &state, const ServerSpec &spec) -> std::optional<ServerIndex>
{
    const auto found = state.serversByName.find(spec.name);
    if (found == state.serversByName.end()) {
        return std::nullopt;
    }
    const auto &server = serverAt(state, found->second);
    const bool same = server.name == spec.name && server.address == spec.address;
    return same ? std::optional(found->second) : std::nullopt;
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

auto serverAt(State &state, ServerIndex index) -> Server &
{
    return state.servers[place(index)];
}

auto serverAt(const State &state, ServerIndex index) -> const Server &
{
    return state.servers[place(index)];
}

auto poolAt(State &state, PoolIndex index) -> Pool &
{
    return state.pools[place(index)];
}

auto poolAt(const State &state, PoolIndex index) -> const Pool &
{
    return state.pools[place(index)];
}

auto findPool(const State &state, const Query &query) -> std::optional<PoolIndex>
{
    const std::string key = query.service.empty() ? makeKey(query.model, query.version, query.adapter) : makeServiceKey(query.service);
    const auto found = state.poolsByKey.find(key);
    if (found == state.poolsByKey.end()) {
        return std::nullopt;
    }
    return found->second;
}

auto findMembership(const Server &server, PoolIndex pool) -> const Membership *
{
    const auto found
        = std::find_if(server.memberships.begin(), server.memberships.end(), [&](const Membership &membership) { return membership.pool == pool; });
    return found == server.memberships.end() ? nullptr : &*found;
}

auto findMembership(Server &server, PoolIndex pool) -> Membership *
{
    const Membership *found = findMembership(std::as_const(server), pool);
    return found == nullptr ? nullptr : &server.memberships[static_cast<std::size_t>(found - server.memberships.data())];
}

auto isUsable(const Server &server) -> bool
{
    return server.inDocument && !server.leaving && server.health != Health::Ejected;
}

auto refreshServer(State &state, ServerIndex index, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    const Contribution before = contributionOf(server);
    server.limit = limitOf(server, now);
    server.counted = isUsable(server);
    replaceContribution(state, server, before);
    updateFree(state, index, now);
}

auto changeInFlight(State &state, ServerIndex index, int change, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    const Contribution before = contributionOf(server);
    server.inFlight += static_cast<std::uint32_t>(change);
    replaceContribution(state, server, before);
    updateFree(state, index, now);
}

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
