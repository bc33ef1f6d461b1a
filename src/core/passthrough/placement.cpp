#include "core/passthrough/placement.h"

#include "core/passthrough/enginesplit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// An engine's memory yields the parts used least recently; a part that nobody asked for in this time may be gone.
constexpr Duration CacheMemory = std::chrono::seconds(20);
constexpr std::size_t MostRememberedParts = 1024;

/// Added to the estimate of a server for a failure rate of 1: a request lost costs the caller its whole patience.
constexpr Duration FailurePenalty = std::chrono::seconds(2);
/// Other failure domains are a millisecond away and each crossing is paid for.
constexpr Duration DistancePenalty = std::chrono::milliseconds(4);
/// A plain service's call takes some tens of milliseconds of a slot.
constexpr Duration CallTime = std::chrono::milliseconds(30);

/// Added for each token of a shared part that would be read although another engine holds it: that engine's time is
/// spent twice, and the readers behind it wait. A session's part of some thousand tokens is read again only where its own
/// engine is slower by seconds. Against 0.3 ms: 4.3M in place of 5.6M such tokens in the bursts of a large fleet.
constexpr Duration RereadPenalty = std::chrono::microseconds(800);

/// Places of an engine: its batch and a few that wait there, so that a place that becomes free is taken at once.
constexpr double EnginePlaces = 1.1;
/// Places of a plain service's server: its slots and as many that wait, of those that it keeps before it refuses.
constexpr double ServicePlaces = 2.0;
constexpr std::uint32_t LeastPlaces = 2;
/// Places over the even part that one entry may take while it does not know what others do.
constexpr double Overcommitment = 1.5;
/// Part of an engine's memory that requests may fill: reports of others are a tenth of a second old.
constexpr double MemoryPart = 0.85;

auto mix(std::uint64_t key, std::uint64_t salt) -> std::uint64_t
{
    constexpr std::uint64_t FirstFactor = 0xbf58476d1ce4e5b9ULL;
    constexpr std::uint64_t SecondFactor = 0x94d049bb133111ebULL;
    auto value = key ^ salt;
    value = (value ^ (value >> 30U)) * FirstFactor;
    value = (value ^ (value >> 27U)) * SecondFactor;
    return value ^ (value >> 31U);
}

/// The part that requests of one session share; 0: the prompt has none.
auto sessionOf(const Prompt &prompt) -> std::uint64_t
{
    constexpr std::size_t SessionFromEnd = 2;
    return prompt.parts.size() < SessionFromEnd ? 0 : prompt.parts[prompt.parts.size() - SessionFromEnd].id;
}

auto isRemembered(const ServerState &server, std::uint64_t part, TimePoint now) -> bool
{
    const auto found = server.parts.find(part);
    return found != server.parts.end() && now - found->second < CacheMemory;
}

/// The engines to which all entries send a session: the first while nothing speaks against it, the next when that is busy.
/// A session that overflows goes to few engines and finds its part there, instead of being read anew at whichever is idle.
using Homes = std::array<const ServerState *, 3>;

/// How likely the session's part is in the cache of its first, second and third home.
constexpr std::array<double, 3> HomeCertainty{ 1.0, 0.6, 0.3 };

auto homesOf(const std::vector<ServerPointer> &servers, std::uint64_t session, TimePoint now) -> Homes
{
    Homes homes{};
    if (session == 0) {
        return homes;
    }
    const auto isHigher = [session](const ServerState *a, const ServerState *b) { return b == nullptr || mix(session, a->hash) > mix(session, b->hash); };
    for (const auto &server : servers) {
        if (!isUsable(*server, now)) {
            continue;
        }
        const auto *candidate = server.get();
        for (auto &home : homes) {
            if (candidate != nullptr && isHigher(candidate, home)) {
                std::swap(candidate, home);
            }
        }
    }
    return homes;
}

auto placeAmong(const Homes &homes, const ServerState &server) -> int
{
    const auto home = std::find(homes.begin(), homes.end(), &server);
    return home == homes.end() ? 0 : static_cast<int>(home - homes.begin()) + 1;
}

/// Probability that the engine's cache holds one shared part of the prompt.
auto certaintyOf(const ServerState &server, const Prompt &prompt, std::size_t part, const Homes &homes, TimePoint now) -> double
{
    // a first part is shared by many sessions, so every engine soon holds it
    const auto isCommon = part == 0 && prompt.parts.size() > 2;
    if (isCommon || isRemembered(server, prompt.parts[part].id, now)) {
        return 1;
    }
    const auto place = placeAmong(homes, server);
    return place == 0 ? 0 : HomeCertainty.at(static_cast<std::size_t>(place - 1));
}

/// Tokens that the engine's cache is expected to hold: parts count only while all parts before them are there.
auto cachedTokens(const ServerState &server, const Prompt &prompt, const Homes &homes, TimePoint now) -> std::uint32_t
{
    double tokens = 0;
    double certainty = 1;
    for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part) {
        certainty *= certaintyOf(server, prompt, part, homes, now);
        tokens += certainty * prompt.parts[part].tokens;
    }
    return std::min(static_cast<std::uint32_t>(tokens), prompt.tokens);
}

auto toDuration(double milliseconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

auto estimateEngine(const ServerState &server, std::uint32_t unread, const EngineSpeed &speed) -> Duration
{
    const auto work = totalWork(server);
    const auto reading = readingTime(work.unreadTokens + unread, speed);
    return scaled(reading + speed.firstToken + speed.sharing * work.inFlight, server.slowness);
}

auto estimateService(const ServerState &server) -> Duration
{
    const auto slots = std::max<std::uint32_t>(server.record.slots, 1);
    const auto before = static_cast<double>(totalWork(server).inFlight) / slots;
    return scaled(CallTime, server.slowness * (1 + before));
}

auto isTalker(const Prompt &prompt) -> bool
{
    return prompt.tokens < LongPromptTokens;
}

auto sharedTokens(const Prompt &prompt) -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        tokens += prompt.parts[i].tokens;
    }
    return tokens;
}

/// What besides time speaks against a server.
auto penaltyOf(const ServerState &server, const PlacementQuery &query, const Load &load, TimePoint now) -> Duration
{
    auto penalty = scaled(FailurePenalty, failureRateOf(server, now));
    if (server.record.failureDomain != query.failureDomain) {
        penalty += DistancePenalty;
    }
    if (query.prompt != nullptr) {
        const auto own = query.prompt->tokens - std::min(query.prompt->tokens, sharedTokens(*query.prompt));
        const auto readAgain = load.unreadTokens - std::min(load.unreadTokens, own);
        penalty += RereadPenalty * readAgain;
    }
    return penalty;
}

/// Engines of each side of the split, usable ones only, in the order that all entries agree on.
struct Sides {
    std::vector<ServerPointer> talkers;
    std::vector<ServerPointer> readers;
};

auto splitEngines(const std::vector<ServerPointer> &servers, std::size_t talkerServers, TimePoint now) -> Sides
{
    std::vector<ServerPointer> usable;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(usable), [now](const ServerPointer &server) { return isUsable(*server, now); });
    const auto count = std::min(talkerServers, usable.size());
    const auto middle = usable.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(usable.begin(), middle, usable.end(), [](const ServerPointer &a, const ServerPointer &b) { return a->hash < b->hash; });
    return { .talkers = { usable.begin(), middle }, .readers = { middle, usable.end() } };
}

struct Candidate {
    Placement placement;
    Duration score{};
    std::uint64_t tie = 0;
};

auto isBetter(const Candidate &one, const Candidate &other) -> bool
{
    return one.score != other.score ? one.score < other.score : one.tie < other.tie;
}

/// Requests that may be on the server at once, of all entries.
auto placesOf(const ServerState &server, const PlacementQuery &query) -> std::uint32_t
{
    const auto part = query.prompt != nullptr ? EnginePlaces : ServicePlaces;
    return std::max(static_cast<std::uint32_t>(std::ceil(server.record.slots * part)), LeastPlaces);
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

/// Whether the work that waits there is short enough.
///
/// Failure: requests wait at many entries for the same engine, and all of these hear in the same moment that it has room.
/// Symptom: it gets ten times what it has room for. So the entries tell how much waits for it, and each request is sent with
/// the probability that the room suffices for all; it draws anew when something new is known.
auto isSoonEnough(const ServerState &server, const PlacementQuery &query, const EngineSpeed &speed) -> bool
{
    if (!query.mostAhead) {
        return true;
    }
    const auto work = totalWork(server);
    const auto left = *query.mostAhead - scaled(readingTime(work.unreadTokens, speed), server.slowness);
    if (left < Duration::zero()) {
        return false;
    }
    constexpr std::uint64_t Draws = 1000;
    const auto room = std::chrono::duration<double, std::milli>(left).count() * speed.tokensPerMs;
    const auto chance = work.wantedTokens == 0 ? 1 : room / work.wantedTokens;
    const auto draw = mix(query.tieBreak, mix(query.reports, server.hash)) % Draws;
    return static_cast<double>(draw) < chance * Draws;
}

/// Failure: more requests than the engine's memory holds. Symptom: it stops running answers in the middle and reads their
/// prompts once more. A request larger than the memory goes to an empty engine, which refuses it by itself.
auto hasMemory(const ServerState &server, const PlacementQuery &query, const Load &load) -> bool
{
    const auto held = totalWork(server).heldTokens;
    return query.cacheTokens == 0 || held == 0 || held + load.heldTokens <= MemoryPart * static_cast<double>(query.cacheTokens);
}

auto mayUse(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    const auto isAvoided = std::find(query.avoid.begin(), query.avoid.end(), server.record.id) != query.avoid.end();
    return !isAvoided && isUsable(server, now) && hasPlace(server, query);
}

auto loadOf(const ServerState &server, const Prompt &prompt, const Homes &homes, TimePoint now) -> Load
{
    return {
        .unreadTokens = prompt.tokens - cachedTokens(server, prompt, homes, now),
        .heldTokens = prompt.tokens + prompt.answerTokens,
        .isTalker = isTalker(prompt),
    };
}

auto chooseAmong(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement
{
    const auto session = query.prompt == nullptr ? 0 : sessionOf(*query.prompt);
    const auto homes = homesOf(servers, session, now);
    Candidate best;
    for (const auto &server : servers) {
        if (!mayUse(*server, query, now)) {
            continue;
        }
        Candidate candidate{ .placement = { .server = server }, .tie = mix(query.tieBreak, server->hash) };
        auto &placement = candidate.placement;
        if (query.prompt != nullptr) {
            placement.load = loadOf(*server, *query.prompt, homes, now);
            placement.home = placeAmong(homes, *server);
            placement.estimatedStart = estimateEngine(*server, placement.load.unreadTokens, speed);
        } else {
            placement.estimatedStart = estimateService(*server);
        }
        placement.before = totalWork(*server);
        candidate.score = placement.estimatedStart + penaltyOf(*server, query, placement.load, now);
        const auto fits = hasMemory(*server, query, placement.load);
        if (fits && (!best.placement.server || isBetter(candidate, best))) {
            best = candidate;
        }
    }
    best.placement.mustWait = best.placement.server && !isSoonEnough(*best.placement.server, query, speed);
    return best.placement;
}

} // namespace

auto readingTime(std::uint32_t tokens, const EngineSpeed &speed) -> Duration
{
    return toDuration(tokens / speed.tokensPerMs);
}

auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement
{
    if (query.prompt == nullptr || query.talkerServers == 0) {
        return chooseAmong(servers, query, speed, now);
    }
    const auto sides = splitEngines(servers, query.talkerServers, now);
    const auto talks = isTalker(*query.prompt);
    const auto &own = talks ? sides.talkers : sides.readers;
    auto placement = chooseAmong(own, query, speed, now);
    if (placement.server || (!own.empty() && !talks)) {
        return placement;
    }
    // a talker may go to the other side too; a reader only if it has no side of its own
    return chooseAmong(talks ? sides.readers : sides.talkers, query, speed, now);
}

auto noteCachedParts(ServerState &server, const Prompt &prompt, TimePoint now) -> void
{
    if (server.parts.size() > MostRememberedParts) {
        std::erase_if(server.parts, [now](const auto &part) { return now - part.second >= CacheMemory; });
    }
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        server.parts[prompt.parts[i].id] = now;
    }
}

} // namespace auburnspread::passthrough
