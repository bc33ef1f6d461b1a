/// \file
/// The gateway's clocks.

#pragma once

#include "core/base/time.h"

#include <chrono>

namespace auburnspread::gateway
{

/// Time since the VM started, including the time in which it was suspended.
///
/// Failure: a VM is suspended for seconds and goes on. Symptom: the monotonic clock says that the configuration was
/// confirmed a moment ago, and a key that was withdrawn meanwhile is admitted. This clock counts the suspension, and no
/// change of the time of day moves it.
auto now() -> TimePoint;

/// Time since the start of 1970, for what is counted by true time.
///
/// Failure: the time of day jumps by seconds, and perhaps back again. Symptom: requests are counted in windows in which they did not
/// run. The time of day is read once, and goes on with now(), which does not jump.
class TrueClock
{
public:
    TrueClock();
    [[nodiscard]] auto at(TimePoint time) const -> std::chrono::milliseconds;

private:
    Duration offset_; ///< of the time of day to now()
};

} // namespace auburnspread::gateway
