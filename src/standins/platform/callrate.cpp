#include "standins/platform/callrate.h"

#include <algorithm>

namespace auburnspread::standins
{

namespace
{

constexpr double SecondsOfBurst = 0.25;

} // namespace

auto admitCall(CallRate &rate, TimePoint now) -> bool
{
    if (rate.perSecond <= 0) {
        return true;
    }
    const auto burst = std::max(1.0, rate.perSecond * SecondsOfBurst);
    const auto seconds = std::chrono::duration<double>(now - rate.filled.value_or(now)).count();
    rate.left = rate.filled ? std::min(burst, rate.left + seconds * rate.perSecond) : burst;
    rate.filled = now;
    if (rate.left < 1) {
        return false;
    }
    rate.left -= 1;
    return true;
}

} // namespace auburnspread::standins
