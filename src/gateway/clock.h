/// \file
/// The gateway's clock.

#pragma once

#include "core/base/time.h"

namespace auburnspread::gateway
{

/// Time since the VM started, including the time in which it was suspended.
///
/// Failure: a VM is suspended for seconds and goes on. Symptom: the monotonic clock says that the configuration was
/// confirmed a moment ago, and a key that was withdrawn meanwhile is admitted. This clock counts the suspension, and no
/// change of the time of day moves it.
auto now() -> TimePoint;

} // namespace auburnspread::gateway
