/// \file
/// Conversion between durations and milliseconds as floating-point numbers, for rates and estimates.

#pragma once

#include "core/base/time.h"

namespace auburnspread::passthrough::detail
{

constexpr auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

constexpr auto toDuration(double milliseconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace auburnspread::passthrough::detail
