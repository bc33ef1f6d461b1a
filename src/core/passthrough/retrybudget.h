/// \file
/// Retry budget of a service. All entries share one limit for each service: a fraction of the requests in a sliding window
/// plus a fixed allowance. Without a limit, a widespread failure of backend servers would double the load exactly when the
/// fleet has the least capacity, because each request is sent to several servers. Each entry limits its retries to the
/// fraction of its own requests plus an equal share of the allowance, so the sum over the entries stays within the shared limit.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <deque>

namespace auburnspread::passthrough
{

struct RetryBounds {
    double ratio = 0.2;                         ///< retries per first send
    double allowance = 50;                      ///< additional retries per window, over all entries
    Duration window = std::chrono::seconds(10); ///< length of the sliding window
};

/// First sends and retries of one entry to one service within the window.
struct RetryBudget {
    struct Slice {
        TimePoint from;
        std::uint32_t firstSends = 0;
        std::uint32_t retries = 0;
    };
    std::deque<Slice> slices; ///< oldest first
};

auto recordFirstSend(RetryBudget &budget, const RetryBounds &bounds, TimePoint now) -> void;
/// Whether the budget allows one more retry.
/// \param entries number of entries that are alive, this one included
auto allowsRetry(RetryBudget &budget, const RetryBounds &bounds, std::uint32_t entries, TimePoint now) -> bool;
/// Consumes one retry if the budget allows it.
/// \return false if the budget is exhausted
auto tryConsumeRetry(RetryBudget &budget, const RetryBounds &bounds, std::uint32_t entries, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
