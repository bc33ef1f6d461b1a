#include "core/passthrough/retrybudget.h"

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

constexpr Duration SliceLength = std::chrono::milliseconds(250);

/// Fraction of the shared limit that the entries use. A restarted entry has lost the count of its retries in the window, and an
/// entry that left is still counted for a few seconds, so the entries together could otherwise exceed the limit by about a fifth.
constexpr double UsedFraction = 0.6;

auto currentSlice(RetryBudget &budget, const RetryBounds &bounds, TimePoint now) -> RetryBudget::Slice &
{
    while (!budget.slices.empty() && now - budget.slices.front().from >= bounds.window + SliceLength) {
        budget.slices.pop_front();
    }
    if (budget.slices.empty() || now - budget.slices.back().from >= SliceLength) {
        budget.slices.push_back({ .from = now });
    }
    return budget.slices.back();
}

} // namespace

auto recordFirstSend(RetryBudget &budget, const RetryBounds &bounds, TimePoint now) -> void
{
    currentSlice(budget, bounds, now).firstSends += 1;
}

auto allowsRetry(RetryBudget &budget, const RetryBounds &bounds, std::uint32_t entries, TimePoint now) -> bool
{
    currentSlice(budget, bounds, now); // drops the slices that have left the window
    std::uint32_t firstSends = 0;
    std::uint32_t retries = 0;
    for (const auto &each : budget.slices) {
        firstSends += each.firstSends;
        retries += each.retries;
    }
    const auto allowance = bounds.allowance / std::max<std::uint32_t>(entries, 1);
    return retries + 1 <= UsedFraction * (bounds.ratio * firstSends + allowance);
}

auto tryConsumeRetry(RetryBudget &budget, const RetryBounds &bounds, std::uint32_t entries, TimePoint now) -> bool
{
    if (!allowsRetry(budget, bounds, entries, now)) {
        return false;
    }
    currentSlice(budget, bounds, now).retries += 1;
    return true;
}

} // namespace auburnspread::passthrough
