/// \file
/// The gateway's clocks.

#pragma once

#include "core/base/time.h"

#include <chrono>

namespace auburnspread::gateway
{

/// Time since the VM booted, including the time for which it was suspended.
///
/// Failure: a VM is suspended for seconds and resumes. Symptom: by the monotonic clock, which does not count the suspension, the
/// configuration was confirmed a moment ago, and a key that was withdrawn in the meantime is admitted. This clock counts the
/// suspension and is not affected by changes of the wall-clock time.
auto now() -> TimePoint;

/// Time since the Unix epoch, for data that is accounted in wall-clock windows.
///
/// Failure: the wall-clock time is stepped by seconds, and perhaps back again. Symptom: requests are counted in windows in which they
/// did not run. The wall-clock time is therefore read once and then advances with now(), which is not stepped.
class WallClock
{
public:
    WallClock();
    [[nodiscard]] auto at(TimePoint time) const -> std::chrono::milliseconds;

private:
    Duration offset_; ///< from now() to the wall-clock time
};

} // namespace auburnspread::gateway
