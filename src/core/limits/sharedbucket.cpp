#include "core/limits/sharedbucket.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::limits
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double DecaySeconds = 1.0;
constexpr double QuarterOfLimit = 0.25;

auto decayed(const DecayingRate &rate, TimePoint now) -> double
{
    const auto age = Seconds(now - rate.at).count();
    return rate.sum * std::exp(-std::max(age, 0.0) / DecaySeconds);
}

auto burstOf(const BucketOptions &options) -> double
{
    return options.burst > 0 ? options.burst : options.perSecond;
}

/// Capacity of this entry's share: at least one unit, so that a share below one request still admits one from time to time.
auto capacityOf(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, TimePoint now) -> double
{
    return std::max(1.0, burstOf(options) * shareOf(bucket, entries, now));
}

auto refillRate(const SharedBucket &bucket, const BucketOptions &options, TimePoint now) -> double
{
    const auto own = perSecond(bucket.own, now);
    const auto peers = perSecond(bucket.peers, now);
    if (own + peers <= options.perSecond) {
        return options.perSecond - peers;
    }
    return options.perSecond * own / (own + peers);
}

auto refillCell(SharedBucket &bucket, const BucketOptions &options, TimePoint now) -> void
{
    if (!bucket.cellFilled) {
        bucket.cellFilled = true;
        bucket.cellLevel = burstOf(options);
    }
    const auto age = std::max(Seconds(now - bucket.cellAt).count(), 0.0);
    bucket.cellLevel = std::min(burstOf(options), bucket.cellLevel + age * options.perSecond);
    bucket.cellAt = now;
}

/// Whether the cell as a whole has \p amount left. An amount larger than what may ever be taken needs a full bucket.
auto hasCellAmount(const SharedBucket &bucket, const BucketOptions &options, const Amount &amount) -> bool
{
    const auto reservedAmount = burstOf(options) * amount.reserve;
    return bucket.cellLevel - reservedAmount >= std::min(amount.units, burstOf(options) - reservedAmount);
}

/// Whether an entry may take \p units between two reports although its peers do not know of them yet.
auto mayTakeAhead(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double units) -> bool
{
    const auto burst = burstOf(options);
    const auto available = bucket.cellLevel + bucket.ahead.recent;
    const auto unreported = bucket.aheadHighest.recent;
    if (isFarFromLimit(available, burst) && unreported <= 0) {
        return true;
    }
    return unreported + units <= std::max(available / std::max<std::uint32_t>(entries, 1), allowanceAhead(available, burst));
}

/// The same for a lower tier: an entry may take its part of what is above the reserve, counted over two reports because one may be in
/// transit, and far from the limit a clump of requests. A quarter of the burst at each entry would use up the reserve, and so would the
/// level that the shares have accumulated while the cell was below it.
auto mayTakeAboveReserve(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> bool
{
    const auto burst = burstOf(options);
    const auto unreported = totalOf(bucket.ahead);
    const auto available = bucket.cellLevel + unreported - burst * amount.reserve;
    const auto evenPart = available / std::max<std::uint32_t>(entries, 1);
    const auto share = available * shareOf(bucket, entries, now);
    const auto isFar = isFarFromLimit(available, burst * (1 - amount.reserve));
    const auto clumpAllowance = isFar ? std::min(burst * MaxClumpShare, amount.units * MaxClumpRequests) : 0.0;
    return (isFar && unreported <= 0) || unreported + amount.units <= std::max({ evenPart, share, clumpAllowance });
}

auto mayTakeFromShare(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, TimePoint now) -> bool
{
    return bucket.level >= std::min(amount, capacityOf(bucket, options, entries, now));
}

} // namespace

auto isFarFromLimit(double available, double limit) -> bool
{
    constexpr double FarShare = 0.5;
    return available >= limit * FarShare;
}

auto allowanceAhead(double available, double limit) -> double
{
    constexpr double SmallRemainder = 0.2; // less than the reserve of the highest tier, so that its clumps are admitted while lower tiers use the rest
    constexpr double EighthOfLimit = 0.125;
    if (isFarFromLimit(available, limit)) {
        return limit * QuarterOfLimit;
    }
    return available >= limit * SmallRemainder ? limit * EighthOfLimit : 0;
}

auto totalOf(const UnreportedAmount &amount) -> double
{
    return amount.recent + amount.before;
}

auto startNextInterval(UnreportedAmount &amount) -> void
{
    amount = { .before = amount.recent };
}

auto add(DecayingRate &rate, double amount, TimePoint now) -> void
{
    rate.sum = decayed(rate, now) + amount;
    rate.at = now;
}

auto perSecond(const DecayingRate &rate, TimePoint now) -> double
{
    return decayed(rate, now) / DecaySeconds;
}

auto shareOf(const SharedBucket &bucket, std::uint32_t entries, TimePoint now) -> double
{
    // Without reported demand, all entries have even shares. If each had the whole, a burst that reaches all entries at once would be admitted
    // in full by each of them.
    constexpr double EvenDemand = 0.05;
    const auto count = static_cast<double>(std::max<std::uint32_t>(entries, 1));
    const auto own = perSecond(bucket.own, now);
    const auto all = own + perSecond(bucket.peers, now);
    return (own + EvenDemand / count) / (all + EvenDemand);
}

auto refill(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, TimePoint now) -> void
{
    refillCell(bucket, options, now);
    const auto capacity = capacityOf(bucket, options, entries, now);
    if (!bucket.filled) {
        bucket.filled = true;
        bucket.level = capacity;
    }
    const auto age = Seconds(now - bucket.at).count();
    bucket.level = std::min(capacity, bucket.level + age * refillRate(bucket, options, now));
    bucket.at = now;
}

auto mayTake(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> bool
{
    const auto isAvailableInCell = hasCellAmount(bucket, options, amount);
    if (amount.reserve > 0) {
        return isAvailableInCell && mayTakeAboveReserve(bucket, options, entries, amount, now);
    }
    return (isAvailableInCell && mayTakeAhead(bucket, options, entries, amount.units)) || mayTakeFromShare(bucket, options, entries, amount.units, now);
}

auto take(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> void
{
    if (options.perSecond <= 0) {
        return;
    }
    // The share may go into a bounded debt for an amount that only the cell level covers.
    const auto lowestLevel = std::min(bucket.level, -burstOf(options) * QuarterOfLimit);
    const auto remaining = bucket.level - amount.units;
    bucket.level = mayTakeFromShare(bucket, options, entries, amount.units, now) ? remaining : std::max(lowestLevel, remaining);
    bucket.cellLevel -= amount.units;
    bucket.ahead.recent += amount.units;
    if (amount.reserve <= 0) {
        bucket.aheadHighest.recent += amount.units;
    }
}

auto recordReport(SharedBucket &bucket, double demand, TimePoint now) -> void
{
    add(bucket.own, demand, now);
    startNextInterval(bucket.ahead);
    startNextInterval(bucket.aheadHighest);
}

auto recordPeerDemand(SharedBucket &bucket, const BucketOptions &options, double demand, TimePoint now) -> void
{
    add(bucket.peers, demand, now);
    if (options.perSecond <= 0) {
        return;
    }
    refillCell(bucket, options, now);
    // Reported demand includes refused requests, which took nothing. It blocks taking ahead of the reports, but for no longer than a second.
    // Without any debt, the refill between two reports would be taken by each entry anew.
    const auto lowestLevel = std::min(bucket.cellLevel, -options.perSecond);
    bucket.cellLevel = std::max(lowestLevel, bucket.cellLevel - demand);
}

auto timeUntilAvailable(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> Duration
{
    constexpr double LongestWait = 60.0;
    const auto missing = std::min(amount.units, capacityOf(bucket, options, entries, now)) - bucket.level;
    const auto rate = std::max(refillRate(bucket, options, now), options.perSecond / std::max<std::uint32_t>(entries, 1) / 2.0);
    const auto reservedAmount = burstOf(options) * amount.reserve;
    const auto missingInCell = reservedAmount + std::min(amount.units, burstOf(options) - reservedAmount) - bucket.cellLevel;
    const auto wait = amount.reserve > 0 ? missingInCell / options.perSecond : missing / rate;
    return std::chrono::duration_cast<Duration>(Seconds(std::clamp(wait, 0.0, LongestWait)));
}

} // namespace auburnspread::limits
