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

/// At least one unit, so that a share below one request can still pass one now and then.
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

/// Whether the cell as a whole has so much left. An amount over what may ever be taken needs a full bucket.
auto isLeftInCell(const SharedBucket &bucket, const BucketOptions &options, const Amount &amount) -> bool
{
    const auto reserved = burstOf(options) * amount.reserve;
    return bucket.cellLevel - reserved >= std::min(amount.units, burstOf(options) - reserved);
}

/// Whether an entry may take so much between two reports though the peers do not know of it yet.
auto mayTakeAhead(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double units) -> bool
{
    const auto burst = burstOf(options);
    const auto room = bucket.cellLevel + bucket.ahead.recent;
    const auto unheard = bucket.aheadHighest.recent;
    if (isFarFromLimit(room, burst) && unheard <= 0) {
        return true;
    }
    return unheard + units <= std::max(room / std::max<std::uint32_t>(entries, 1), partAhead(room, burst));
}

/// The same for a lower tier: of what is above the reserve the entry's part, counted over two reports, since one may be
/// under way, and far from the limit a clump of requests. A quarter of the burst at each entry would reach below the
/// reserve, and so would what the shares saved up while the cell was below it.
auto mayTakeAboveReserve(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> bool
{
    const auto burst = burstOf(options);
    const auto unheard = totalOf(bucket.ahead);
    const auto room = bucket.cellLevel + unheard - burst * amount.reserve;
    const auto even = room / std::max<std::uint32_t>(entries, 1);
    const auto share = room * shareOf(bucket, entries, now);
    const auto isFar = isFarFromLimit(room, burst * (1 - amount.reserve));
    const auto clump = isFar ? std::min(burst * MostClumped, amount.units * ClumpedRequests) : 0.0;
    return (isFar && unheard <= 0) || unheard + amount.units <= std::max({ even, share, clump });
}

auto mayTakeFromShare(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, TimePoint now) -> bool
{
    return bucket.level >= std::min(amount, capacityOf(bucket, options, entries, now));
}

} // namespace

auto isFarFromLimit(double room, double limit) -> bool
{
    constexpr double Far = 0.5;
    return room >= limit * Far;
}

auto partAhead(double room, double limit) -> double
{
    constexpr double Some = 0.2; // below what is kept for the highest tier, so that its clumps pass also while lower ones use the rest
    constexpr double EighthOfLimit = 0.125;
    if (isFarFromLimit(room, limit)) {
        return limit * QuarterOfLimit;
    }
    return room >= limit * Some ? limit * EighthOfLimit : 0;
}

auto totalOf(const Unheard &unheard) -> double
{
    return unheard.recent + unheard.before;
}

auto shift(Unheard &unheard) -> void
{
    unheard = { .before = unheard.recent };
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
    // Without reported demand the share is an even one: were it the whole, a burst that reaches all entries at once would pass once at each.
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
    const auto isLeft = isLeftInCell(bucket, options, amount);
    if (amount.reserve > 0) {
        return isLeft && mayTakeAboveReserve(bucket, options, entries, amount, now);
    }
    return (isLeft && mayTakeAhead(bucket, options, entries, amount.units)) || mayTakeFromShare(bucket, options, entries, amount.units, now);
}

auto take(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> void
{
    if (options.perSecond <= 0) {
        return;
    }
    // What the share cannot pay is a bounded debt of it: the cell's level has paid.
    const auto lowest = std::min(bucket.level, -burstOf(options) * QuarterOfLimit);
    const auto paid = bucket.level - amount.units;
    bucket.level = mayTakeFromShare(bucket, options, entries, amount.units, now) ? paid : std::max(lowest, paid);
    bucket.cellLevel -= amount.units;
    bucket.ahead.recent += amount.units;
    if (amount.reserve <= 0) {
        bucket.aheadHighest.recent += amount.units;
    }
}

auto noteReported(SharedBucket &bucket, double demand, TimePoint now) -> void
{
    add(bucket.own, demand, now);
    shift(bucket.ahead);
    shift(bucket.aheadHighest);
}

auto notePeers(SharedBucket &bucket, const BucketOptions &options, double demand, TimePoint now) -> void
{
    add(bucket.peers, demand, now);
    if (options.perSecond <= 0) {
        return;
    }
    refillCell(bucket, options, now);
    // Demand that was refused was not taken: it closes the way ahead of the reports, but for no longer than a second. With
    // no debt at all, what comes in between two reports would be taken anew by each entry.
    const auto lowest = std::min(bucket.cellLevel, -options.perSecond);
    bucket.cellLevel = std::max(lowest, bucket.cellLevel - demand);
}

auto timeUntil(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> Duration
{
    constexpr double LongestWait = 60.0;
    const auto missing = std::min(amount.units, capacityOf(bucket, options, entries, now)) - bucket.level;
    const auto rate = std::max(refillRate(bucket, options, now), options.perSecond / std::max<std::uint32_t>(entries, 1) / 2.0);
    const auto reserved = burstOf(options) * amount.reserve;
    const auto missingInCell = reserved + std::min(amount.units, burstOf(options) - reserved) - bucket.cellLevel;
    const auto wait = amount.reserve > 0 ? missingInCell / options.perSecond : missing / rate;
    return std::chrono::duration_cast<Duration>(Seconds(std::clamp(wait, 0.0, LongestWait)));
}

} // namespace auburnspread::limits
