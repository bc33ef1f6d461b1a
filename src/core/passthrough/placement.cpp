#include "core/passthrough/placement.h"

#include <algorithm>
#include <cmath>

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

/// Requests over the even part of a server's slots that one entry may have there while it does not know what others do.
constexpr double Overcommitment = 1.5;
constexpr std::uint32_t LeastRoom = 2;
/// Engines keep requests waiting beyond their batch and admit the highest tier first, so a full batch is no reason to
/// hold a request here; this part of the batch may wait there.
constexpr double EngineQueuePart = 0.5;

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

/// Tokens that the engine's cache holds: parts count only while all parts before them are there.
auto cachedTokens(const ServerState &server, const Prompt &prompt, bool isHome, TimePoint now) -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        // a first part is shared by many sessions, so every engine soon holds it
        const auto isCommon = i == 0 && prompt.parts.size() > 2;
        if (!isHome && !isCommon && !isRemembered(server, prompt.parts[i].id, now)) {
            break;
        }
        tokens += prompt.parts[i].tokens;
    }
    return std::min(tokens, prompt.tokens);
}

/// Where all entries send the session while nothing speaks against it.
auto homeOf(const std::vector<ServerPointer> &servers, std::uint64_t session, TimePoint now) -> const ServerState *
{
    const ServerState *home = nullptr;
    std::uint64_t best = 0;
    for (const auto &server : servers) {
        const auto rank = mix(session, server->hash);
        if (isUsable(*server, now) && (home == nullptr || rank > best)) {
            home = server.get();
            best = rank;
        }
    }
    return home;
}

auto toDuration(double milliseconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

auto scale(Duration duration, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

auto estimateEngine(const ServerState &server, std::uint32_t unread, const EngineSpeed &speed) -> Duration
{
    const auto ahead = server.unreadTokens + server.othersUnreadTokens;
    const auto reading = toDuration((ahead + unread) / speed.tokensPerMs);
    const auto beside = server.inFlight + server.othersInFlight;
    return scale(reading + speed.firstToken + speed.sharing * beside, server.slowness);
}

auto estimateService(const ServerState &server) -> Duration
{
    const auto open = server.inFlight + server.othersInFlight;
    const auto slots = std::max<std::uint32_t>(server.record.slots, 1);
    const auto before = static_cast<double>(open) / slots;
    return scale(CallTime, server.slowness * (1 + before));
}

auto penaltyOf(const ServerState &server, const PlacementQuery &query) -> Duration
{
    const auto distance = server.record.failureDomain == query.failureDomain ? Duration::zero() : DistancePenalty;
    return scale(FailurePenalty, server.failureRate) + distance;
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

auto mayUse(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool
{
    if (!isUsable(server, now) || server.inFlight >= roomOf(server, query.isEngine, query.entries)) {
        return false;
    }
    return std::find(query.avoid.begin(), query.avoid.end(), server.record.id) == query.avoid.end();
}

} // namespace

auto roomOf(const ServerState &server, bool isEngine, std::uint32_t entries) -> std::uint32_t
{
    const auto slots = server.record.slots * (isEngine ? 1 + EngineQueuePart : Overcommitment);
    const auto part = static_cast<std::uint32_t>(std::ceil(Overcommitment * slots / std::max<std::uint32_t>(entries, 1)));
    return std::max(part, LeastRoom);
}

auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement
{
    const auto session = query.isEngine ? sessionOf(*query.prompt) : 0;
    const auto *home = session == 0 ? nullptr : homeOf(servers, session, now);
    Candidate best;
    for (const auto &server : servers) {
        if (!mayUse(*server, query, now)) {
            continue;
        }
        Candidate candidate{ .placement = { .server = server }, .tie = mix(query.tieBreak, server->hash) };
        if (query.isEngine) {
            const auto &prompt = *query.prompt;
            candidate.placement.unreadTokens = prompt.tokens - cachedTokens(*server, prompt, server.get() == home, now);
            candidate.placement.estimatedStart = estimateEngine(*server, candidate.placement.unreadTokens, speed);
        } else {
            candidate.placement.estimatedStart = estimateService(*server);
        }
        candidate.score = candidate.placement.estimatedStart + penaltyOf(*server, query);
        if (!best.placement.server || isBetter(candidate, best)) {
            best = candidate;
        }
    }
    return best.placement;
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
