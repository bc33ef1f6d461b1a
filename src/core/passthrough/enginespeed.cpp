#include "core/passthrough/enginespeed.h"

#include "core/passthrough/internal/milliseconds.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Time in which a sample loses two thirds of its weight. An engine that turned slow must lose its work within seconds, and needs some
/// tens of samples to be told from one that is busy.
constexpr Duration SampleLifetime = std::chrono::seconds(6);
/// Samples at 1 that are assumed for each engine.
constexpr double PriorSamples = 3;
/// Bounds of a single sample: a response that waited behind others must not outweigh all others.
constexpr double MinSample = 0.25;
constexpr double MaxSample = 6;
/// Events in one window of EventPace. Fewer would measure how the network groups them.
constexpr std::uint32_t WindowEvents = 4;
/// Windows after which the fastest one counts: most responses have one without prefill among them.
constexpr std::uint32_t WindowsUntilKnown = 2;

} // namespace

auto decayed(const SpeedSamples &samples, TimePoint now) -> SpeedSamples
{
    const auto elapsed = std::chrono::duration<double>(std::max(now - samples.at, Duration::zero())) / std::chrono::duration<double>(SampleLifetime);
    const auto weight = std::exp(-elapsed);
    return { .count = samples.count * weight, .logSum = samples.logSum * weight, .at = std::max(now, samples.at) };
}

auto addSample(SpeedSamples &samples, double ratio, TimePoint now) -> void
{
    if (!std::isfinite(ratio) || ratio <= 0) {
        return;
    }
    samples = decayed(samples, now);
    samples.count += 1;
    samples.logSum += std::log(std::clamp(ratio, MinSample, MaxSample));
}

auto isPlausible(double count, double logSum) -> bool
{
    constexpr double MaxCount = 1'000'000; // more than a fleet of the largest size relays within the lifetime of a sample
    const auto isCount = std::isfinite(count) && count >= 0 && count <= MaxCount;
    return isCount && std::isfinite(logSum) && std::abs(logSum) <= count * std::log(MaxSample) + 1;
}

auto relativeDelay(double count, double logSum) -> double
{
    return std::clamp(std::exp(logSum / (count + PriorSamples)), MinRelativeDelay, MaxRelativeDelay);
}

auto compareWithTypical(TypicalValue &typical, double value) -> double
{
    constexpr double Weight = 0.05; // averages over about 20 values
    if (!std::isfinite(value) || value <= 0) {
        return 1;
    }
    const auto logarithm = std::log(value);
    if (!typical.isKnown) {
        typical = { .logMean = logarithm, .isKnown = true };
    }
    const auto ratio = std::exp(logarithm - typical.logMean);
    typical.logMean += Weight * (std::clamp(logarithm - typical.logMean, std::log(MinSample), std::log(MaxSample)));
    return ratio;
}

auto recordPace(EventPace &pace, std::uint32_t events, TimePoint now) -> bool
{
    if (pace.windowStart == TimePoint()) {
        pace.windowStart = now;
        return false;
    }
    pace.windowEvents += events;
    if (pace.windowEvents < WindowEvents) {
        return false;
    }
    const auto each = detail::toMilliseconds(now - pace.windowStart) / pace.windowEvents;
    pace.bestMs = pace.bestMs == 0 ? each : std::min(pace.bestMs, each);
    pace.windowStart = now;
    pace.windowEvents = 0;
    pace.windows += 1;
    return pace.windows == WindowsUntilKnown;
}

} // namespace auburnspread::passthrough
