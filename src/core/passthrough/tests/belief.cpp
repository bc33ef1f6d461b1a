#include "core/passthrough/tests/belief.h"

#include <algorithm>

namespace auburnspread::passthrough::tests
{

auto simulateEstimates(const FleetSize &size, const ReportFaults &faults) -> EstimateRange
{
    constexpr double LongPromptsPerEngine = 3.7; // per second
    constexpr double ShortPromptsPerEngine = 3.1;
    const auto result = replay({
        .load = {
            .entries = size.entries,
            .engines = size.engines,
            .longPromptsPerSecond = LongPromptsPerEngine * static_cast<double>(size.engines),
            .shortPromptsPerSecond = ShortPromptsPerEngine * static_cast<double>(size.engines),
            .burst = 2,
            .sessions = 10 * size.engines,
            .length = std::chrono::seconds(3),
        },
        .reports = faults,
        .rest = std::chrono::seconds(0),
    });
    constexpr std::size_t FirstInterval = 4; // counted in intervals of half a second; the faults begin with interval 3
    constexpr std::size_t EndInterval = 6;
    EstimateRange range;
    for (auto i = FirstInterval; i < EndInterval; ++i) {
        range.least = std::min(range.least, result.workEstimates.at(i).ratio());
        range.most = std::max(range.most, result.workEstimates.at(i).ratio());
    }
    return range;
}

} // namespace auburnspread::passthrough::tests
