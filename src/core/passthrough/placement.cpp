#include "core/passthrough/placement.h"

#include "core/passthrough/enginesplit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// Added to the estimate of a server for a failure rate of 1: a request lost costs the caller its whole patience.
constexpr Duration FailurePenalty = std::chrono::seconds(2);
/// Other failure domains are a millisecond away and each crossing is paid for.
constexpr Duration DistancePenalty = std::chrono::milliseconds(4);
/// A plain service's call takes some tens of milliseconds of a slot.
constexpr Duration CallTime = std::chrono::milliseconds(30);

/// Added for each token of a shared part that would be read although another engine holds it: that engine's time is
/// spent twice, and the readers behind it wait. A session's part of some thousand tokens is read again only where its own
/// engine is slower by seconds. Against 0.3 ms: 4.3M in place of 5.6M such tokens in the bursts of a large fleet.
constexpr Duration RereadPenalty = std::chrono::microseconds(300);
/// Added for each token that is copied from another engine: bytes are paid for, and the link is shared.
constexpr Duration FetchPenalty = std::chrono::microseconds(150);
/// Fewer tokens are read in about the time in which a copy is set up.
constexpr std::uint32_t LeastFetchedTokens = 512;

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

/// The engines to which all entries send a session: the first while nothing speaks against it, the next when that is busy.
/// A session that overflows goes to few engines and finds its part there, instead of being read anew at whichever is idle.
using Homes = std::array<const ServerState *, 3>;

/// Preference for the session's first, second and third engine where nothing else is known, so that entries which see a part for
/// the first time in the same moment send it to the same engine.
constexpr std::array<Duration, 3> HomePreference{ std::chrono::milliseconds(120), std::chrono::milliseconds(60), std::chrono::milliseconds(30) };

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

/// How an engine comes by a prompt.
struct Reuse {
    std::uint32_t fetchedTokens = 0; ///< copied from another engine
    std::uint32_t unreadTokens = 0;  ///< read
};

/// The engine that has read most of the prompt.
struct Source {
    ServerPointer server;
    std::uint32_t tokens = 0;
};

auto findSource(const std::vector<ServerPointer> &servers, const PlacementQuery &query, TimePoint now) -> Source
{
    Source source;
    if (query.prompt == nullptr || query.fetchTokensPerMs <= 0) {
        return source;
    }
    for (const auto &server : servers) {
        const auto tokens = isUsable(*server, now) ? readPrefix(server->cache, *query.prompt, now) : 0;
        if (tokens > source.tokens) {
            source = { .server = server, .tokens = tokens };
        }
    }
    return source;
}

auto reuseAt(const ServerState &server, const Prompt &prompt, const Source &source, TimePoint now) -> Reuse
{
    const auto held = heldPrefix(server.cache, prompt, now);
    const auto fetched = source.tokens > held + LeastFetchedTokens ? source.tokens - held : 0;
    return { .fetchedTokens = fetched, .unreadTokens = prompt.tokens - held - fetched };
}

auto toDuration(double milliseconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

auto estimateEngine(const Work &work, const ServerState &server, const Reuse &reuse, const PlacementQuery &query, const EngineSpeed &speed) -> Duration
{
    const auto reading = readingTime(work.unreadTokens + reuse.unreadTokens, speed);
    const auto fetching = reuse.fetchedTokens == 0 ? Duration::zero() : toDuration(reuse.fetchedTokens / query.fetchTokensPerMs);
    return scaled(reading + fetching + speed.firstToken + speed.sharing * work.inFlight, server.slowness);
}

auto estimateService(const Work &work, const ServerState &server) -> Duration
{
    const auto slots = std::max<std::uint32_t>(server.record.slots, 1);
    const auto before = static_cast<double>(work.inFlight) / slots;
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
auto penaltyOf(const ServerState &server, const PlacementQuery &query, const Reuse &reuse, TimePoint now) -> Duration
{
    auto penalty = scaled(FailurePenalty, failureRateOf(server, now));
    if (server.record.failureDomain != query.failureDomain) {
        penalty += DistancePenalty;
    }
    if (query.prompt != nullptr) {
        const auto own = query.prompt->tokens - std::min(query.prompt->tokens, sharedTokens(*query.prompt));
        const auto readAgain = reuse.unreadTokens - std::min(reuse.unreadTokens, own);
        penalty += RereadPenalty * readAgain + FetchPenalty * reuse.fetchedTokens;
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

/// Failure: more requests than the engine's memory holds. Symptom: it stops running answers in the middle and reads their
/// prompts once more. A request larger than the memory goes to an empty engine, which refuses it by itself.
auto hasMemory(const Work &work, const PlacementQuery &query, const Load &load) -> bool
{
    const auto held = work.heldTokens;
    return query.cacheTokens == 0 || held == 0 || held + load.heldTokens <= MemoryPart * static_cast<double>(query.cacheTokens);
}

auto mayUse(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    const auto isAvoided = std::find(query.avoid.begin(), query.avoid.end(), server.record.id) != query.avoid.end();
    return !isAvoided && isUsable(server, now) && hasPlace(server, query);
}

auto loadOf(const Prompt &prompt, const Reuse &reuse) -> Load
{
    return {
        .unreadTokens = reuse.unreadTokens,
        .heldTokens = prompt.tokens + prompt.answerTokens,
        .isTalker = isTalker(prompt),
    };
}

/// An engine that may take the request.
struct EngineOption {
    Candidate candidate;
    double room = 0;   ///< tokens that it may still be given to read
    double weight = 0; ///< greater: looked at sooner
    bool holdsMost = false;
};

auto roomOf(const ServerState &server, const Work &work, const PlacementQuery &query, const EngineSpeed &speed) -> double
{
    if (!query.mostAhead) {
        return std::numeric_limits<double>::max();
    }
    const auto left = *query.mostAhead - scaled(readingTime(work.unreadTokens, speed), server.slowness);
    return std::chrono::duration<double, std::milli>(left).count() * speed.tokensPerMs / server.slowness;
}

/// Evenly between 0 and 1, never either of them.
auto drawOf(std::uint64_t key, std::uint64_t salt) -> double
{
    constexpr std::uint64_t Draws = 1'000'003;
    return (static_cast<double>(mix(key, salt) % Draws) + 1) / (Draws + 1);
}

auto makeOption(const ServerPointer &server, const Homes &homes, const Source &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> EngineOption
{
    const auto reuse = reuseAt(*server, *query.prompt, source, now);
    const auto work = totalWork(*server);
    EngineOption option;
    option.candidate.tie = mix(query.tieBreak, server->hash);
    option.candidate.placement = {
        .server = server,
        .estimatedStart = estimateEngine(work, *server, reuse, query, speed),
        .load = loadOf(*query.prompt, reuse),
        .fetchFrom = reuse.fetchedTokens > 0 ? source.server : nullptr,
        .fetchedTokens = reuse.fetchedTokens,
        .before = work,
        .home = placeAmong(homes, *server),
    };
    const auto &placement = option.candidate.placement;
    option.candidate.score = placement.estimatedStart + penaltyOf(*server, query, reuse, now);
    option.candidate.score -= placement.home > 0 ? HomePreference.at(static_cast<std::size_t>(placement.home - 1)) : Duration::zero();
    option.room = roomOf(*server, work, query, speed);
    option.weight = std::log(drawOf(mix(query.tieBreak, query.reports), ~server->hash)) / std::max(option.room, 1.0);
    return option;
}

auto makeOptions(const std::vector<ServerPointer> &servers, const Source &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> std::vector<EngineOption>
{
    const auto homes = homesOf(servers, sessionOf(*query.prompt), now);
    std::uint32_t longest = LeastFetchedTokens;
    std::vector<EngineOption> options;
    for (const auto &server : servers) {
        if (!mayUse(*server, query, now)) {
            continue;
        }
        auto option = makeOption(server, homes, source, query, speed, now);
        if (hasMemory(option.candidate.placement.before, query, option.candidate.placement.load)) {
            longest = std::max(longest, heldPrefix(server->cache, *query.prompt, now));
            options.push_back(std::move(option));
        }
    }
    for (auto &option : options) {
        option.holdsMost = heldPrefix(option.candidate.placement.server->cache, *query.prompt, now) >= longest;
    }
    return options;
}

/// Failure: requests wait at many entries, and all of these hear in the same moment which engines have room. Symptom: one gets ten
/// times what it has room for, and then none for a second. The entries tell how much waits, and each request is sent with the
/// probability that the room suffices for all; it draws anew when something new is known.
auto isDrawn(const Demand &demand, const PlacementQuery &query) -> bool
{
    return !query.mostAhead || query.isUrgent || drawOf(query.tieBreak, mix(query.reports, 1)) * demand.waiting <= demand.room;
}

auto demandOf(const std::vector<ServerPointer> &servers, const std::vector<EngineOption> &options, const PlacementQuery &query) -> Demand
{
    Demand demand{ .waiting = query.unseenTokens };
    for (const auto &option : options) {
        demand.room += std::max(option.room, 0.0);
    }
    for (const auto &server : servers) {
        demand.waiting += totalWork(*server).wantedTokens;
    }
    return demand;
}

/// The engines that the request looks at come first.
///
/// Failure: many entries hear the same sum, and each sends its next request to the engine that has least to do by it. Symptom: some
/// engines get fifteen times the mean within a second while others idle. Each request looks at a few engines of its own choice, those
/// with more room sooner, and chooses anew whenever something new is known, so what is sent between two reports spreads.
auto keepLookedAt(std::vector<EngineOption> &options, const PlacementQuery &query) -> void
{
    if (!query.lookedAt) {
        return;
    }
    const auto isSooner = [](const EngineOption &a, const EngineOption &b) { return std::pair(a.holdsMost, a.weight) > std::pair(b.holdsMost, b.weight); };
    std::sort(options.begin(), options.end(), isSooner);
    const auto holders = static_cast<double>(std::count_if(options.begin(), options.end(), [](const EngineOption &option) { return option.holdsMost; }));
    const auto kept = static_cast<std::size_t>(std::lround(holders + *query.lookedAt));
    options.resize(std::min(options.size(), kept));
}

auto chooseEngine(const std::vector<ServerPointer> &servers, const Source &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> Placement
{
    auto options = makeOptions(servers, source, query, speed, now);
    if (options.empty()) {
        return {};
    }
    const auto isBetterOption = [](const EngineOption &a, const EngineOption &b) { return isBetter(a.candidate, b.candidate); };
    const auto isFull = [](const EngineOption &option) { return option.room <= 0; };
    const auto demand = demandOf(servers, options, query);
    const auto mustWait = std::all_of(options.begin(), options.end(), isFull) || !isDrawn(demand, query);
    if (!mustWait) {
        std::erase_if(options, isFull);
        keepLookedAt(options, query);
    }
    auto placement = std::min_element(options.begin(), options.end(), isBetterOption)->candidate.placement;
    placement.mustWait = mustWait;
    placement.demand = demand;
    return placement;
}

auto chooseServer(const std::vector<ServerPointer> &servers, const PlacementQuery &query, TimePoint now) -> Placement
{
    Candidate best;
    for (const auto &server : servers) {
        if (!mayUse(*server, query, now)) {
            continue;
        }
        Candidate candidate{ .placement = { .server = server, .before = totalWork(*server) }, .tie = mix(query.tieBreak, server->hash) };
        candidate.placement.estimatedStart = estimateService(candidate.placement.before, *server);
        candidate.score = candidate.placement.estimatedStart + penaltyOf(*server, query, {}, now);
        if (!best.placement.server || isBetter(candidate, best)) {
            best = candidate;
        }
    }
    return best.placement;
}

} // namespace

auto readingTime(std::uint32_t tokens, const EngineSpeed &speed) -> Duration
{
    return toDuration(tokens / speed.tokensPerMs);
}

auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement
{
    if (query.prompt == nullptr) {
        return chooseServer(servers, query, now);
    }
    const auto source = findSource(servers, query, now);
    if (query.talkerServers == 0) {
        return chooseEngine(servers, source, query, speed, now);
    }
    const auto sides = splitEngines(servers, query.talkerServers, now);
    const auto talks = isTalker(*query.prompt);
    const auto &own = talks ? sides.talkers : sides.readers;
    auto placement = chooseEngine(own, source, query, speed, now);
    if (placement.server || (!own.empty() && !talks)) {
        return placement;
    }
    // a talker may go to the other side too; a reader only if it has no side of its own
    return chooseEngine(talks ? sides.readers : sides.talkers, source, query, speed, now);
}

} // namespace auburnspread::passthrough
