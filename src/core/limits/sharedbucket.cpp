#include "core/limits/sharedbucket.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::limits
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double DecaySeconds = 1.0;
constexpr double QuarterOfBurst = 0.25;

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

/// What may be taken between two reports though the peers do not know of it yet.
auto allowanceAhead(double room, double burst, std::uint32_t entries) -> double
{
    const auto even = room / std::max<std::uint32_t>(entries, 1);
    return isFarFromLimit(room, burst) ? std::max(even, burst * QuarterOfBurst) : even;
}

auto mayTakeAhead(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount) -> bool
{
    const auto burst = burstOf(options);
    if (bucket.cellLevel < std::min(amount, burst)) {
        return false;
    }
    const auto room = bucket.cellLevel + bucket.ahead;
    if (isFarFromLimit(room, burst) && bucket.ahead <= 0) {
        return true;
    }
    return bucket.ahead + amount <= allowanceAhead(room, burst, entries);
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

auto mayTake(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, TimePoint now) -> bool
{
    return mayTakeAhead(bucket, options, entries, amount) || mayTakeFromShare(bucket, options, entries, amount, now);
}

auto take(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, TimePoint now) -> void
{
    if (options.perSecond <= 0) {
        return;
    }
    // What the share cannot pay is a bounded debt of it: the cell's level has paid.
    const auto lowest = std::min(bucket.level, -burstOf(options) * QuarterOfBurst);
    const auto paid = bucket.level - amount;
    bucket.level = mayTakeFromShare(bucket, options, entries, amount, now) ? paid : std::max(lowest, paid);
    bucket.cellLevel -= amount;
    bucket.ahead += amount;
}

auto noteReported(SharedBucket &bucket, double demand, TimePoint now) -> void
{
    add(bucket.own, demand, now);
    bucket.ahead = 0;
}

auto notePeers(SharedBucket &bucket, const BucketOptions &options, double demand, TimePoint now) -> void
{
    add(bucket.peers, demand, now);
    if (options.perSecond <= 0) {
        return;
    }
    refillCell(bucket, options, now);
    // Demand that was refused was not taken: it closes the way ahead of the reports, but leaves no debt.
    const auto lowest = std::min(bucket.cellLevel, 0.0);
    bucket.cellLevel = std::max(lowest, bucket.cellLevel - demand);
}

auto timeUntil(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, TimePoint now) -> Duration
{
    constexpr double LongestWait = 60.0;
    const auto missing = std::min(amount, capacityOf(bucket, options, entries, now)) - bucket.level;
    const auto rate = std::max(refillRate(bucket, options, now), options.perSecond / std::max<std::uint32_t>(entries, 1) / 2.0);
    const auto wait = std::clamp(missing / rate, 0.0, LongestWait);
    return std::chrono::duration_cast<Duration>(Seconds(wait));
}

} // namespace auburnspread::limits
