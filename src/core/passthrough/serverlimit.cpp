#include "core/passthrough/serverlimit.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Over which all entries together keep to the limit.
constexpr Duration Window = RecentCount::Longest;
/// Within which an entry keeps to its own part: longer than reports of others take, also in a large fleet.
constexpr Duration OwnShareWindow = std::chrono::seconds(1);

/// Entries that share a limit of nothing: one of them may be down or without demand.
constexpr double MinSenders = 2;

/// Part of the limit that requests may use if there are more urgent tiers: a request of these finds room at once.
constexpr double ShareWithReserve = 0.75;

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/// At least one: a limit of nothing could never be seen to end.
auto requestsWithin(double perSecond, Duration window) -> double
{
    return std::max(1.0, perSecond * seconds(window));
}

} // namespace

auto newestStatement(const ServerLimit &limit) -> const LimitStatement &
{
    const auto isOlder = [](const LimitStatement *a, const LimitStatement *b) { return a->at < b->at; };
    return *std::max({ &limit.own, &limit.fromEntries, &limit.fromDomains, &limit.fromFleet }, isOlder);
}

auto isLimited(const ServerLimit &limit) -> bool
{
    return newestStatement(limit).perSecond.has_value();
}

auto updateOwnStatement(ServerLimit &limit, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> bool
{
    const auto before = newestStatement(limit);
    if (!perSecond && (!before.perSecond || sentAt < before.at)) {
        return false;
    }
    limit.own = { .perSecond = perSecond, .at = now };
    return perSecond != before.perSecond;
}

auto sendsWithinWindow(const ServerLimit &limit, TimePoint now) -> std::uint32_t
{
    return isLimited(limit) ? countWithin(limit.ownSends, Window, now) : 0;
}

auto allowedSenders(double perSecond, std::uint32_t entries) -> std::uint32_t
{
    const auto few = MinSenders + std::floor(std::max(perSecond, 0.0));
    // Lists of entries may differ for a moment, and then twice as many send. With no more entries than that there is nobody to leave out.
    return entries <= 2 * few ? entries : static_cast<std::uint32_t>(few);
}

auto maySend(const ServerLimit &limit, const LimitUsage &share, TimePoint now) -> bool
{
    const auto perSecond = newestStatement(limit).perSecond;
    if (!perSecond) {
        return true;
    }
    const auto sharers = allowedSenders(*perSecond, share.entries);
    if (share.entries == 0 || limit.senderRank >= sharers) {
        return false;
    }
    const auto ownPart = *perSecond / sharers;
    if (countWithin(limit.ownSends, OwnShareWindow, now) + 1 > requestsWithin(ownPart, OwnShareWindow)) {
        return false;
    }
    const auto allowed = share.peersKnown ? *perSecond : ownPart;
    const auto usable = allowed * (share.leavesReserve ? ShareWithReserve : 1);
    return share.sent + 1 <= requestsWithin(usable, Window);
}

} // namespace auburnspread::passthrough
