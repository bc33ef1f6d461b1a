#include "core/passthrough/internal/candidate.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough::detail
{

namespace
{

/// Added to the estimate of a server for a failure rate of 1: a request lost costs the caller its whole patience.
constexpr Duration FailurePenalty = std::chrono::seconds(2);
/// Other failure domains are a millisecond away and each crossing is paid for.
constexpr Duration DistancePenalty = std::chrono::milliseconds(4);

/// Places of an engine: its batch and a few that wait there, so that a place that becomes free is taken at once.
constexpr double EnginePlaces = 1.1;
/// Places of a plain service's server: its slots and as many that wait, of those that it keeps before it refuses.
constexpr double ServicePlaces = 2.0;
constexpr std::uint32_t LeastPlaces = 2;
/// Places over the even part that one entry may take while it does not know what others do.
constexpr double Overcommitment = 1.5;

/// Requests that may be on the server at once, of all entries.
auto placesOf(const ServerState &server, const PlacementQuery &query) -> std::uint32_t
{
    const auto part = query.prompt != nullptr ? EnginePlaces : ServicePlaces;
    return std::max(static_cast<std::uint32_t>(std::ceil(server.record.slots * part)), LeastPlaces);
}

/// A suspected server gets one request at a time: a server that fails at once has room at any time.
auto isOnTrial(const ServerState &server) -> bool
{
    return isSuspected(server.errors) && server.own.inFlight > 0;
}

/// Without word from the other entries, this one keeps to its even part, with some more for the unevenness of arrivals.
auto hasPlace(const ServerState &server, const PlacementQuery &query) -> bool
{
    const auto places = placesOf(server, query);
    if (query.peersKnown) {
        return totalWork(server).inFlight < places;
    }
    const auto part = static_cast<std::uint32_t>(std::ceil(Overcommitment * places / std::max<std::uint32_t>(query.entries, 1)));
    return server.own.inFlight < std::max(part, LeastPlaces);
}

/// Whether the limit that the server named, if any, leaves room for one more request.
auto mayTakeOfLimit(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    if (!isLimited(server.limit)) {
        return true;
    }
    const auto own = sentWithinWindow(server.limit, now);
    const LimitShare share{
        .entries = query.entriesListed ? query.entries : 0,
        .peersKnown = query.peersKnown,
        .sent = own + (query.peersKnown ? server.others.sentLately : 0),
        .leavesReserve = query.leavesReserve,
    };
    return mayTake(server.limit, share, now);
}

} // namespace

auto isBetter(const Candidate &one, const Candidate &other) -> bool
{
    return one.score != other.score ? one.score < other.score : one.tie < other.tie;
}

auto mayUse(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    const auto isAvoided = std::find(query.avoid.begin(), query.avoid.end(), server.record.id) != query.avoid.end();
    return !isAvoided && isUsable(server, now) && !isOnTrial(server) && hasPlace(server, query) && mayTakeOfLimit(server, query, now);
}

auto serverPenalty(const ServerState &server, const PlacementQuery &query, TimePoint now) -> Duration
{
    const auto distance = server.record.failureDomain == query.failureDomain ? Duration::zero() : DistancePenalty;
    return scaled(FailurePenalty, failureRateOf(server, now)) + distance;
}

auto mix(std::uint64_t key, std::uint64_t salt) -> std::uint64_t
{
    constexpr std::uint64_t FirstFactor = 0xbf58476d1ce4e5b9ULL;
    constexpr std::uint64_t SecondFactor = 0x94d049bb133111ebULL;
    auto value = key ^ salt;
    value = (value ^ (value >> 30U)) * FirstFactor;
    value = (value ^ (value >> 27U)) * SecondFactor;
    return value ^ (value >> 31U);
}

} // namespace auburnspread::passthrough::detail
