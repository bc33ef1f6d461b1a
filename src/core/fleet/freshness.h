/// \file
/// Bounds the age of the store's data at an entry that gets it from others. Has no side effects.
///
/// Such an entry asks one reader after the other, and each that is silent, cut off or behind costs a timeout. The sum of these timeouts grows with
/// the number of lost entries, so the age of the data itself is watched: data that is too old is read from the store, whoever is being asked at that
/// moment. A read that brings nothing is repeated late, because every entry may be doing the same during an outage of the store, whose end the readers
/// notice first.

#pragma once

#include "core/base/time.h"

#include <optional>

namespace auburnspread::fleet
{

/// Age at which data of the store has to be read anew. A change must be in force 2 s after the store acknowledged it, and the read and what depends on
/// it take a part of that.
constexpr Duration MaxDataAge = std::chrono::milliseconds(1600);

/// Reads that an entry makes because its data is too old.
struct Freshness {
    TimePoint startedAt;                 ///< of this entry; while it has older data, it asks the others first
    std::optional<TimePoint> lastReadAt; ///< not set: none yet
};

auto makeFreshness(TimePoint startedAt) -> Freshness;

/// Whether data as of \p asOf has to be read now. If so, the read is recorded.
auto takeDueRead(Freshness &freshness, TimePoint asOf, TimePoint now) -> bool;

/// When data as of \p asOf has to be read unless there is newer data by then.
auto nextReadAt(const Freshness &freshness, TimePoint asOf) -> TimePoint;

} // namespace auburnspread::fleet
