#include "core/passthrough/retrybudget.h"

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

constexpr Duration SliceLength = std::chrono::milliseconds(250);

/// Part of the shared bound that the entries use. An entry that restarted has forgotten its repeats of the window and one
/// that left is still counted for some seconds, so the sum of what the entries believe may exceed the bound by a fifth or so.
constexpr double UsedPart = 0.6;

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

auto noteFirstSend(RetryBudget &budget, const RetryBounds &bounds, TimePoint now) -> void
{
    currentSlice(budget, bounds, now).firsts += 1;
}

auto takeRepeat(RetryBudget &budget, const RetryBounds &bounds, std::uint32_t entries, TimePoint now) -> bool
{
    auto &slice = currentSlice(budget, bounds, now);
    std::uint32_t firsts = 0;
    std::uint32_t repeats = 0;
    for (const auto &each : budget.slices) {
        firsts += each.firsts;
        repeats += each.repeats;
    }
    const auto allowance = bounds.allowance / std::max<std::uint32_t>(entries, 1);
    if (repeats + 1 > UsedPart * (bounds.ratio * firsts + allowance)) {
        return false;
    }
    slice.repeats += 1;
    return true;
}

} // namespace auburnspread::passthrough
