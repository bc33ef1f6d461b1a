#include "core/balancing/internal/sharing.h"

#include "core/balancing/internal/pools.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace auburnspread::balancing
{

namespace detail
{

namespace
{

/// A peer that was not heard for this long is taken to want its even part of every server: what it does is not known,
/// and neither taking its slots nor leaving it more than its part would be right for long.
constexpr Duration PeerSilence = std::chrono::seconds(2);

/// Part of a pool's slots that is held for idle entries, split evenly, so that an entry's first requests after a
/// pause need not wait for an exchange of reports.
constexpr double ReservedPart = 0.05;

/// Where one slot for each entry would hold back more than this part, nothing is reserved: in a small pool idle slots
/// cost more than an exchange of reports.
constexpr double MostReserved = 0.2;

/// Where more entries want a server than it has slots, the slots go round: each entry has its turn within as many
/// periods as there are entries.
constexpr Duration RotationPeriod = std::chrono::seconds(1);

/// What each entry of the cell claims of each server.
class Claims
{
public:
    Claims(std::size_t servers, std::size_t entries)
        : entries_(entries)
        , claims_(servers * entries)
    {
    }

    auto at(ServerIndex server, std::size_t entry) -> Claim &
    {
        return claims_[(place(server) * entries_) + entry];
    }
    auto of(ServerIndex server) -> std::span<Claim>
    {
        return std::span(claims_).subspan(place(server) * entries_, entries_);
    }

private:
    std::size_t entries_;
    std::vector<Claim> claims_;
};

auto usableServers(const State &state, const Pool &pool) -> std::vector<ServerIndex>
{
    std::vector<ServerIndex> usable;
    std::copy_if(pool.servers.begin(), pool.servers.end(), std::back_inserter(usable), [&](ServerIndex index) { return isUsable(serverAt(state, index)); });
    return usable;
}

/// Deals reserved slots out over the pool's servers, entry by entry, so that no server bears more than its part.
auto reserveInPool(const State &state, const Pool &pool, Claims &claims) -> void
{
    const auto servers = usableServers(state, pool);
    const std::size_t entries = state.cell.size();
    const auto slots = std::accumulate(
        servers.begin(), servers.end(), std::size_t{ 0 }, [&](std::size_t sum, ServerIndex index) { return sum + serverAt(state, index).concurrency; });
    if (slots == 0) {
        return;
    }
    const double even = static_cast<double>(slots) * ReservedPart / static_cast<double>(entries);
    const std::size_t each = std::clamp<std::size_t>(std::lround(even), 1, servers.size());
    if (static_cast<double>(each * entries) > static_cast<double>(slots) * MostReserved) {
        return;
    }
    for (std::size_t slot = 0; slot < each * entries; ++slot) {
        claims.at(servers[slot % servers.size()], slot / each).reserved += 1;
    }
}

/// What an entry has in flight on the servers; an entry that is not heard is taken to want its even part.
auto claimInFlight(const State &state, Claims &claims, TimePoint now) -> void
{
    for (const ServerIndex index : state.serversInOrder) {
        for (std::size_t entry = 0; entry < state.cell.size(); ++entry) {
            const auto &known = state.cell[entry];
            claims.at(index, entry).wanted = isHeard(known, now) ? known.inFlight[place(index)] : serverAt(state, index).concurrency;
        }
    }
}

/// Spreads what each entry has waiting over the servers that serve it, by their concurrency. The parts are whole and
/// add up to what waits: rounded up server by server, one waiting request would claim a slot everywhere. Each entry
/// begins to count at another place, so that small demands of several entries fall on different servers.
auto claimWaiting(const State &state, DemandIndex demand, Claims &claims) -> void
{
    std::vector<ServerIndex> servers;
    std::uint64_t total = 0;
    for (const ServerIndex index : state.serversInOrder) {
        const auto &server = serverAt(state, index);
        const bool serves = std::find(server.demands.begin(), server.demands.end(), demand) != server.demands.end();
        if (serves && isUsable(server)) {
            servers.push_back(index);
            total += server.concurrency;
        }
    }
    for (std::size_t entry = 0; entry < state.cell.size() && total > 0; ++entry) {
        const std::uint64_t waiting = state.cell[entry].waiting[place(demand)];
        std::uint64_t counted = total * entry / state.cell.size();
        for (const ServerIndex index : servers) {
            const std::uint64_t before = counted / total;
            counted += waiting * serverAt(state, index).concurrency;
            claims.at(index, entry).wanted += static_cast<std::uint32_t>((counted / total) - before);
        }
    }
}

auto collectClaims(const State &state, TimePoint now) -> Claims
{
    Claims claims(state.servers.size(), state.cell.size());
    claimInFlight(state, claims, now);
    for (std::size_t demand = 0; demand < state.demands.size(); ++demand) {
        claimWaiting(state, DemandIndex(demand), claims);
    }
    for (const auto &pool : state.pools) {
        if (!pool.hasAdapter) {
            reserveInPool(state, pool, claims);
        }
    }
    return claims;
}

/// The claim, of those that still want more, with the fewest slots; ties go by turn.
auto findPoorest(std::span<const Claim> claims, const std::vector<std::uint32_t> &shares, std::size_t first) -> std::optional<std::size_t>
{
    std::optional<std::size_t> poorest;
    for (std::size_t step = 0; step < claims.size(); ++step) {
        const std::size_t index = (first + step) % claims.size();
        if (shares[index] < claims[index].wanted && (!poorest || shares[index] < shares[*poorest])) {
            poorest = index;
        }
    }
    return poorest;
}

/// The claim that is served first when slots do not divide evenly: another one on each server. Where not every claim
/// can have a slot, it moves on with time. Entries' clocks differ, so for a moment two may take the same turn; what
/// peers have in flight still bounds what they start.
auto firstClaim(const Server &server, std::span<const Claim> claims, TimePoint now) -> std::size_t
{
    const auto wanting = std::count_if(claims.begin(), claims.end(), [](const Claim &claim) { return claim.wanted > 0; });
    const bool contended = static_cast<std::uint64_t>(wanting) > server.concurrency;
    const auto turn = contended ? static_cast<std::uint64_t>(now.time_since_epoch() / RotationPeriod) : 0;
    return (server.nameHash + turn) % claims.size();
}

} // namespace

auto isHeard(const Entry &entry, TimePoint now) -> bool
{
    return entry.heard && now - entry.heardAt < PeerSilence;
}

auto ownPlace(const State &state) -> std::size_t
{
    const auto found = std::find_if(state.cell.begin(), state.cell.end(), [&](const Entry &entry) { return entry.name == state.options.entry; });
    return static_cast<std::size_t>(found - state.cell.begin());
}

auto splitFairly(std::uint32_t concurrency, std::span<const Claim> claims, std::size_t first) -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> shares(claims.size());
    std::uint32_t left = concurrency;
    for (std::size_t step = 0; step < claims.size(); ++step) {
        const std::size_t index = (first + step) % claims.size();
        shares[index] = std::min(claims[index].reserved, left);
        left -= shares[index];
    }
    while (left > 0) {
        const auto poorest = findPoorest(claims, shares, first);
        if (!poorest) {
            break;
        }
        shares[*poorest] += 1;
        left -= 1;
    }
    const auto even = static_cast<std::uint32_t>(left / claims.size());
    const std::size_t uneven = left % claims.size();
    for (std::size_t step = 0; step < claims.size(); ++step) {
        shares[(first + step) % claims.size()] += even + (step < uneven ? 1 : 0);
    }
    return shares;
}

auto updateShares(State &state, TimePoint now) -> void
{
    forgetSilentPeers(state, now);
    const std::size_t own = ownPlace(state);
    auto claims = collectClaims(state, now);
    for (const ServerIndex index : state.serversInOrder) {
        auto &server = serverAt(state, index);
        const auto claimed = claims.of(index);
        server.share = splitFairly(server.concurrency, claimed, firstClaim(server, claimed, now))[own];
        server.reserved = claimed[own].reserved;
        refreshServer(state, index, now);
    }
    state.sharesDue = false;
    state.sharesAt = now;
}

} // namespace detail

} // namespace auburnspread::balancing
