/// \file
/// A token bucket whose rate holds over all entries of a cell together, while each entry decides alone.
///
/// An entry keeps two levels. The cell level estimates what all entries together have left: it falls at once by what this entry
/// takes, and by the demand of its peers when they report it. While the cell level is high, an entry may take ahead of the reports: up
/// to a quarter of the burst, or one request of any size. While it is low, an entry may take its even part of what is left. Beyond
/// that, the entry is bound by the level of its own share. Lower tiers leave a reserve and may take less ahead; see mayTake().
///
/// The share alone is not enough: callers keep to one address for seconds, so the calls of a workspace arrive in clumps at one entry
/// after another, and an entry's own demand counts only from its next report on. Its share would be close to zero, and it would refuse a
/// workspace that is far below its limits. The cell level prevents this, since it does not depend on which entry has the demand.
/// Before they receive each other's reports, the entries together take at most the burst, or a quarter of it each if that is more; once
/// the level is low, they take no more than is left.
///
/// For the shares, entries report their demand to each other a few times a second, and each computes the shares from the reported
/// values, including its own. Since all use the same data, the shares of a cell sum to one. While the rate suffices for all, an entry
/// refills at the rate that its peers leave unused; otherwise, at the part of the rate that corresponds to its part of the total demand.
/// The two agree where demand equals the rate. Demand includes refused requests, so a share does not depend on what was admitted
/// before, and the shares do not oscillate.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::limits
{

/// Number of requests of a lower tier that an entry may take over two reports far from the limit, where its even part of a small limit
/// would be less than callers send in one clump; at most half of the limit.
constexpr double MaxClumpRequests = 12;
constexpr double MaxClumpShare = 0.5;

/// Rate in units per second: a sum that decays exponentially with a time constant of one second.
struct DecayingRate {
    double sum = 0;
    TimePoint at;
};

auto add(DecayingRate &rate, double amount, TimePoint now) -> void;
auto perSecond(const DecayingRate &rate, TimePoint now) -> double;

/// Amounts taken here that the peers may not know of yet: reports take time, so the last one may still be in transit.
struct UnreportedAmount {
    double recent = 0; ///< taken since the last report
    double before = 0; ///< taken between the last report and the one before
};

auto totalOf(const UnreportedAmount &amount) -> double;

/// Starts the next reporting interval.
auto startNextInterval(UnreportedAmount &amount) -> void;

/// Limits that the configuration sets for all entries together.
struct BucketOptions {
    double perSecond = 0; ///< units per second; 0: no limit
    double burst = 0;     ///< largest amount that can be taken at once; 0: the amount of one second
};

struct SharedBucket {
    double level = 0;              ///< level of this entry's share
    double cellLevel = 0;          ///< estimated level of all entries together
    UnreportedAmount ahead;        ///< taken by all tiers
    UnreportedAmount aheadHighest; ///< taken by the highest tier
    TimePoint at;                  ///< time of \c level
    TimePoint cellAt;              ///< time of \c cellLevel
    bool filled = false;           ///< whether \c level has been initialised
    bool cellFilled = false;       ///< whether \c cellLevel has been initialised
    DecayingRate own;              ///< demand at this entry as reported to the peers, including refused demand
    DecayingRate peers;            ///< demand at the other entries, as reported by them
};

/// Whether \p available, the unused part of \p limit, is so large that entries may take ahead of each other's reports.
auto isFarFromLimit(double available, double limit) -> bool;

/// The amount of \p limit that an entry may take between two reports, regardless of the number of entries: a quarter if far from the
/// limit, an eighth while at least a fifth is left, nothing below that.
auto allowanceAhead(double available, double limit) -> double;

/// The share of the rate and burst that this entry may use now, 0 to 1, if \p entries share them.
auto shareOf(const SharedBucket &bucket, std::uint32_t entries, TimePoint now) -> double;

/// Refills both levels up to \p now.
auto refill(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, TimePoint now) -> void;

/// The amount that a request takes from a bucket.
struct Amount {
    double units = 0;
    double reserve = 0; ///< fraction of the burst that must be left afterwards
};

/// Whether \p amount may be taken. With a reserve, only what is above it may be taken, and of that only the entry's part between two
/// reports, so that the entries together do not use the reserve while their reports are in transit. An amount larger than the burst
/// needs a full bucket and leaves a debt. Call refill() first.
auto mayTake(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> bool;

/// Takes \p amount after mayTake() allowed it.
auto take(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> void;

/// Records that a report is sent. \p demand is the demand of the previous report, which the peers have received by now.
auto recordReport(SharedBucket &bucket, double demand, TimePoint now) -> void;

/// Records the demand of peers since their previous report.
auto recordPeerDemand(SharedBucket &bucket, const BucketOptions &options, double demand, TimePoint now) -> void;

/// Time until mayTake() is expected to allow \p amount, if demand does not change.
auto timeUntilAvailable(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> Duration;

} // namespace auburnspread::limits
