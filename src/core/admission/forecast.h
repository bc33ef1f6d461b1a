/// \file
/// What a request of one class on one route may expect, learnt from those before it, and whether it can still meet its
/// targets. Lengths are not known in advance; all that is known is how they were distributed.
///
/// The forecast is used to refuse, so it errs on the side of taking in: a request is refused only if it would be late
/// even with a quick first token and a short answer. What is taken in too much gives way to what can still be on time
/// (see queueing) and costs nobody a slot.

#pragma once

#include "core/admission/distribution.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspread::admission
{

/// How often the queue of one class on one route moves on.
struct QueuePace {
    Duration interval{}; ///< moving average between two requests that leave the queue; 0: not known
    TimePoint since;     ///< when it last moved on, or when it began to wait
};

/// The part of the dispatches of one class on one route that late requests may count on: those for which nothing waited
/// that could still be on time.
struct SpareShare {
    double share = 1; ///< moving average
    TimePoint since;  ///< of the last dispatch
};

struct Estimates {
    QueuePace pace;
    Distribution waitRatio;  ///< waiting time in percent of what was forecast
    Distribution firstToken; ///< from dispatch, microseconds
    Distribution tokens;     ///< of whole answers
    Distribution tokenPace;  ///< microseconds a token after the first
    SpareShare spare;
};

/// \name Learning
/// @{

/// A request begins to wait where none did.
auto noteQueueBegun(Estimates &estimates, TimePoint now) -> void;

/// A request left the queue for a backend server; \p forecast is what was expected of its waiting.
auto noteLeftQueue(Estimates &estimates, Duration waited, Duration forecast, TimePoint now) -> void;

/// A request was dispatched. \p isSpare: it was late itself and not on its floor, or found a free slot when it came.
/// \p horizon: the answer target of the class. An overload shorter than that is no evidence that a late request can't be
/// answered in time.
auto noteSpare(Estimates &estimates, bool isSpare, Duration horizon, TimePoint now) -> void;

auto noteFirstToken(Estimates &estimates, Duration sinceDispatch) -> void;

/// \p streaming: from the first token to the last.
auto noteAnswer(Estimates &estimates, std::uint32_t tokens, Duration streaming) -> void;
/// @}

/// \name Forecast
/// @{

/// Waiting time of a request with \p ahead requests of its class before it.
auto forecastWait(const Estimates &estimates, std::uint32_t ahead, TimePoint now) -> Duration;

/// The same of a late request, which goes behind those that can still be on time; \p ahead counts both.
auto forecastLateWait(const Estimates &estimates, std::uint32_t ahead, TimePoint now) -> Duration;

/// Time from dispatch to the end of an ordinary answer; 0: not known.
auto typicalAnswer(const Estimates &estimates) -> Duration;

/// Time to the first token from dispatch in a good case; 0: not known.
auto quickFirstToken(const Estimates &estimates) -> Duration;

/// Time to the first token from dispatch that all but few keep to; nothing: not known.
auto slowFirstToken(const Estimates &estimates) -> std::optional<Duration>;

/// Tokens to charge a request with before its length is known. \p maximum: the caller's own bound; 0: none.
auto expectedTokens(const Estimates &estimates, std::uint32_t maximum) -> std::uint32_t;

/// Time that the rest of an answer of which \p relayed tokens are out will take; 0: not known.
auto expectedRest(const Estimates &estimates, std::uint32_t relayed) -> Duration;

struct Targets {
    Duration firstToken{};
    Duration answer{};
};

/// By how much a request that will wait \p wait misses its targets even in a good case; nothing: it can meet them.
auto missedBy(const Estimates &estimates, Duration wait, const Targets &targets) -> std::optional<Duration>;
/// @}

} // namespace auburnspread::admission
