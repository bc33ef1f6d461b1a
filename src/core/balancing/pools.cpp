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

/// A slot count that a slow server gets on average: the whole part always, the fraction part of the time, at another
/// time for each entry.
auto roundInTime(const Server &server, double slots, TimePoint now) -> std::uint32_t
{
    const auto whole = static_cast<std::uint32_t>(slots);
    const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / FractionPeriod);
    const std::uint64_t step = mixBits(server.fractionSeed ^ mixBits(period)) % FractionSteps;
    const double fraction = slots - whole;
    return step < static_cast<std::uint64_t>(fraction * FractionSteps) ? whole + 1 : whole;
}

auto limitOf(const Server &server, TimePoint now) -> std::uint32_t
{
    if (!isUsable(server) || server.quietAttempt || now < server.pausedUntil) {
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

} // namespace

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

} // namespace auburnspread::balancing
