/// \file
/// Time as the decision core sees it: an argument, never a clock that is read.

#pragma once

#include <chrono>

namespace auburnspread
{

/// Microseconds: fine enough for token pacing, wide enough for any uptime.
using Duration = std::chrono::microseconds;

/// The core's clock. It has no now(): the caller of the core passes the time in. A daemon passes its
/// monotonic clock, a test passes whatever it wants.
struct CoreClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

using TimePoint = CoreClock::time_point;

constexpr auto scaled(Duration duration, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace auburnspread
