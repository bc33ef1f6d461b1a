/// \file
/// How much of the true work on the engines that they choose entries believe, in the replay.

#pragma once

#include "core/passthrough/tests/replay.h"

#include <cstddef>

namespace auburnspread::passthrough::tests
{

struct FleetSize {
    std::size_t entries = 0;
    std::size_t engines = 0;
};

/// Of the true work, half a second after any loss; and none of it twice.
constexpr double LeastBelieved = 0.8;
constexpr double MostBelieved = 1.1;

/// The least and the most in a half second, from half a second after the troubles begin on.
struct BeliefRange {
    double least = 1;
    double most = 1;
};

auto believedPart(const FleetSize &size, const ReportTroubles &troubles) -> BeliefRange;

} // namespace auburnspread::passthrough::tests
