/// \file
/// A decaying histogram of a stream of observations, for quantiles in bounded memory.

#pragma once

#include <array>
#include <cstddef>
#include <optional>

namespace auburnspread::admission
{

/// Histogram with logarithmic buckets, four per octave, so that a quantile is off by less than a fifth. Values below 1
/// count as 1, in whatever unit.
struct Distribution {
    static constexpr std::size_t BucketsPerOctave = 4;
    static constexpr std::size_t Octaves = 36;
    std::array<float, BucketsPerOctave * Octaves> counts{};
    float total = 0; ///< sum of \c counts
};

/// Adds an observation. Once the histogram holds a few hundred, the weight of all of them is halved, so that quantiles
/// follow a change within a few hundred observations.
auto observe(Distribution &distribution, double value) -> void;

/// The value below which the share \p part of the observations lies; nothing while there are too few observations.
auto quantile(const Distribution &distribution, double part) -> std::optional<double>;

/// The quantile among the observations above \p floor; nothing if there are none.
auto quantileAbove(const Distribution &distribution, double part, double floor) -> std::optional<double>;

} // namespace auburnspread::admission
