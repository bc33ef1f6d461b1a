#include "gateway/clock.h"

#include <ctime>

namespace auburnspread::gateway
{

auto now() -> TimePoint
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceStart = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

} // namespace auburnspread::gateway
