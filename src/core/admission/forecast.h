/// \file
/// Forecasts the waiting and response times of a request of one class on one route from earlier requests, and whether
/// the request can still meet its targets. The length of an answer is not known in advance; only the distribution of
/// earlier lengths is.
///
/// Admission refuses requests by this forecast, so the forecast is optimistic: a request is refused only if it would be
/// late even with a quick first token and a short answer. Requests admitted in excess yield to those that can still be
/// on time (see queueing) and take no slot from them.

#pragma once

#include "core/admission/distribution.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspread::admission
{

/// The rate at which requests leave the queue of one class on one route.
struct QueuePace {
    Duration interval{}; ///< moving average of the time between two departures; 0: not known
    TimePoint since;     ///< time of the last departure, or when the queue became non-empty
};

/// The share of the dispatches of one class on one route that is left for late requests: those at which no request was
/// waiting that could still be on time.
struct SpareShare {
    double share = 1; ///< moving average
    TimePoint since;  ///< time of the last dispatch
};

struct Estimates {
    QueuePace pace;
    Distribution waitRatio;  ///< actual waiting time in percent of the forecast
    Distribution firstToken; ///< time from dispatch to the first token, microseconds
    Distribution tokens;     ///< length of complete answers
    Distribution tokenPace;  ///< microseconds per token after the first
    SpareShare spare;
};

/// \name Learning
/// @{

/// Records that a request was added to an empty queue.
auto recordQueueStart(Estimates &estimates, TimePoint now) -> void;

/// Records that a request left the queue for a backend server; \p forecast is its forecast waiting time.
auto recordDequeue(Estimates &estimates, Duration waited, Duration forecast, TimePoint now) -> void;

/// Records a dispatch. \p isSpare: the request was late and not served by the starvation floor of its class, or found a
/// free slot on arrival. \p horizon: the answer target of the class. An overload shorter than the target is no evidence
/// that a late request cannot be answered in time.
auto recordSpareShare(Estimates &estimates, bool isSpare, Duration horizon, TimePoint now) -> void;

auto recordFirstToken(Estimates &estimates, Duration sinceDispatch) -> void;

/// Records a complete answer. \p streaming: time from the first token to the last.
auto recordAnswer(Estimates &estimates, std::uint32_t tokens, Duration streaming) -> void;
/// @}

/// \name Forecast
/// @{

/// Forecast waiting time of a request with \p ahead requests of its class before it.
auto forecastWait(const Estimates &estimates, std::uint32_t ahead, TimePoint now) -> Duration;

/// Forecast waiting time of a late request, which is served after those that can still be on time; \p ahead counts both
/// kinds.
auto forecastLateWait(const Estimates &estimates, std::uint32_t ahead, TimePoint now) -> Duration;

/// Median time from dispatch to the end of the answer; 0: not known.
auto typicalAnswer(const Estimates &estimates) -> Duration;

/// Time from dispatch to the first token in a good case (lower quartile); 0: not known.
auto quickFirstToken(const Estimates &estimates) -> Duration;

/// Time from dispatch to the first token that 95% of requests stay within; nothing: not known.
auto slowFirstToken(const Estimates &estimates) -> std::optional<Duration>;

/// Tokens to charge for a request before its length is known. \p maximum: the limit set by the caller; 0: none.
auto expectedTokens(const Estimates &estimates, std::uint32_t maximum) -> std::uint32_t;

/// Remaining time of an answer of which \p relayed tokens were forwarded; 0: not known.
auto expectedRest(const Estimates &estimates, std::uint32_t relayed) -> Duration;

struct Targets {
    Duration firstToken{};
    Duration answer{};
};

/// The time by which a request that waits for \p wait misses its targets even in a good case; nothing if it can meet them.
auto targetOverrun(const Estimates &estimates, Duration wait, const Targets &targets) -> std::optional<Duration>;
/// @}

} // namespace auburnspread::admission
