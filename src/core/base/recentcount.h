/// \file
/// How often something happened within the last seconds.

#pragma once

#include "core/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnspread
{

/// Counts by steps of time, those of RecentCount::Longest and the one that runs.
struct RecentCount {
    static constexpr Duration Step = std::chrono::milliseconds(250);
    static constexpr std::size_t Steps = 16;
    static constexpr Duration Longest = Steps * Step;

    std::array<std::uint32_t, Steps + 1> counts{};
    std::int64_t lastStep = 0; ///< that was counted in
};

auto addOne(RecentCount &count, TimePoint now) -> void;

/// What happened within \p window, RecentCount::Longest at most, and up to one step before it.
auto countWithin(const RecentCount &count, Duration window, TimePoint now) -> std::uint32_t;

} // namespace auburnspread
