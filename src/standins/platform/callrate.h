/// \file
/// A limit on calls a second.

#pragma once

#include "core/base/time.h"

#include <optional>

namespace auburnspread::standins
{

struct CallRate {
    double perSecond = 0; ///< 0: no limit
    double left = 0;
    std::optional<TimePoint> filled; ///< when left was last raised; a limit begins with its whole burst
};

/// Counts one call and tells whether the limit admits it. A quarter of a second's calls may come at once.
auto admitCall(CallRate &rate, TimePoint now) -> bool;

} // namespace auburnspread::standins
