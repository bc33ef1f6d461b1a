/// \file
/// A token bucket whose rate holds over all entries of a cell together, kept by each entry alone.
///
/// Entries report their demand to each other a few times a second and work out their shares from what was reported,
/// their own demand included: from the same data, so that the shares of a cell sum to one. While the rate suffices for
/// all, an entry refills with what its peers leave; once it does not, with the part of the rate that its own demand has
/// in the whole. The two meet where demand equals the rate, and demand counts refused requests too, so that a share
/// does not depend on what was allowed before: there is nothing to oscillate.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::limits
{

/// Units a second, by exponential decay over about a second.
struct DecayingRate {
    double sum = 0;
    TimePoint at;
};

auto add(DecayingRate &rate, double amount, TimePoint now) -> void;
auto perSecond(const DecayingRate &rate, TimePoint now) -> double;

/// What the document allows all entries together.
struct BucketOptions {
    double perSecond = 0; ///< 0: no limit
    double burst = 0;     ///< 0: one second's worth
};

struct SharedBucket {
    double level = 0;
    TimePoint at;
    bool filled = false; ///< whether the level was set for the first time
    DecayingRate own;    ///< demand here as reported to the peers, refused demand included
    DecayingRate peers;  ///< demand at the other entries as they reported it
};

/// The part of \p options that this entry may use now, 0 to 1, if \p entries share it.
auto shareOf(const SharedBucket &bucket, std::uint32_t entries, TimePoint now) -> double;

/// Brings the level up to \p now.
auto refill(SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, TimePoint now) -> void;

/// Whether \p amount may be taken; an amount over the whole burst needs a full bucket and leaves a debt. Call refill() first.
auto mayTake(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, TimePoint now) -> bool;

/// Time until mayTake() may hold, if demand stays as it is.
auto timeUntil(const SharedBucket &bucket, const BucketOptions &options, std::uint32_t entries, double amount, TimePoint now) -> Duration;

} // namespace auburnspread::limits
