#include "core/passthrough/internal/enginechoice.h"

#include "core/passthrough/enginesplit.h"
#include "core/passthrough/internal/candidate.h"
#include "core/passthrough/internal/milliseconds.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace auburnspread::passthrough::detail
{

namespace
{

/// Part of an engine's memory that requests may fill: reports of others are a tenth of a second old.
constexpr double MemoryPart = 0.85;

/// The engines to which all entries send a session: the first while nothing speaks against it, the next when that is busy.
/// A session that overflows goes to few engines and finds its part there, instead of being read anew at whichever is idle.
using PreferredEngines = std::array<const ServerState *, 3>;

/// Preference for the session's first, second and third engine where nothing else is known, so that entries which see a part for
/// the first time in the same moment send it to the same engine.
constexpr std::array<Duration, 3> PreferenceBonus{ std::chrono::milliseconds(120), std::chrono::milliseconds(60), std::chrono::milliseconds(30) };

auto preferredEngines(const std::vector<ServerPointer> &servers, std::uint64_t session, TimePoint now) -> PreferredEngines
{
    PreferredEngines preferred{};
    if (session == 0) {
        return preferred;
    }
    const auto isHigher = [session](const ServerState *a, const ServerState *b) { return b == nullptr || mix(session, a->hash) > mix(session, b->hash); };
    for (const auto &server : servers) {
        if (!isUsable(*server, now)) {
            continue;
        }
        const auto *candidate = server.get();
        for (auto &place : preferred) {
            if (candidate != nullptr && isHigher(candidate, place)) {
                std::swap(candidate, place);
            }
        }
    }
    return preferred;
}

auto placeAmong(const PreferredEngines &preferred, const ServerState &server) -> int
{
    const auto place = std::find(preferred.begin(), preferred.end(), &server);
    return place == preferred.end() ? 0 : static_cast<int>(place - preferred.begin()) + 1;
}

auto estimateEngine(const Work &work, const ServerState &server, const Reuse &reuse, const PlacementQuery &query, const EngineSpeed &speed) -> Duration
{
    const auto reading = readingTime(work.unreadTokens + reuse.unreadTokens, speed);
    const auto fetching = reuse.fetchedTokens == 0 ? Duration::zero() : toDuration(reuse.fetchedTokens / query.fetchTokensPerMs);
    return scaled(reading + fetching + speed.firstToken + speed.sharing * work.inFlight, server.slowness);
}

/// Failure: more requests than the engine's memory holds. Symptom: it stops running answers in the middle and reads their
/// prompts once more. A request larger than the memory goes to an empty engine, which refuses it by itself.
auto hasMemory(const Work &work, const PlacementQuery &query, const Load &load) -> bool
{
    const auto held = work.heldTokens;
    return query.cacheTokens == 0 || held == 0 || held + load.heldTokens <= MemoryPart * static_cast<double>(query.cacheTokens);
}

auto loadOf(const Prompt &prompt, const Reuse &reuse) -> Load
{
    return {
        .unreadTokens = reuse.unreadTokens,
        .heldTokens = prompt.tokens + prompt.answerTokens,
        .isShort = isShort(prompt),
    };
}

/// An engine that may take the request.
struct EngineOption {
    Candidate candidate;
    double room = 0;              ///< tokens that it may still be given to read
    double weight = 0;            ///< greater: looked at sooner
    std::uint32_t heldTokens = 0; ///< of the prompt
    bool holdsMost = false;       ///< no other one holds more
};

auto roomOf(const ServerState &server, const Work &work, const PlacementQuery &query, const EngineSpeed &speed) -> double
{
    if (!query.mostAhead) {
        return std::numeric_limits<double>::max();
    }
    const auto left = *query.mostAhead - scaled(readingTime(work.unreadTokens, speed), server.slowness);
    return toMilliseconds(left) * speed.tokensPerMs / server.slowness;
}

/// Evenly between 0 and 1, never either of them.
auto drawOf(std::uint64_t key, std::uint64_t salt) -> double
{
    constexpr std::uint64_t Draws = 1'000'003;
    return (static_cast<double>(mix(key, salt) % Draws) + 1) / (Draws + 1);
}

/// The work of all entries without what the engine has read since the others told.
///
/// Failure: what others have to be read counts until they tell that it was read. Symptom: in a burst engines stand idle for half of
/// the time, and callers are refused.
auto currentWork(const ServerState &server, const PlacementQuery &query, const EngineSpeed &speed) -> Work
{
    auto work = totalWork(server);
    const auto readSince = toMilliseconds(query.reportAge) * speed.tokensPerMs / server.slowness;
    work.unreadTokens -= std::min(server.others.unreadTokens, static_cast<std::uint32_t>(readSince));
    return work;
}

auto makeOption(const ServerPointer &server,
                const PreferredEngines &preferred,
                const Source &source,
                const PlacementQuery &query,
                const EngineSpeed &speed,
                TimePoint now) -> EngineOption
{
    const auto reuse = reuseAt(*server, *query.prompt, source, now);
    const auto work = currentWork(*server, query, speed);
    EngineOption option;
    option.candidate.tie = mix(query.tieBreak, server->hash);
    option.candidate.placement = {
        .server = server,
        .estimatedStart = estimateEngine(work, *server, reuse, query, speed),
        .load = loadOf(*query.prompt, reuse),
        .fetchFrom = reuse.fetchedTokens > 0 ? source.server : nullptr,
        .fetchedTokens = reuse.fetchedTokens,
        .before = work,
        .preference = placeAmong(preferred, *server),
    };
    const auto &placement = option.candidate.placement;
    option.candidate.score = placement.estimatedStart + serverPenalty(*server, query, now) + reusePenalty(*query.prompt, reuse);
    option.candidate.score -= placement.preference > 0 ? PreferenceBonus.at(static_cast<std::size_t>(placement.preference - 1)) : Duration::zero();
    option.heldTokens = reuse.heldTokens;
    option.room = roomOf(*server, work, query, speed);
    option.weight = std::log(drawOf(mix(query.tieBreak, query.reports), ~server->hash)) / std::max(option.room, 1.0);
    return option;
}

auto makeOptions(const std::vector<ServerPointer> &servers, const Source &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> std::vector<EngineOption>
{
    const auto preferred = preferredEngines(servers, sessionOf(*query.prompt), now);
    std::uint32_t longest = LeastFetchedTokens;
    std::vector<EngineOption> options;
    for (const auto &server : servers) {
        if (!mayUse(*server, query, now)) {
            continue;
        }
        auto option = makeOption(server, preferred, source, query, speed, now);
        if (hasMemory(option.candidate.placement.before, query, option.candidate.placement.load)) {
            longest = std::max(longest, option.heldTokens);
            options.push_back(std::move(option));
        }
    }
    for (auto &option : options) {
        option.holdsMost = option.heldTokens >= longest;
    }
    return options;
}

/// Failure: requests wait at many entries, and all of these hear in the same moment which engines have room. Symptom: one gets ten
/// times what it has room for, and then none for a second. The entries tell how much waits, and each request is sent with the
/// probability that the room suffices for all; it draws anew when something new is known.
auto isDrawn(const Demand &demand, const PlacementQuery &query) -> bool
{
    return !query.mostAhead || query.isUrgent || drawOf(query.tieBreak, mix(query.reports, 1)) * demand.waiting <= query.releases * demand.room;
}

auto demandOf(const std::vector<ServerPointer> &servers, const std::vector<EngineOption> &options, const PlacementQuery &query) -> Demand
{
    Demand demand{ .waiting = query.unseenTokens };
    for (const auto &option : options) {
        demand.room += std::max(option.room, 0.0);
    }
    for (const auto &server : servers) {
        demand.waiting += totalWork(*server).waitingTokens;
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

} // namespace

auto sessionOf(const Prompt &prompt) -> std::uint64_t
{
    constexpr std::size_t SessionFromEnd = 2;
    return prompt.parts.size() < SessionFromEnd ? 0 : prompt.parts[prompt.parts.size() - SessionFromEnd].id;
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

} // namespace auburnspread::passthrough::detail
