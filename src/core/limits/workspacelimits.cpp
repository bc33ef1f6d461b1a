#include "core/limits/workspacelimits.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace auburnspread::limits
{

namespace
{

constexpr auto ConcurrencyRetryAfter = std::chrono::seconds(1);

auto requestOptions(const configuration::Workspace &limits) -> BucketOptions
{
    return { .perSecond = static_cast<double>(limits.requestsPerSecond), .burst = static_cast<double>(limits.requestBurst) };
}

auto tokenOptions(const configuration::Workspace &limits) -> BucketOptions
{
    return { .perSecond = static_cast<double>(limits.tokensPerSecond), .burst = static_cast<double>(limits.tokenBurst) };
}

/// At least one place, also of a small limit.
auto placesFor(const configuration::Workspace &limits, double reserve) -> std::uint32_t
{
    const auto kept = static_cast<std::uint32_t>(std::ceil(limits.concurrency * reserve));
    return std::max(1U, limits.concurrency - kept);
}

/// Whether an entry may open one more though the peers do not know of all that it opened. A highest tier may open a part of
/// the limit, and otherwise keeps to the entry's part of the places; a lower one keeps to its part of what is left of its own.
auto mayOpenAhead(const WorkspaceUsage &usage, const configuration::Workspace &limits, double reserve, std::uint32_t entries, TimePoint now) -> bool
{
    const auto places = placesFor(limits, reserve);
    const auto unheard = totalOf(usage.opened);
    const auto room = std::min<double>(places, places - usage.open - usage.peersOpen + unheard);
    const auto share = shareOf(usage.requests, entries, now);
    const auto part = partAhead(room, limits.concurrency);
    const auto isFar = isFarFromLimit(room, places);
    const auto least = isFar ? 1.0 : 0.0;
    const auto even = room / std::max<std::uint32_t>(entries, 1);
    if (reserve > 0) {
        const auto clump = isFar ? std::min(limits.concurrency * MostClumped, ClumpedRequests) : 0.0;
        return unheard + 1 <= std::max({ least, even, room * share, clump });
    }
    if (totalOf(usage.openedHighest) + 1 <= std::max({ least, even, part })) {
        return true;
    }
    return usage.open == 0 || usage.open < std::ceil(places * share);
}

auto hasOpenPlace(const WorkspaceUsage &usage, const configuration::Workspace &limits, double reserve, std::uint32_t entries, TimePoint now) -> bool
{
    if (limits.concurrency == 0) {
        return true;
    }
    if (usage.open + usage.peersOpen >= placesFor(limits, reserve)) {
        return false;
    }
    return mayOpenAhead(usage, limits, reserve, entries, now);
}

auto checkBucket(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, Reason reason, TimePoint now)
    -> std::optional<Limited>
{
    if (options.perSecond <= 0) {
        return std::nullopt;
    }
    refill(bucket, options, entries, now);
    if (mayTake(bucket, options, entries, amount, now)) {
        return std::nullopt;
    }
    return Limited{ .reason = reason, .retryAfter = timeUntil(bucket, options, entries, amount, now) };
}

auto findLimit(WorkspaceUsage &usage, const configuration::Workspace &limits, const Ask &ask, std::uint32_t entries, TimePoint now) -> std::optional<Limited>
{
    if (!hasOpenPlace(usage, limits, ask.reserve, entries, now)) {
        return Limited{ .reason = Reason::WorkspaceConcurrency, .retryAfter = ConcurrencyRetryAfter };
    }
    const Amount one{ .units = 1, .reserve = ask.reserve };
    if (const auto limited = checkBucket(usage.requests, requestOptions(limits), entries, one, Reason::WorkspaceRequestRate, now)) {
        return limited;
    }
    const Amount tokens{ .units = static_cast<double>(ask.tokens), .reserve = ask.reserve };
    return checkBucket(usage.tokens, tokenOptions(limits), entries, tokens, Reason::WorkspaceTokenRate, now);
}

/// What the request takes of what lower tiers are owed, or adds to it.
auto settleOwed(WorkspaceUsage &usage, double reserve, bool passedReserve) -> void
{
    constexpr double OwedForOne = 0.1;
    constexpr double MostOwed = 3;
    if (passedReserve) {
        usage.owed -= 1;
    } else if (reserve < LargestReserve) {
        usage.owed = std::min(MostOwed, usage.owed + OwedForOne);
    }
}

auto noteDemand(WorkspaceUsage &usage, const Ask &ask) -> void
{
    usage.unreported.requests += 1;
    usage.unreported.tokens += ask.tokens;
}

} // namespace

auto addTier(Tiers tiers, int tier) -> Tiers
{
    return tiers | (1U << static_cast<unsigned>(tier));
}

auto reserveOf(Tiers tiers, int tier) -> double
{
    const auto steps = std::popcount(tiers) - 1;
    if (steps <= 0) {
        return 0;
    }
    const auto higher = std::popcount(tiers & (addTier(0, tier) - 1));
    return std::min(1.0, static_cast<double>(higher) / steps) * LargestReserve;
}

auto takeIn(WorkspaceUsage &usage, const configuration::Workspace &limits, const Ask &ask, std::uint32_t entries, TimePoint now) -> std::optional<Limited>
{
    auto limited = findLimit(usage, limits, ask, entries, now);
    const auto mayPassReserve = limited && ask.reserve > 0 && usage.owed >= 1;
    if (mayPassReserve) {
        limited = findLimit(usage, limits, { .tokens = ask.tokens }, entries, now);
    }
    if (!limited || ask.reserve <= 0) {
        noteDemand(usage, ask);
    }
    if (limited) {
        return limited;
    }
    settleOwed(usage, ask.reserve, mayPassReserve);
    take(usage.requests, requestOptions(limits), entries, { .units = 1, .reserve = ask.reserve }, now);
    take(usage.tokens, tokenOptions(limits), entries, { .units = static_cast<double>(ask.tokens), .reserve = ask.reserve }, now);
    usage.open += 1;
    usage.opened.recent += 1;
    usage.openedHighest.recent += ask.reserve > 0 ? 0 : 1;
    return std::nullopt;
}

auto release(WorkspaceUsage &usage, std::uint32_t charged, std::uint32_t used) -> void
{
    usage.open -= 1;
    const auto unused = static_cast<double>(charged) - static_cast<double>(used);
    usage.tokens.level += unused;
    usage.tokens.cellLevel += unused;
}

auto takeDemand(WorkspaceUsage &usage, TimePoint now) -> Demand
{
    const auto demand = usage.unreported;
    usage.unreported = {};
    shift(usage.opened);
    shift(usage.openedHighest);
    noteReported(usage.requests, usage.lastReported.requests, now);
    noteReported(usage.tokens, usage.lastReported.tokens, now);
    usage.lastReported = demand;
    return demand;
}

auto notePeerDemand(WorkspaceUsage &usage, const configuration::Workspace &limits, const Demand &demand, TimePoint now) -> void
{
    notePeers(usage.requests, requestOptions(limits), demand.requests, now);
    notePeers(usage.tokens, tokenOptions(limits), demand.tokens, now);
}

} // namespace auburnspread::limits
