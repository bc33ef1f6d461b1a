#include "gateway/clock.h"

#include <ctime>

namespace auburnspread::gateway
{

namespace
{

auto readClock(clockid_t clock) -> Duration
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

auto now() -> TimePoint
{
    return TimePoint(readClock(CLOCK_BOOTTIME));
}

WallClock::WallClock()
    : offset_(readClock(CLOCK_REALTIME) - readClock(CLOCK_BOOTTIME))
{
}

auto WallClock::at(TimePoint time) const -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch() + offset_);
}

} // namespace auburnspread::gateway
