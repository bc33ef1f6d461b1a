#include "core/passthrough/placement.h"

#include "core/passthrough/enginesplit.h"
#include "core/passthrough/internal/candidate.h"
#include "core/passthrough/internal/enginechoice.h"
#include "core/passthrough/internal/milliseconds.h"
#include "core/passthrough/internal/promptreuse.h"

#include <algorithm>
#include <iterator>

namespace auburnspread::passthrough
{

namespace
{

/// A plain service's call takes some tens of milliseconds of a slot.
constexpr Duration CallTime = std::chrono::milliseconds(30);

auto estimateService(const Work &work, const ServerState &server) -> Duration
{
    const auto slots = std::max<std::uint32_t>(server.record.slots, 1);
    const auto before = static_cast<double>(work.inFlight) / slots;
    return scaled(CallTime, server.slowness * (1 + before));
}

/// Engines of each side of the split, usable ones only, in the order that all entries agree on.
struct Sides {
    std::vector<ServerPointer> forShortPrompts;
    std::vector<ServerPointer> forLongPrompts;
};

auto splitEngines(const std::vector<ServerPointer> &servers, std::size_t shortPromptEngines, TimePoint now) -> Sides
{
    std::vector<ServerPointer> usable;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(usable), [now](const ServerPointer &server) { return isUsable(*server, now); });
    const auto count = std::min(shortPromptEngines, usable.size());
    const auto middle = usable.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(usable.begin(), middle, usable.end(), [](const ServerPointer &a, const ServerPointer &b) { return a->hash < b->hash; });
    return { .forShortPrompts = { usable.begin(), middle }, .forLongPrompts = { middle, usable.end() } };
}

auto chooseServer(const std::vector<ServerPointer> &servers, const PlacementQuery &query, TimePoint now) -> Placement
{
    detail::Candidate best;
    for (const auto &server : servers) {
        if (!detail::mayUse(*server, query, now)) {
            continue;
        }
        detail::Candidate candidate{ .placement = { .server = server, .before = totalWork(*server) }, .tie = detail::mix(query.tieBreak, server->hash) };
        candidate.placement.estimatedStart = estimateService(candidate.placement.before, *server);
        candidate.score = candidate.placement.estimatedStart + detail::serverPenalty(*server, query, now);
        if (!best.placement.server || detail::isBetter(candidate, best)) {
            best = candidate;
        }
    }
    return best.placement;
}

} // namespace

auto readingTime(std::uint32_t tokens, const EngineSpeed &speed) -> Duration
{
    return detail::toDuration(tokens / speed.tokensPerMs);
}

auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement
{
    if (query.prompt == nullptr) {
        return chooseServer(servers, query, now);
    }
    const auto source = detail::findSource(servers, query, now);
    if (query.shortPromptEngines == 0) {
        return detail::chooseEngine(servers, source, query, speed, now);
    }
    const auto sides = splitEngines(servers, query.shortPromptEngines, now);
    const auto isShortPrompt = isShort(*query.prompt);
    const auto &own = isShortPrompt ? sides.forShortPrompts : sides.forLongPrompts;
    auto placement = detail::chooseEngine(own, source, query, speed, now);
    if (placement.server || (!own.empty() && !isShortPrompt)) {
        return placement;
    }
    // a short prompt may go to the other side too; a long one only if it has no side of its own
    return detail::chooseEngine(isShortPrompt ? sides.forLongPrompts : sides.forShortPrompts, source, query, speed, now);
}

} // namespace auburnspread::passthrough
