/// \file
/// The retry budget of one class. Without a bound, failing backend servers receive each request several times while
/// they are overloaded, and the fleet stays down after the original fault is gone. Retries limited to a fixed share of
/// new requests cannot multiply the load, whatever fails.
///
/// Each entry applies the share to its own new requests, so retries in the whole cell stay within the same share.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::retry
{

struct Budget {
    double level = 0;    ///< retries available; negative after repeats by callers
    TimePoint at;        ///< time of the last refill
    bool filled = false; ///< whether the initial level was set
};

/// Adds \p percent of a retry for a new request.
auto addRetryCredit(Budget &budget, std::uint32_t percent, TimePoint now) -> void;

/// Consumes one retry if the budget allows it, and returns whether it did. A class with too few requests to earn a retry
/// gets one every few seconds.
auto takeRetry(Budget &budget, TimePoint now) -> bool;

/// Charges a request that the caller itself repeats. It loads the backend servers as a retry does, so it is charged even
/// if the budget is empty.
auto chargeRepeat(Budget &budget, TimePoint now) -> void;

} // namespace auburnspread::retry
