#include "core/passthrough/strain.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Times the room of the engines, where no answer suffers. Engines get room again while what was released is on its way and unheard
/// of: with once the room, engines of a large fleet read for 0.6 of the time in a burst and 67 in 1,000 callers were refused, with
/// three times 27, with ten times 16, but engines piled up again and 10 in 100 fewer were on time.
constexpr double MaxReleaseFactor = 3;
/// The same where many answers suffer. With three times the room, 165 in 1,000 requests were begun and not ended in the bursts of a
/// fleet whose engines read 4,096 tokens at once, with once 87.
constexpr double MinReleaseFactor = 0.5;
/// Part of the events at which the release is least. Some answers are long and late whatever is done.
constexpr double HighStrain = 0.25;

/// Events that the average remembers: about half a second of an entry of a large fleet in a burst.
constexpr double AveragedEvents = 60;

} // namespace

auto isStrained(const AnswerPace &pace, TimePoint now) -> bool
{
    if (pace.events == 0) {
        return false;
    }
    const auto each = (now - pace.startedAt) / pace.events;
    const auto pausesTooLong = pace.longestPause > Duration::zero() && each > pace.longestPause;
    const auto left = pace.expectedEvents - std::min(pace.expectedEvents, pace.events + 1);
    return pausesTooLong || now + each * left > pace.deadline;
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
    const auto part = std::clamp(strain.share / HighStrain, 0.0, 1.0);
    return MaxReleaseFactor * std::pow(MinReleaseFactor / MaxReleaseFactor, part);
}

} // namespace auburnspread::passthrough
