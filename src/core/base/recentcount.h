/// \file
/// Counts events within a sliding window of some seconds.

#pragma once

#include "core/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnspread
{

/// Ring of counters, one for each step of the longest window and one for the current step.
struct RecentCount {
    static constexpr Duration Step = std::chrono::milliseconds(250);
    static constexpr std::size_t Steps = 16;
    static constexpr Duration MaxWindow = Steps * Step;

    std::array<std::uint32_t, Steps + 1> counts{};
    std::int64_t lastStep = 0; ///< number of the latest step in which an event was counted
};

auto addOne(RecentCount &count, TimePoint now) -> void;

/// Events within \p window, which is capped at RecentCount::MaxWindow. Events of up to one step before the window may be included.
auto countWithin(const RecentCount &count, Duration window, TimePoint now) -> std::uint32_t;

} // namespace auburnspread
