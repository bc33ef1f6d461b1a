#include "core/passthrough/serverlimit.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Window over which all entries together keep to the limit.
constexpr Duration Window = RecentCount::MaxWindow;
/// Window over which an entry keeps to its own share: longer than the delay of peer reports, even in a large fleet.
constexpr Duration OwnShareWindow = std::chrono::seconds(1);

/// Number of entries that may send even at a limit of zero: with only one, it might be down or have no requests.
constexpr double MinSenders = 2;

/// Share of the limit that requests may use if there are more urgent tiers, so that a more urgent request finds room at once.
constexpr double ShareWithReserve = 0.75;

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/// \return at least one, since the end of a limit of zero could not be detected without sending a request
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
    const auto senders = MinSenders + std::floor(std::max(perSecond, 0.0));
    // The entries' membership lists may differ for a moment, and then up to twice as many entries send. With no more entries than that,
    // restricting the senders gains nothing.
    return entries <= 2 * senders ? entries : static_cast<std::uint32_t>(senders);
}

auto maySend(const ServerLimit &limit, const LimitUsage &usage, TimePoint now) -> bool
{
    const auto perSecond = newestStatement(limit).perSecond;
    if (!perSecond) {
        return true;
    }
    const auto senders = allowedSenders(*perSecond, usage.entries);
    if (usage.entries == 0 || limit.senderRank >= senders) {
        return false;
    }
    const auto ownShare = *perSecond / senders;
    if (countWithin(limit.ownSends, OwnShareWindow, now) + 1 > requestsWithin(ownShare, OwnShareWindow)) {
        return false;
    }
    const auto allowed = usage.peersKnown ? *perSecond : ownShare;
    const auto usable = allowed * (usage.leavesReserve ? ShareWithReserve : 1);
    return usage.sent + 1 <= requestsWithin(usable, Window);
}

} // namespace auburnspread::passthrough
