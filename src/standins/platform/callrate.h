/// \file
/// A limit on calls a second.

#pragma once

#include "core/base/time.h"

namespace auburnspread::standins
{

struct CallRate {
    double perSecond = 0; ///< 0: no limit
    double left = 0;
    TimePoint filled{};
};

/// Counts one call and tells whether the limit admits it. A quarter of a second's calls may come at once.
auto admitCall(CallRate &rate, TimePoint now) -> bool;

} // namespace auburnspread::standins
