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

/// Concurrent requests that are allowed outside the reserve: at least one, even for a small limit.
auto placesOutsideReserve(const configuration::Workspace &limits, double reserve) -> std::uint32_t
{
    const auto reservedPlaces = static_cast<std::uint32_t>(std::ceil(limits.concurrency * reserve));
    return std::max(1U, limits.concurrency - reservedPlaces);
}

/// Whether an entry may open one more request although its peers do not know of all its open requests. The highest tier may take an
/// allowance of the limit, and otherwise its entry's part of the places; a lower tier may take the entry's part of the places that are left
/// outside the reserve.
auto mayOpenAheadOfReports(const WorkspaceUsage &usage, const configuration::Workspace &limits, double reserve, std::uint32_t entries, TimePoint now) -> bool
{
    const auto places = placesOutsideReserve(limits, reserve);
    const auto unreported = totalOf(usage.opened);
    const auto available = std::min<double>(places, places - usage.open - usage.peersOpen + unreported);
    const auto share = shareOf(usage.requests, entries, now);
    const auto allowance = allowanceAhead(available, limits.concurrency);
    const auto isFar = isFarFromLimit(available, places);
    const auto minimum = isFar ? 1.0 : 0.0;
    const auto evenPart = available / std::max<std::uint32_t>(entries, 1);
    if (reserve > 0) {
        const auto clumpAllowance = isFar ? std::min(limits.concurrency * MaxClumpShare, MaxClumpRequests) : 0.0;
        return unreported + 1 <= std::max({ minimum, evenPart, available * share, clumpAllowance });
    }
    if (totalOf(usage.openedHighest) + 1 <= std::max({ minimum, evenPart, allowance })) {
        return true;
    }
    return usage.open == 0 || usage.open < std::ceil(places * share);
}

auto hasConcurrencyLeft(const WorkspaceUsage &usage, const configuration::Workspace &limits, double reserve, std::uint32_t entries, TimePoint now) -> bool
{
    if (limits.concurrency == 0) {
        return true;
    }
    if (usage.open + usage.peersOpen >= placesOutsideReserve(limits, reserve)) {
        return false;
    }
    return mayOpenAheadOfReports(usage, limits, reserve, entries, now);
}

auto checkRate(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, Reason reason, TimePoint now)
    -> std::optional<LimitRefusal>
{
    if (options.perSecond <= 0) {
        return std::nullopt;
    }
    refill(bucket, options, entries, now);
    if (mayTake(bucket, options, entries, amount, now)) {
        return std::nullopt;
    }
    return LimitRefusal{ .reason = reason, .retryAfter = timeUntilAvailable(bucket, options, entries, amount, now) };
}

auto findExceededLimit(WorkspaceUsage &usage, const configuration::Workspace &limits, const LimitRequest &request, std::uint32_t entries, TimePoint now)
    -> std::optional<LimitRefusal>
{
    if (!hasConcurrencyLeft(usage, limits, request.reserve, entries, now)) {
        return LimitRefusal{ .reason = Reason::WorkspaceConcurrency, .retryAfter = ConcurrencyRetryAfter };
    }
    const Amount one{ .units = 1, .reserve = request.reserve };
    if (const auto refusal = checkRate(usage.requests, requestOptions(limits), entries, one, Reason::WorkspaceRequestRate, now)) {
        return refusal;
    }
    const Amount tokens{ .units = static_cast<double>(request.tokens), .reserve = request.reserve };
    return checkRate(usage.tokens, tokenOptions(limits), entries, tokens, Reason::WorkspaceTokenRate, now);
}

/// Updates the credit of lower tiers after a request was admitted: a request that ignored the reserve uses it, one of a higher tier adds to it.
auto updateReserveCredit(WorkspaceUsage &usage, double reserve, bool ignoredReserve) -> void
{
    constexpr double CreditPerRequest = 0.1;
    constexpr double MaxCredit = 3;
    if (ignoredReserve) {
        usage.reserveCredit -= 1;
    } else if (reserve < MaxReserve) {
        usage.reserveCredit = std::min(MaxCredit, usage.reserveCredit + CreditPerRequest);
    }
}

auto countDemand(WorkspaceUsage &usage, const LimitRequest &request) -> void
{
    usage.unreported.requests += 1;
    usage.unreported.tokens += request.tokens;
}

} // namespace

auto addTier(TierSet tiers, int tier) -> TierSet
{
    return tiers | (1U << static_cast<unsigned>(tier));
}

auto reserveForTier(TierSet tiers, int tier) -> double
{
    const auto steps = std::popcount(tiers) - 1;
    if (steps <= 0) {
        return 0;
    }
    const auto higher = std::popcount(tiers & (addTier(0, tier) - 1));
    return std::min(1.0, static_cast<double>(higher) / steps) * MaxReserve;
}

auto admit(WorkspaceUsage &usage, const configuration::Workspace &limits, const LimitRequest &request, std::uint32_t entries, TimePoint now)
    -> std::optional<LimitRefusal>
{
    auto refusal = findExceededLimit(usage, limits, request, entries, now);
    const auto ignoresReserve = refusal && request.reserve > 0 && usage.reserveCredit >= 1;
    if (ignoresReserve) {
        refusal = findExceededLimit(usage, limits, { .tokens = request.tokens }, entries, now);
    }
    if (!refusal || request.reserve <= 0) {
        countDemand(usage, request);
    }
    if (refusal) {
        return refusal;
    }
    updateReserveCredit(usage, request.reserve, ignoresReserve);
    take(usage.requests, requestOptions(limits), entries, { .units = 1, .reserve = request.reserve }, now);
    take(usage.tokens, tokenOptions(limits), entries, { .units = static_cast<double>(request.tokens), .reserve = request.reserve }, now);
    usage.open += 1;
    usage.opened.recent += 1;
    usage.openedHighest.recent += request.reserve > 0 ? 0 : 1;
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
    startNextInterval(usage.opened);
    startNextInterval(usage.openedHighest);
    recordReport(usage.requests, usage.lastReported.requests, now);
    recordReport(usage.tokens, usage.lastReported.tokens, now);
    usage.lastReported = demand;
    return demand;
}

auto recordPeerDemand(WorkspaceUsage &usage, const configuration::Workspace &limits, const Demand &demand, TimePoint now) -> void
{
    recordPeerDemand(usage.requests, requestOptions(limits), demand.requests, now);
    recordPeerDemand(usage.tokens, tokenOptions(limits), demand.tokens, now);
}

} // namespace auburnspread::limits
