#include "core/passthrough/strain.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Release factor without strain. Engines free up capacity while released requests are still on their way and not yet reported. In a
/// burst on a large fleet, engines with a factor of 1 processed prompts only 0.6 of the time and 67 in 1,000 callers were refused; with
/// 3 it was 27 in 1,000; with 10 it was 16, but requests piled up at the engines again and 10 in 100 fewer were on time.
constexpr double MaxReleaseFactor = 3;
/// Release factor under high strain. In bursts on a fleet whose engines process prompts in chunks of 4,096 tokens, 165 in 1,000
/// requests were started and not completed with a factor of 3, and 87 in 1,000 with a factor of 1.
constexpr double MinReleaseFactor = 0.5;
/// Share of strained events at which the factors reach their lower bounds. Some answers are long and late regardless of the load.
constexpr double HighStrain = 0.25;

/// Number of events that the moving average covers: about half a second at an entry of a large fleet in a burst.
constexpr double AveragedEvents = 60;

} // namespace

auto isStrained(const AnswerPace &pace, TimePoint now) -> bool
{
    if (pace.events == 0) {
        return false;
    }
    const auto interval = (now - pace.startedAt) / pace.events;
    const auto pausesTooLong = pace.longestPause > Duration::zero() && interval > pace.longestPause;
    const auto remaining = pace.expectedEvents - std::min(pace.expectedEvents, pace.events + 1);
    return pausesTooLong || now + interval * remaining > pace.deadline;
}

auto recordEvents(Strain &strain, std::uint32_t events, bool strained) -> void
{
    const auto weight = 1 - std::exp(-static_cast<double>(events) / AveragedEvents);
    strain.share += weight * ((strained ? 1 : 0) - strain.share);
}

auto queuedWorkFactor(const Strain &strain) -> double
{
    return 1 - (1 - MinQueuedWorkFactor) * std::clamp(strain.share / HighStrain, 0.0, 1.0);
}

auto releaseFactor(const Strain &strain) -> double
{
    const auto level = std::clamp(strain.share / HighStrain, 0.0, 1.0);
    return MaxReleaseFactor * std::pow(MinReleaseFactor / MaxReleaseFactor, level);
}

} // namespace auburnspread::passthrough
