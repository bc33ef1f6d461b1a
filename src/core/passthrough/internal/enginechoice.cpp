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

/// Share of an engine's memory that requests may fill. The margin is needed because the other entries' reports are about a tenth of a
/// second old.
constexpr double UsableMemoryShare = 0.85;

/// The engines to which all entries send a session, in order of preference: the next one is used when the one before is busy.
/// A session that overflows its first engine thus uses few engines, which soon hold its part, instead of being read anew by any idle one.
using PreferredEngines = std::array<const ServerState *, 3>;

/// Bonus of the session's first, second and third engine. It makes entries that see a prompt part for the first time at the same moment
/// send it to the same engine.
constexpr std::array<Duration, 3> PreferenceBonus{ std::chrono::milliseconds(120), std::chrono::milliseconds(60), std::chrono::milliseconds(30) };

auto preferredEngines(const std::vector<ServerPointer> &servers, std::uint64_t session, TimePoint now) -> PreferredEngines
{
    PreferredEngines preferred{};
    if (session == 0) {
        return preferred;
    }
    const auto isHigher
        = [session](const ServerState *a, const ServerState *b) { return b == nullptr || mixHash(session, a->hash) > mixHash(session, b->hash); };
    for (const auto &server : servers) {
        if (!isUsable(*server, now)) {
            continue;
        }
        const auto *candidate = server.get();
        for (auto &preferredServer : preferred) {
            if (candidate != nullptr && isHigher(candidate, preferredServer)) {
                std::swap(candidate, preferredServer);
            }
        }
    }
    return preferred;
}

auto preferenceRankOf(const PreferredEngines &preferred, const ServerState &server) -> int
{
    const auto position = std::find(preferred.begin(), preferred.end(), &server);
    return position == preferred.end() ? 0 : static_cast<int>(position - preferred.begin()) + 1;
}

/// Delay of the engine relative to a typical one.
auto delayOf(const ServerState &server, const PlacementQuery &query) -> double
{
    return query.usesModel ? server.relativeDelay : server.slowness;
}

/// Penalty for the pauses that a response with many events is likely to have on the engine. They grow with its delay, as each event waits for
/// the prefill that the engine does meanwhile.
auto pausePenalty(const ServerState &server, const PlacementQuery &query) -> Duration
{
    return query.usesModel && belongsToShort(query) && query.maxSharedPrefill ? scaled(*query.maxSharedPrefill, server.relativeDelay) : Duration::zero();
}

auto estimateTypicalStart(const ServerLoad &work, const PromptReuse &reuse, const PlacementQuery &query, const EngineSpeed &speed) -> Duration
{
    const auto prefill = prefillTime(work.unreadTokens + reuse.unreadTokens, speed);
    const auto fetching = reuse.fetchedTokens == 0 ? Duration::zero() : toDuration(reuse.fetchedTokens / query.fetchTokensPerMs);
    return prefill + fetching + speed.firstTokenOverhead + speed.delayPerRequest * work.inFlight;
}

/// Whether the request fits into the engine's memory. With more requests than its memory holds, an engine preempts running answers and
/// reads their prompts again. A request that is larger than the whole memory may go to an empty engine, which refuses it itself.
auto hasMemory(const ServerLoad &work, const PlacementQuery &query, const RequestLoad &load) -> bool
{
    const auto held = work.heldTokens;
    return query.cacheTokens == 0 || held == 0 || held + load.heldTokens <= UsableMemoryShare * static_cast<double>(query.cacheTokens);
}

auto loadOf(const Prompt &prompt, const PromptReuse &reuse, bool isShort) -> RequestLoad
{
    return {
        .unreadTokens = reuse.unreadTokens,
        .heldTokens = prompt.tokens + prompt.maxAnswerTokens,
        .isShort = isShort,
    };
}

/// An engine that may take the request.
struct EngineOption {
    Candidate candidate;
    double capacityTokens = 0;      ///< prompt tokens that it can still be given within the longest queueing time
    double sampleKey = 0;           ///< random, weighted by the capacity; engines with a greater key are sampled first
    std::uint32_t cachedTokens = 0; ///< prompt tokens in its cache
    bool hasLongestPrefix = false;  ///< whether it has at least MinFetchedTokens of them, and no other engine has more
};

/// Prompt tokens that the engine can still be given within the longest queueing time; negative if it has too many already.
auto capacityTokensOf(const ServerState &server, const ServerLoad &work, std::uint32_t ownTokens, const PlacementQuery &query, const EngineSpeed &speed)
    -> double
{
    if (!query.maxQueueTime) {
        return std::numeric_limits<double>::max();
    }
    const auto delay = delayOf(server, query);
    auto left = *query.maxQueueTime - scaled(prefillTime(work.unreadTokens, speed), delay);
    if (query.isShared && query.maxSharedPrefill) {
        left = std::min(left, *query.maxSharedPrefill - scaled(prefillTime(work.unreadTokens + ownTokens, speed), delay));
    }
    return toMilliseconds(left) * speed.tokensPerMs / delay;
}

/// A pseudo-random number, uniformly distributed between 0 and 1, both excluded.
auto uniformHash(std::uint64_t key, std::uint64_t salt) -> double
{
    constexpr std::uint64_t Draws = 1'000'003;
    return (static_cast<double>(mixHash(key, salt) % Draws) + 1) / (Draws + 1);
}

/// The work of all entries, less the prompt tokens that the engine has presumably read since the other entries reported.
///
/// Without this correction, other entries' prompts count as unread until the next report: in a burst engines stood idle for half of the
/// time while callers were refused.
auto currentWork(const ServerState &server, const PlacementQuery &query, const EngineSpeed &speed) -> ServerLoad
{
    auto work = totalLoad(server);
    const auto readSinceReport = toMilliseconds(query.reportAge) * speed.tokensPerMs / delayOf(server, query);
    work.unreadTokens -= std::min(server.peerLoad.unreadTokens, static_cast<std::uint32_t>(readSinceReport));
    return work;
}

auto makeOption(const ServerPointer &server,
                const PreferredEngines &preferred,
                const CopySource &source,
                const PlacementQuery &query,
                const EngineSpeed &speed,
                TimePoint now) -> EngineOption
{
    const auto reuse = reuseAt(*server, *query.prompt, source, now);
    const auto work = currentWork(*server, query, speed);
    const auto typicalStart = estimateTypicalStart(work, reuse, query, speed);
    EngineOption option;
    option.candidate.tieBreak = mixHash(query.tieBreak, server->hash);
    option.candidate.placement = {
        .server = server,
        .estimatedStart = scaled(typicalStart, delayOf(*server, query)),
        .typicalStart = typicalStart,
        .load = loadOf(*query.prompt, reuse, belongsToShort(query)),
        .fetchFrom = reuse.fetchedTokens > 0 ? source.server : nullptr,
        .fetchedTokens = reuse.fetchedTokens,
        .workAhead = work,
        .preferenceRank = preferenceRankOf(preferred, *server),
    };
    const auto &placement = option.candidate.placement;
    option.candidate.score = placement.estimatedStart + serverPenalty(*server, query, now) + reusePenalty(*query.prompt, reuse);
    option.candidate.score += pausePenalty(*server, query);
    const auto keepsSession = !query.usesModel || sharedTokens(*query.prompt) >= MinFetchedTokens;
    option.candidate.score
        -= placement.preferenceRank > 0 && keepsSession ? PreferenceBonus.at(static_cast<std::size_t>(placement.preferenceRank - 1)) : Duration::zero();
    option.cachedTokens = reuse.cachedTokens;
    option.capacityTokens = capacityTokensOf(*server, work, reuse.unreadTokens, query, speed);
    option.sampleKey = std::log(uniformHash(mixHash(query.tieBreak, query.reportRevision), ~server->hash)) / std::max(option.capacityTokens, 1.0);
    return option;
}

auto makeOptions(const std::vector<ServerPointer> &servers, const CopySource &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> std::vector<EngineOption>
{
    const auto preferred = preferredEngines(servers, sessionIdOf(*query.prompt), now);
    std::uint32_t longestPrefix = MinFetchedTokens;
    std::vector<EngineOption> options;
    for (const auto &server : servers) {
        if (!isEligible(*server, query, now)) {
            continue;
        }
        auto option = makeOption(server, preferred, source, query, speed, now);
        if (hasMemory(option.candidate.placement.workAhead, query, option.candidate.placement.load)) {
            longestPrefix = std::max(longestPrefix, option.cachedTokens);
            options.push_back(std::move(option));
        }
    }
    for (auto &option : options) {
        option.hasLongestPrefix = option.cachedTokens >= longestPrefix;
    }
    return options;
}

/// Whether a random draw admits the request now.
///
/// Requests wait at many entries, and all entries learn at the same moment which engines have capacity. If each sent its requests at
/// once, an engine would get ten times what it has capacity for, and then nothing for a second. The entries therefore report how many
/// tokens wait, and each request is sent with a probability at which the expected total fits the capacity. Each new report brings
/// a new draw.
auto isAdmittedByDraw(const Backlog &backlog, const PlacementQuery &query) -> bool
{
    return !query.maxQueueTime || query.isUrgent
        || uniformHash(query.tieBreak, mixHash(query.reportRevision, 1)) * backlog.waitingTokens <= query.admissionFactor * backlog.capacityTokens;
}

auto backlogOf(const std::vector<ServerPointer> &servers, const std::vector<EngineOption> &options, const PlacementQuery &query) -> Backlog
{
    Backlog backlog{ .waitingTokens = query.unreportedTokens };
    for (const auto &option : options) {
        backlog.capacityTokens += std::max(option.capacityTokens, 0.0);
    }
    for (const auto &server : servers) {
        backlog.waitingTokens += totalLoad(*server).waitingTokens;
    }
    return backlog;
}

/// Reduces \p options to a random sample and the engines with the longest cached prefix.
///
/// If each entry sent its next request to the engine that is least loaded by the same reported sum, some engines would get fifteen times
/// the mean within a second while others idle. Each request therefore compares only a few engines, sampled with a preference for those
/// with more capacity, and samples anew with each new report, so requests sent between two reports are spread.
auto keepSample(std::vector<EngineOption> &options, const PlacementQuery &query) -> void
{
    if (!query.sampledEngines) {
        return;
    }
    const auto isSampledFirst
        = [](const EngineOption &a, const EngineOption &b) { return std::pair(a.hasLongestPrefix, a.sampleKey) > std::pair(b.hasLongestPrefix, b.sampleKey); };
    std::sort(options.begin(), options.end(), isSampledFirst);
    const auto longestPrefixCount
        = static_cast<double>(std::count_if(options.begin(), options.end(), [](const EngineOption &option) { return option.hasLongestPrefix; }));
    const auto kept = static_cast<std::size_t>(std::lround(longestPrefixCount + *query.sampledEngines));
    options.resize(std::min(options.size(), kept));
}

} // namespace

auto sessionIdOf(const Prompt &prompt) -> std::uint64_t
{
    constexpr std::size_t SessionFromEnd = 2;
    return prompt.parts.size() < SessionFromEnd ? 0 : prompt.parts[prompt.parts.size() - SessionFromEnd].id;
}

auto belongsToShort(const PlacementQuery &query) -> bool
{
    return query.isShort.value_or(isShort(*query.prompt));
}

auto chooseEngine(const std::vector<ServerPointer> &servers, const CopySource &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> Placement
{
    auto options = makeOptions(servers, source, query, speed, now);
    if (options.empty()) {
        return {};
    }
    const auto isBetterOption = [](const EngineOption &a, const EngineOption &b) { return isBetter(a.candidate, b.candidate); };
    const auto isFull = [](const EngineOption &option) { return option.capacityTokens <= 0; };
    const auto backlog = backlogOf(servers, options, query);
    const auto mustWait = std::all_of(options.begin(), options.end(), isFull) || !isAdmittedByDraw(backlog, query);
    if (!mustWait) {
        std::erase_if(options, isFull);
        keepSample(options, query);
    }
    auto placement = std::min_element(options.begin(), options.end(), isBetterOption)->candidate.placement;
    placement.mustWait = mustWait;
    placement.backlog = backlog;
    return placement;
}

} // namespace auburnspread::passthrough::detail
