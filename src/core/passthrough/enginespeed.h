/// \file
/// How fast each engine is in comparison with a typical one of its service, from the responses that all entries relay.
///
/// The engines of a service may differ in speed by a factor of two and more, and each may turn slow for a while. An entry of a large fleet
/// sees too few responses of one engine to tell its speed from the noise of its load, so the entries share their samples: each reports
/// the number and the sum of its own, and the sums over all entries are the same everywhere.

#pragma once

#include "core/base/time.h"

#include <array>
#include <cstdint>

namespace auburnspread::passthrough
{

/// Samples of the logarithm of an engine's delay, relative to a typical engine. Older ones lose weight.
struct SpeedSamples {
    double count = 0;
    double logSum = 0;
    TimePoint at; ///< time as of which the two figures hold
};

/// \return the samples with the weight that they have at \p now
auto decayed(const SpeedSamples &samples, TimePoint now) -> SpeedSamples;
/// Adds a sample: \p ratio is the engine's delay relative to a typical engine.
auto addSample(SpeedSamples &samples, double ratio, TimePoint now) -> void;

/// Whether samples that another entry reports can be real. Any others must not be used.
auto isPlausible(double count, double logSum) -> bool;

/// Delay of the engine relative to a typical one: 1 is typical, 2 is half as fast. Without samples it is 1.
auto relativeDelay(double count, double logSum) -> double;

/// Range of relativeDelay().
/// @{
constexpr double MinRelativeDelay = 0.3;
constexpr double MaxRelativeDelay = 4;
/// @}

/// Moving average of the logarithms of a figure, to compare single values with.
struct TypicalValue {
    double logMean = 0;
    bool isKnown = false;
};

/// Takes in one value. \return its ratio to the average so far; 1 if there is none
auto compareWithTypical(TypicalValue &typical, double value) -> double;

/// The shortest time between events of one response, averaged over a few events: it shows the pace of the engine while it reads no prompt.
struct EventPace {
    TimePoint windowStart;
    std::uint32_t windowEvents = 0;
    std::uint32_t windows = 0;
    double bestMs = 0; ///< milliseconds for each event in the fastest window; 0: no window is complete
};

/// \return whether the pace of the response has just become known
auto recordPace(EventPace &pace, std::uint32_t events, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
