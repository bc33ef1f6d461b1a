/// \file
/// A token bucket whose rate holds over all entries of a cell together, kept by each entry alone.
///
/// An entry keeps two levels. The cell's level is what all entries together have left: it falls by what is taken here at
/// once, and by the peers' demand when they report it. While it is high, an entry takes ahead of the reports: up to a
/// quarter of the burst, or one request of any size. While it is low, it takes its even part of what is left. Only
/// beyond that does the entry keep to its share. Lower tiers leave a reserve and take less ahead: see mayTake().
///
/// Failure: callers keep to one address for seconds, so a workspace's calls come in clumps to one entry after the other,
/// whose own demand counts from its next report only. Symptom: its share is next to nothing and it refuses a workspace
/// that is far below its limits. The cell's level is enough against it, since it does not depend on where the demand is;
/// the entries together take at most the burst, or a quarter of it each if that is more, before they hear of one another,
/// and once the level is low no more than is left.
///
/// For the shares, entries report their demand to each other a few times a second and work them out from what was reported,
/// their own demand included: from the same data, so that the shares of a cell sum to one. While the rate suffices for
/// all, an entry refills with what its peers leave; once it does not, with the part of the rate that its own demand has
/// in the whole. The two meet where demand equals the rate, and demand counts refused requests too, so that a share
/// does not depend on what was allowed before: there is nothing to oscillate.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::limits
{

/// Requests of a lower tier that an entry may take over two reports far from the limit, where its part of a small limit
/// would be less than callers send in one clump; at most half of the limit.
constexpr double ClumpedRequests = 12;
constexpr double MostClumped = 0.5;

/// Units a second, by exponential decay over about a second.
struct DecayingRate {
    double sum = 0;
    TimePoint at;
};

auto add(DecayingRate &rate, double amount, TimePoint now) -> void;
auto perSecond(const DecayingRate &rate, TimePoint now) -> double;

/// What was taken here and peers may not have heard of: reports are late, so the last one may still be under way.
struct Unheard {
    double recent = 0; ///< since the last report
    double before = 0; ///< between the last report and the one before
};

auto totalOf(const Unheard &unheard) -> double;

/// A report goes out.
auto shift(Unheard &unheard) -> void;

/// What the document allows all entries together.
struct BucketOptions {
    double perSecond = 0; ///< 0: no limit
    double burst = 0;     ///< 0: one second's worth
};

struct SharedBucket {
    double level = 0;     ///< of this entry's share
    double cellLevel = 0; ///< of all entries together, as far as known here
    Unheard ahead;        ///< by all tiers
    Unheard aheadHighest; ///< by the highest tier
    TimePoint at;
    TimePoint cellAt;
    bool filled = false;     ///< whether the level was set for the first time
    bool cellFilled = false; ///< the same for the cell's
    DecayingRate own;        ///< demand here as reported to the peers, refused demand included
    DecayingRate peers;      ///< demand at the other entries as they reported it
};

/// Whether \p room, what is left of \p limit, is so much that entries may take ahead of what they know of each other.
auto isFarFromLimit(double room, double limit) -> bool;

/// The part of \p limit that an entry may take between two reports, however many entries there are: a quarter far from
/// the limit, an eighth while a fifth is left, nothing below.
auto partAhead(double room, double limit) -> double;

/// The part of \p options that this entry may use now, 0 to 1, if \p entries share it.
auto shareOf(const SharedBucket &bucket, std::uint32_t entries, TimePoint now) -> double;

/// Brings both levels up to \p now.
auto refill(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, TimePoint now) -> void;

/// What is asked of a bucket.
struct Amount {
    double units = 0;
    double reserve = 0; ///< the part of the burst that must be left afterwards
};

/// Whether \p amount may be taken. With a reserve, only of what is above it, the entry's part of that between two reports,
/// so that the entries together do not reach below it while their reports are late. An amount over the
/// whole burst needs a full bucket and leaves a debt. Call refill() first.
auto mayTake(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> bool;

/// Takes \p amount after mayTake() allowed it.
auto take(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> void;

/// A report goes out; \p demand is what the one before it said and the peers have heard of by now.
auto noteReported(SharedBucket &bucket, double demand, TimePoint now) -> void;

/// The peers' demand since their last report.
auto notePeers(SharedBucket &bucket, const BucketOptions &options, double demand, TimePoint now) -> void;

/// Time until mayTake() may hold, if demand stays as it is.
auto timeUntil(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, const Amount &amount, TimePoint now) -> Duration;

} // namespace auburnspread::limits
