/// \file
/// How many retries one class may make. Without a bound, failing backend servers are sent each request several times
/// just when they can bear least: the symptom is a fleet that stays down after its cause is gone. Retries that are a
/// fixed part of fresh traffic cannot multiply it, whatever fails.
///
/// Each entry keeps the part for its own fresh traffic, so the parts of a cell sum to the same part of the cell's.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::retry
{

struct Budget {
    double level = 0;
    TimePoint at;
    bool filled = false;
};

/// A fresh request pays in \p percent of a retry.
auto payIn(Budget &budget, std::uint32_t percent, TimePoint now) -> void;

/// Takes one retry, if there is one. A class that is too quiet to have paid one in gets one every few seconds.
auto takeRetry(Budget &budget, TimePoint now) -> bool;

/// The caller repeats a request itself: that loads the backend servers as a retry does, so it is taken like one, allowed or not.
auto chargeRepeat(Budget &budget, TimePoint now) -> void;

} // namespace auburnspread::retry
