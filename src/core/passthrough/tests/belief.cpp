#include "core/passthrough/tests/belief.h"

#include <algorithm>

namespace auburnspread::passthrough::tests
{

auto believedPart(const FleetSize &size, const ReportTroubles &troubles) -> BeliefRange
{
    constexpr double LongPromptsPerEngine = 3.7; // a second, as Highveld's larger fleet has them
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
        .reports = troubles,
        .rest = std::chrono::seconds(0),
    });
    constexpr std::size_t FirstAfterTroubles = 4; // of half a second each
    constexpr std::size_t End = 6;
    BeliefRange range;
    for (auto i = FirstAfterTroubles; i < End; ++i) {
        range.least = std::min(range.least, result.beliefs.at(i).part());
        range.most = std::max(range.most, result.beliefs.at(i).part());
    }
    return range;
}

} // namespace auburnspread::passthrough::tests
