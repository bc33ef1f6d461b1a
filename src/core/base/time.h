/// \file
/// Time types of the decision cores, which receive the time as an argument and never read a clock.

#pragma once

#include <chrono>

namespace auburnspread
{

/// Microseconds are precise enough for token pacing, and 64 bits of them cover any uptime.
using Duration = std::chrono::microseconds;

/// The clock type of the decision cores. It has no now(), since the code that calls a core passes the time: a daemon that of its monotonic
/// clock, a test any time.
struct CoreClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

using TimePoint = CoreClock::time_point;

/// \return \p duration multiplied by \p factor, truncated to microseconds
constexpr auto scaled(Duration duration, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace auburnspread
