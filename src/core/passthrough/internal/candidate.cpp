#include "core/passthrough/internal/candidate.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough::detail
{

namespace
{

/// Penalty of a server whose failure rate is 1: a lost request costs the caller all the time that it is willing to wait.
constexpr Duration FailurePenalty = std::chrono::seconds(2);
/// Penalty of another failure domain: it is a millisecond away, and traffic between failure domains is charged.
constexpr Duration DistancePenalty = std::chrono::milliseconds(4);

/// Concurrent requests per slot of an engine: its batch and a small queue, so that a slot that becomes free is filled at once.
constexpr double EngineRequestsPerSlot = 1.1;
/// Concurrent requests per slot of a plain service's server: its slots and as many queued requests, which is fewer than it queues before it
/// refuses.
constexpr double ServiceRequestsPerSlot = 2.0;
constexpr std::uint32_t MinConcurrency = 2;
/// Multiple of its even share that one entry may use while the other entries' requests are unknown.
constexpr double Overcommitment = 1.5;

/// Requests that all entries together may have in flight on the server.
auto concurrencyLimitOf(const ServerState &server, const PlacementQuery &query) -> std::uint32_t
{
    if (query.usesModel) {
        return std::max<std::uint32_t>(server.record.slots, 1);
    }
    const auto requestsPerSlot = query.prompt != nullptr ? EngineRequestsPerSlot : ServiceRequestsPerSlot;
    return std::max(static_cast<std::uint32_t>(std::ceil(server.record.slots * requestsPerSlot)), MinConcurrency);
}

/// Whether the server is suspected of failing and a probe request is in flight. A suspected server gets one request at a time, since a
/// server that fails every request at once always has free places.
auto isBeingProbed(const ServerState &server) -> bool
{
    return isSuspected(server.errorEvidence) && server.ownLoad.inFlight > 0;
}

/// Whether the server may take one more request at once. Without reports of the other entries, this entry keeps to its even share and a
/// margin for uneven arrivals.
auto hasFreePlace(const ServerState &server, const PlacementQuery &query) -> bool
{
    const auto limit = concurrencyLimitOf(server, query);
    if (query.peersKnown) {
        return totalLoad(server).inFlight < limit;
    }
    const auto share = static_cast<std::uint32_t>(std::ceil(Overcommitment * limit / std::max<std::uint32_t>(query.entries, 1)));
    return server.ownLoad.inFlight < std::max(share, MinConcurrency);
}

/// Whether the rate limit that the server has stated, if any, allows one more request.
auto isWithinRateLimit(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    if (!isLimited(server.limit)) {
        return true;
    }
    const auto own = sendsWithinWindow(server.limit, now);
    const LimitUsage share{
        .entries = query.entryNamesKnown ? query.entries : 0,
        .peersKnown = query.peersKnown,
        .sent = own + (query.peersKnown ? server.peerLoad.sentLately : 0),
        .leavesReserve = query.leavesReserve,
    };
    return maySend(server.limit, share, now);
}

/// Whether one more request is unlikely to be rejected, if the server does not bear many rejections.
auto isSafeToFill(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    const RoomUsage usage{
        .slots = std::max<std::uint32_t>(server.record.slots, 1),
        .ownInFlight = server.ownLoad.inFlight,
        .ownReported = server.reportedLoad.inFlight,
        .inFlight = totalLoad(server).inFlight,
        .entries = query.entries,
        .peersKnown = query.peersKnown && query.entryNamesKnown,
        .turnSeed = query.entryHash ^ server.hash,
    };
    return hasSafeRoom(server.brittleness, usage, now);
}

} // namespace

auto isBetter(const Candidate &one, const Candidate &other) -> bool
{
    return one.score != other.score ? one.score < other.score : one.tieBreak < other.tieBreak;
}

auto isEligible(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    const auto isAvoided = std::find(query.avoid.begin(), query.avoid.end(), server.record.id) != query.avoid.end();
    const auto hasVersion = query.version == nullptr || server.record.version == *query.version;
    const auto isHeard = !query.heardSince || isHeardSince(server, *query.heardSince);
    return !isAvoided && hasVersion && isHeard && isUsable(server, now) && !isBeingProbed(server) && hasFreePlace(server, query)
        && isWithinRateLimit(server, query, now) && isSafeToFill(server, query, now);
}

auto serverPenalty(const ServerState &server, const PlacementQuery &query, TimePoint now) -> Duration
{
    const auto distance = server.record.failureDomain == query.failureDomain ? Duration::zero() : DistancePenalty;
    return scaled(FailurePenalty, currentFailureRate(server, now)) + distance;
}

auto mixHash(std::uint64_t key, std::uint64_t salt) -> std::uint64_t
{
    constexpr std::uint64_t FirstFactor = 0xbf58476d1ce4e5b9ULL;
    constexpr std::uint64_t SecondFactor = 0x94d049bb133111ebULL;
    auto value = key ^ salt;
    value = (value ^ (value >> 30U)) * FirstFactor;
    value = (value ^ (value >> 27U)) * SecondFactor;
    return value ^ (value >> 31U);
}

} // namespace auburnspread::passthrough::detail
