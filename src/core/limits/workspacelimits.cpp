#include "core/limits/workspacelimits.h"

#include <algorithm>
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

/// Requests that may be opened between two reports though the peers do not know of them yet: while much room is left a
/// quarter of the limit, else an even part of the room.
auto allowanceAhead(std::uint32_t room, std::uint32_t limit, std::uint32_t entries) -> std::uint32_t
{
    const auto even = room / std::max<std::uint32_t>(entries, 1);
    return isFarFromLimit(room, limit) ? std::max({ 1U, even, limit / 4 }) : even;
}

/// Near the limit an entry keeps to the part that its demand has in the whole, besides to what its peers leave: all
/// entries see the same room, and would together take it once each.
auto hasOpenPlace(const WorkspaceUsage &usage, const configuration::Workspace &limits, std::uint32_t entries, TimePoint now) -> bool
{
    if (limits.concurrency == 0) {
        return true;
    }
    if (usage.open + usage.peersOpen >= limits.concurrency) {
        return false;
    }
    const auto unheard = usage.opened + usage.openedBefore;
    const auto room = limits.concurrency - usage.open - usage.peersOpen + unheard;
    if (unheard < allowanceAhead(std::min(room, limits.concurrency), limits.concurrency, entries)) {
        return true;
    }
    const auto share = std::ceil(limits.concurrency * shareOf(usage.requests, entries, now));
    return usage.open == 0 || usage.open < static_cast<std::uint32_t>(share);
}

auto checkBucket(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, Reason reason, TimePoint now)
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

} // namespace

auto takeIn(WorkspaceUsage &usage, const configuration::Workspace &limits, std::uint32_t tokens, std::uint32_t entries, TimePoint now) -> std::optional<Limited>
{
    usage.unreported.requests += 1;
    usage.unreported.tokens += tokens;
    if (!hasOpenPlace(usage, limits, entries, now)) {
        return Limited{ .reason = Reason::WorkspaceConcurrency, .retryAfter = ConcurrencyRetryAfter };
    }
    if (const auto limited = checkBucket(usage.requests, requestOptions(limits), entries, 1, Reason::WorkspaceRequestRate, now)) {
        return limited;
    }
    if (const auto limited = checkBucket(usage.tokens, tokenOptions(limits), entries, tokens, Reason::WorkspaceTokenRate, now)) {
        return limited;
    }
    take(usage.requests, requestOptions(limits), entries, 1, now);
    take(usage.tokens, tokenOptions(limits), entries, tokens, now);
    usage.open += 1;
    usage.opened += 1;
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
    usage.openedBefore = usage.opened;
    usage.opened = 0;
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
