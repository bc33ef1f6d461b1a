/// \file
/// Seeded variation of intervals, so that processes and retries do not move in step.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::placement::detail
{

/// \p duration times a factor in [0.75, 1.25). \p random is a splitmix64 state.
inline auto withJitter(std::uint64_t &random, Duration duration) -> Duration
{
    random += 0x9e3779b97f4a7c15U;
    auto value = random;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    value ^= value >> 31U;
    constexpr double Lowest = 0.75;
    constexpr double Width = 0.5;
    constexpr double Range = 18446744073709551616.0;
    const auto factor = Lowest + Width * (static_cast<double>(value) / Range);
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace auburnspread::placement::detail
