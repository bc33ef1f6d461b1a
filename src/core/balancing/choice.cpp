#include "core/balancing/internal/choice.h"

#include "core/balancing/internal/pools.h"
#include "core/balancing/internal/sharing.h"

#include <algorithm>
#include <limits>

namespace auburnspread::balancing
{

namespace detail
{

namespace
{

/// A server keeps its prefixes while its use is at most this multiple of the pool's mean use; beyond it they spill to
/// the next rank, so that a prefix that everybody sends makes no hot spot.
constexpr double AffinityBound = 1.25;

/// A report counts while it is younger than this, its own age included.
constexpr Duration ReportLifetime = std::chrono::seconds(2);

/// What a report can add to a score at most: reports lag and lie, own requests in flight weigh more.
constexpr double ReportWeight = 0.5;

/// Servers of other failure domains cost this much more: enough to break ties, not enough to load one domain unevenly.
constexpr double FarCost = 0.1;

/// A suspect server, or one on probation for a request of a top tier, is taken only if the other candidate is worse.
constexpr double DoubtCost = 1;
constexpr int TopTiers = 2;

/// A quiet server has at most this part of its concurrency in flight.
constexpr double QuietPart = 0.5;

/// Draws that may hit an avoided server before all free ones are looked at.
constexpr int Draws = 4;

auto contains(std::span<const ServerIndex> servers, ServerIndex server) -> bool
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

auto isAvoided(const Query &query, std::string_view failureDomain) -> bool
{
    return std::find(query.avoidFailureDomains.begin(), query.avoidFailureDomains.end(), failureDomain) != query.avoidFailureDomains.end();
}

/// Load that neither this entry nor its peers know of: another cell's, or left behind by an entry that died.
auto reportedExcess(const Server &server, TimePoint now) -> double
{
    if (!server.hasReport || now - server.reportedAt + server.report.age >= ReportLifetime) {
        return 0;
    }
    const std::uint64_t reported = std::uint64_t{ server.report.running } + server.report.waiting;
    const std::uint64_t known = std::uint64_t{ server.inFlight } + server.peersInFlight;
    const double excess = reported > known ? static_cast<double>(reported - known) : 0;
    return ReportWeight * std::min(1.0, excess / std::max<std::uint32_t>(server.concurrency, 1));
}

auto paceRatio(const Pool &pool, const Membership &membership) -> double
{
    const auto &pace = membership.timing.tokenPace;
    if (pool.tokenPace.micros <= 0 || pace.samples == 0) {
        return 1;
    }
    return std::max(1.0, pace.micros / pool.tokenPace.micros);
}

auto useAfterOneMore(const Server &server) -> double
{
    return (server.inFlight + 1.0) / std::max<std::uint32_t>(server.limit, 1);
}

/// The free servers of a pool that a query may go to, seen as one list.
struct Candidates {
    const Pool *pool = nullptr;
    const Query *query = nullptr;
    bool avoidDomains = false;
    std::size_t count = 0;
};

auto isOpen(const Candidates &candidates, const Group &group) -> bool
{
    return !candidates.avoidDomains || !isAvoided(*candidates.query, group.failureDomain);
}

auto makeCandidates(const Pool &pool, const Query &query, bool avoidDomains) -> Candidates
{
    Candidates candidates{ .pool = &pool, .query = &query, .avoidDomains = avoidDomains, .count = 0 };
    for (const auto &group : pool.groups) {
        candidates.count += isOpen(candidates, group) ? group.free.size() : 0;
    }
    return candidates;
}

auto candidateAt(const Candidates &candidates, std::size_t place) -> ServerIndex
{
    for (const auto &group : candidates.pool->groups) {
        if (!isOpen(candidates, group)) {
            continue;
        }
        if (place < group.free.size()) {
            return group.free[place];
        }
        place -= group.free.size();
    }
    return candidates.pool->servers.front();
}

auto drawServer(State &state, const Candidates &candidates) -> std::optional<ServerIndex>
{
    for (int draw = 0; draw < Draws; ++draw) {
        const ServerIndex server = candidateAt(candidates, drawBelow(state.generator, candidates.count));
        if (!contains(candidates.query->avoidServers, server)) {
            return server;
        }
    }
    const std::size_t first = drawBelow(state.generator, candidates.count);
    for (std::size_t step = 0; step < candidates.count; ++step) {
        const ServerIndex server = candidateAt(candidates, (first + step) % candidates.count);
        if (!contains(candidates.query->avoidServers, server)) {
            return server;
        }
    }
    return std::nullopt;
}

auto scoreOf(const State &state, PoolIndex poolIndex, ServerIndex index, const Query &query, TimePoint now) -> double
{
    const auto &server = serverAt(state, index);
    const PoolIndex base = poolAt(state, poolIndex).base;
    const Membership *membership = findMembership(server, base);
    return scoreServer(state, server, poolAt(state, base), *membership, query.tier, now);
}

/// Power of two choices: the better of two drawn at random. Entries that see the same stale picture still go to
/// different servers, which the least-loaded choice would not.
auto chooseOfTwo(State &state, PoolIndex pool, const Candidates &candidates, TimePoint now) -> std::optional<ServerIndex>
{
    if (candidates.count == 0) {
        return std::nullopt;
    }
    const auto first = drawServer(state, candidates);
    if (!first || candidates.count == 1) {
        return first;
    }
    const auto second = drawServer(state, candidates);
    const double firstScore = scoreOf(state, pool, *first, *candidates.query, now);
    const double secondScore = scoreOf(state, pool, *second, *candidates.query, now);
    return secondScore < firstScore ? second : first;
}

auto buildAffinity(State &state, Pool &pool) -> void
{
    pool.affinity.reserve(AffinityBuckets);
    for (std::uint64_t bucket = 0; bucket < AffinityBuckets; ++bucket) {
        pool.affinity.push_back(rankByRendezvous(state, pool, bucket));
    }
}

auto keepsPrefix(const Server &server, const Membership &membership, const Pool &pool) -> bool
{
    if (membership.freePlace == NotFree || server.health != Health::Healthy || server.speed < 1) {
        return false;
    }
    const double meanUse = (pool.inFlight + 1.0) / std::max<std::uint32_t>(pool.slots, 1);
    return server.inFlight == 0 || useAfterOneMore(server) <= AffinityBound * meanUse;
}

auto chooseByPrefix(State &state, PoolIndex poolIndex, const Query &query) -> std::optional<ServerIndex>
{
    auto &pool = poolAt(state, poolIndex);
    if (query.prefixHash == 0 || pool.servers.empty()) {
        return std::nullopt;
    }
    if (pool.affinity.empty()) {
        buildAffinity(state, pool);
    }
    for (const ServerIndex index : pool.affinity[mixBits(query.prefixHash) % AffinityBuckets]) {
        const auto &server = serverAt(state, index);
        const bool avoided = contains(query.avoidServers, index) || isAvoided(query, server.failureDomain);
        if (!avoided && keepsPrefix(server, *findMembership(server, poolIndex), pool)) {
            return index;
        }
    }
    return std::nullopt;
}

/// Whether suspects of this entry may run on the pool's server at \p place.
///
/// After a crash several entries retry their suspects at the same moment. If a killer and a harmless suspect met on one
/// server, the harmless one would be present at two crashes and be quarantined with it. So each server takes suspects
/// of one entry only, by turns in the order of names, the same on every entry; of one entry it takes one at a time.
/// In a pool with fewer servers than entries the rest of the entries share.
auto takesOurSuspects(const State &state, const Pool &pool, std::size_t place) -> bool
{
    const std::size_t own = ownPlace(state);
    return own >= pool.servers.size() || place % state.cell.size() == own;
}

auto chooseQuiet(State &state, PoolIndex poolIndex, const Query &query) -> std::optional<ServerIndex>
{
    const auto &pool = poolAt(state, poolIndex);
    std::vector<ServerIndex> quiet;
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t place = 0; place < pool.servers.size(); ++place) {
        const ServerIndex index = pool.servers[place];
        const auto &server = serverAt(state, index);
        const std::uint32_t load = server.inFlight + server.peersInFlight;
        const bool open = findMembership(server, poolIndex)->freePlace != NotFree && !contains(query.avoidServers, index);
        if (!open || !takesOurSuspects(state, pool, place) || load > QuietPart * server.concurrency || load > least) {
            continue;
        }
        if (load < least) {
            quiet.clear();
        }
        least = load;
        quiet.push_back(index);
    }
    if (quiet.empty()) {
        return std::nullopt;
    }
    return quiet[drawBelow(state.generator, quiet.size())];
}

} // namespace

auto rankByRendezvous(const State &state, const Pool &pool, std::uint64_t bucket) -> AffinityRow
{
    AffinityRow row;
    row.fill(pool.servers.front());
    std::array<std::uint64_t, AffinityRanks> weights{};
    const std::uint64_t seed = mixBits(bucket);
    for (const ServerIndex index : pool.servers) {
        std::uint64_t weight = mixBits(serverAt(state, index).nameHash ^ seed);
        ServerIndex server = index;
        for (std::size_t rank = 0; rank < AffinityRanks; ++rank) {
            if (weight > weights[rank]) {
                std::swap(weight, weights[rank]);
                std::swap(server, row[rank]);
            }
        }
    }
    return row;
}

auto scoreServer(const State &state, const Server &server, const Pool &pool, const Membership &membership, int tier, TimePoint now) -> double
{
    double score = (useAfterOneMore(server) * paceRatio(pool, membership)) + reportedExcess(server, now);
    if (server.failureDomain != state.options.failureDomain) {
        score += FarCost;
    }
    if (server.health == Health::Suspect || (server.health == Health::Probation && tier < TopTiers)) {
        score += DoubtCost;
    }
    return score;
}

} // namespace detail

auto chooseServer(State &state, const Query &query, TimePoint now) -> std::optional<ServerIndex>
{
    const auto pool = detail::findPool(state, query);
    if (!pool) {
        return std::nullopt;
    }
    if (query.quietOnly) {
        return detail::chooseQuiet(state, *pool, query);
    }
    const auto byPrefix = detail::chooseByPrefix(state, *pool, query);
    if (byPrefix) {
        return byPrefix;
    }
    const auto elsewhere = detail::makeCandidates(detail::poolAt(state, *pool), query, true);
    const auto chosen = detail::chooseOfTwo(state, *pool, elsewhere, now);
    if (chosen || query.avoidFailureDomains.empty()) {
        return chosen;
    }
    const auto anywhere = detail::makeCandidates(detail::poolAt(state, *pool), query, false);
    return detail::chooseOfTwo(state, *pool, anywhere, now);
}

auto freeSlots(const State &state, const Query &query) -> std::uint32_t
{
    const auto pool = detail::findPool(state, query);
    return pool ? detail::poolAt(state, *pool).freeSlots : 0;
}

auto countServers(const State &state, const Query &query) -> std::uint32_t
{
    const auto pool = detail::findPool(state, query);
    return pool ? detail::poolAt(state, *pool).usable : 0;
}

auto slotsOf(const State &state, const Query &query) -> std::uint32_t
{
    const auto pool = detail::findPool(state, query);
    return pool ? detail::poolAt(state, *pool).slots : 0;
}

} // namespace auburnspread::balancing
