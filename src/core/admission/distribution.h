/// \file
/// A distribution learnt from a stream of observations, in which old ones fade: quantiles in bounded memory.

#pragma once

#include <array>
#include <cstddef>
#include <optional>

namespace auburnspread::admission
{

/// Counts in buckets of equal ratio, four to an octave: a quantile is off by less than a fifth. Values are at least 1 of whatever unit.
struct Distribution {
    static constexpr std::size_t BucketsPerOctave = 4;
    static constexpr std::size_t Octaves = 36;
    std::array<float, BucketsPerOctave * Octaves> counts{};
    float total = 0;
};

/// Halves the weight of everything older once some hundred observations are held, so that a change shows within as many.
auto observe(Distribution &distribution, double value) -> void;

/// The value below which a part \p part of the observations lies; nothing until enough were made.
auto quantile(const Distribution &distribution, double part) -> std::optional<double>;

/// The same among the observations above \p floor; nothing if none is known that is so large.
auto quantileAbove(const Distribution &distribution, double part, double floor) -> std::optional<double>;

} // namespace auburnspread::admission
