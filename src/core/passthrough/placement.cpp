#include "core/passthrough/placement.h"

#include "core/passthrough/enginesplit.h"
#include "core/passthrough/internal/candidate.h"
#include "core/passthrough/internal/enginechoice.h"
#include "core/passthrough/internal/milliseconds.h"
#include "core/passthrough/internal/promptreuse.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// Typical time that a call of a plain service occupies a slot.
constexpr Duration ServiceCallTime = std::chrono::milliseconds(30);

auto estimateServiceStart(const ServerLoad &work, const ServerState &server) -> Duration
{
    const auto slots = std::max<std::uint32_t>(server.record.slots, 1);
    const auto callsAhead = static_cast<double>(work.inFlight) / slots;
    return scaled(ServiceCallTime, server.slowness * (1 + callsAhead));
}

/// The usable engines, divided into those for short prompts and those for long ones by the rank of their hash, which is the same on all
/// entries.
struct EngineGroups {
    std::vector<ServerPointer> forShortPrompts;
    std::vector<ServerPointer> forLongPrompts;
};

/// Class of the engine's speed, the fastest first. Fast engines are used for short prompts first: each of the many events of their responses
/// waits for the prefill that the engine does meanwhile.
auto speedClassOf(const ServerState &server) -> int
{
    constexpr std::array<double, 2> MaxDelays{ 0.75, 1.35 };
    return static_cast<int>(std::count_if(MaxDelays.begin(), MaxDelays.end(), [&server](double delay) { return server.relativeDelay > delay; }));
}

/// An engine with its rank for short prompts: the fastest class first, then by hash, which is the same on all entries.
struct RankedEngine {
    int speedClass = 0;
    ServerPointer server;
};

/// Number of engines, the first of \p ranked, that read as much as \p typicalEngines of typical speed.
auto countEnginesWorth(const std::vector<RankedEngine> &ranked, std::size_t typicalEngines) -> std::size_t
{
    constexpr double Tolerance = 0.25; // a quarter of an engine is not worth another one
    auto missing = static_cast<double>(typicalEngines);
    std::size_t count = 0;
    while (count < ranked.size() && missing > Tolerance) {
        missing -= 1 / ranked[count].server->relativeDelay;
        count += 1;
    }
    return count;
}

/// As splitEngines(), but takes the fastest engines for short prompts, and as many as are worth \p shortPromptEngines typical ones.
auto splitBySpeed(const std::vector<ServerPointer> &servers, std::size_t shortPromptEngines, TimePoint now) -> EngineGroups
{
    std::vector<RankedEngine> ranked;
    for (const auto &server : servers) {
        if (isUsable(*server, now)) {
            ranked.push_back({ .speedClass = speedClassOf(*server), .server = server });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedEngine &a, const RankedEngine &b) {
        return std::pair(a.speedClass, a.server->hash) < std::pair(b.speedClass, b.server->hash);
    });
    const auto count = countEnginesWorth(ranked, shortPromptEngines);
    EngineGroups groups;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        (i < count ? groups.forShortPrompts : groups.forLongPrompts).push_back(std::move(ranked[i].server));
    }
    return groups;
}

auto splitEngines(const std::vector<ServerPointer> &servers, std::size_t shortPromptEngines, TimePoint now) -> EngineGroups
{
    std::vector<ServerPointer> usable;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(usable), [now](const ServerPointer &server) { return isUsable(*server, now); });
    const auto count = std::min(shortPromptEngines, usable.size());
    const auto middle = usable.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(usable.begin(), middle, usable.end(), [](const ServerPointer &a, const ServerPointer &b) { return a->hash < b->hash; });
    return { .forShortPrompts = { usable.begin(), middle }, .forLongPrompts = { middle, usable.end() } };
}

/// Places a request, for which the engines of its own kind have no room, on one of the others, as far as this breaks no answer there.
///
/// The load pattern behind this: a burst of long prompts fills their engines, and requests are refused, while the engines for short prompts
/// read for a tenth of their time.
/// \return \p preferred if none of the others has room
auto shareEngine(const std::vector<ServerPointer> &others,
                 const Placement &preferred,
                 const detail::CopySource &source,
                 PlacementQuery query,
                 const EngineSpeed &speed,
                 TimePoint now) -> Placement
{
    query.isShared = true;
    auto shared = detail::chooseEngine(others, source, query, speed, now);
    return (shared.server && !shared.mustWait) || !preferred.server ? shared : preferred;
}

auto chooseServiceServer(const std::vector<ServerPointer> &servers, const PlacementQuery &query, TimePoint now) -> Placement
{
    detail::Candidate best;
    for (const auto &server : servers) {
        if (!detail::isEligible(*server, query, now)) {
            continue;
        }
        detail::Candidate candidate{ .placement = { .server = server, .workAhead = totalLoad(*server) },
                                     .tieBreak = detail::mixHash(query.tieBreak, server->hash) };
        candidate.placement.estimatedStart = estimateServiceStart(candidate.placement.workAhead, *server);
        candidate.score = candidate.placement.estimatedStart + detail::serverPenalty(*server, query, now);
        if (!best.placement.server || detail::isBetter(candidate, best)) {
            best = candidate;
        }
    }
    return best.placement;
}

} // namespace

auto prefillTime(std::uint32_t tokens, const EngineSpeed &speed) -> Duration
{
    return detail::toDuration(tokens / speed.tokensPerMs);
}

auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement
{
    if (query.prompt == nullptr) {
        return chooseServiceServer(servers, query, now);
    }
    const auto source = detail::findCopySource(servers, query, now);
    // few engines may be of the required version, so those of either group do
    if (query.shortPromptEngines == 0 || query.version != nullptr) {
        return detail::chooseEngine(servers, source, query, speed, now);
    }
    const auto groups = query.usesModel ? splitBySpeed(servers, query.shortPromptEngines, now) : splitEngines(servers, query.shortPromptEngines, now);
    const auto isShortPrompt = detail::belongsToShort(query);
    const auto &preferredGroup = isShortPrompt ? groups.forShortPrompts : groups.forLongPrompts;
    auto placement = detail::chooseEngine(preferredGroup, source, query, speed, now);
    if (query.usesModel) {
        const auto isPlaced = placement.server && !placement.mustWait;
        return isPlaced ? placement : shareEngine(isShortPrompt ? groups.forLongPrompts : groups.forShortPrompts, placement, source, query, speed, now);
    }
    if (placement.server || (!preferredGroup.empty() && !isShortPrompt)) {
        return placement;
    }
    // A short prompt may also go to the engines for long prompts. A long prompt goes to those for short ones only if its
    // own group is empty.
    return detail::chooseEngine(isShortPrompt ? groups.forLongPrompts : groups.forShortPrompts, source, query, speed, now);
}

} // namespace auburnspread::passthrough
