/// \file
/// Measures, by simulation, how closely the entries' estimates match the actual work on the engines that they choose.

#pragma once

#include "core/passthrough/tests/replay.h"

#include <cstddef>

namespace auburnspread::passthrough::tests
{

struct FleetSize {
    std::size_t entries = 0;
    std::size_t engines = 0;
};

/// Bounds on the ratio of estimated to actual work, from half a second after a fault on: little may be missing, and none counted twice.
constexpr double MinEstimateRatio = 0.8;
constexpr double MaxEstimateRatio = 1.1;

/// Smallest and greatest ratio of estimated to actual work in any half second, from half a second after the faults begin.
struct EstimateRange {
    double least = 1;
    double most = 1;
};

auto simulateEstimates(const FleetSize &size, const ReportFaults &faults) -> EstimateRange;

} // namespace auburnspread::passthrough::tests
