/// \file
/// Bounds how often requests are sent a second time. All entries share one bound for each service: a part of the
/// requests of a sliding window plus a fixed allowance. Failure: backend servers fail widely and each request is sent to
/// several of them. Symptom: twice the load just when the fleet bears least. Each entry keeps within the part that its own
/// requests pay for and an even part of the allowance, so the sum over the entries stays within the shared bound.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <deque>

namespace auburnspread::passthrough
{

struct RetryBounds {
    double ratio = 0.2;                         ///< repeats per first send
    double allowance = 50;                      ///< repeats in a window besides, over all entries
    Duration window = std::chrono::seconds(10); ///< sliding
};

/// What one entry sent to one service lately.
struct RetryBudget {
    struct Slice {
        TimePoint from;
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };
    std::deque<Slice> slices; ///< oldest first
};

auto noteFirstSend(RetryBudget &budget, const RetryBounds &bounds, TimePoint now) -> void;
/// Takes one repeat, if there is one. \p entries: that are alive, this one included.
auto takeRepeat(RetryBudget &budget, const RetryBounds &bounds, std::uint32_t entries, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
