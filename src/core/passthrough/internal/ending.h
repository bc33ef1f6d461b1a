/// \file
/// Progress and end of attempts, and the end of requests: by a response, a failure, a timeout or the caller's disconnect.

#pragma once

#include "core/passthrough/internal/state.h"

#include <optional>

namespace auburnspread::passthrough::detail
{

constexpr int FirstErrorStatus = 500;
/// A request with less time than this until its deadline is not sent again, because no response can arrive in time.
constexpr Duration MinRemainingForRetry = std::chrono::milliseconds(30);

auto handleStarted(RouterState &state, const AttemptStarted &event, Actions &actions) -> void;
auto handleRateLimit(RouterState &state, const RateLimitReported &event) -> void;
auto handleBrittleness(RouterState &state, const BrittlenessReported &event, Actions &actions) -> void;
auto handleAttemptNotice(RouterState &state, const AttemptNoticed &event, Actions &actions) -> void;
auto handleCallNotice(RouterState &state, const CallNoticed &event, Actions &actions) -> void;
auto handleProgress(RouterState &state, const AttemptProgress &event, Actions &actions) -> void;
auto handleAnswered(RouterState &state, const AttemptAnswered &event, Actions &actions) -> void;
auto handleFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void;
auto handleFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void;
auto handleCallerGone(RouterState &state, const CallerGone &event, Actions &actions) -> void;
auto handleTakenBack(RouterState &state, const RequestTakenBack &event, Actions &actions) -> void;
/// Ends requests whose deadline, or time in the queue, has passed.
auto endExpiredRequests(RouterState &state, Actions &actions) -> void;

/// Removes the attempt and its load on the server, which is returned.
auto closeAttempt(RouterState &state, AttemptId id) -> ServerPointer;
/// Removes the request without a further action, and dispatches requests that are queued for the same service.
auto removeAndDispatch(RouterState &state, Request &request, Actions &actions) -> void;
/// Ends the request with a refusal, or by aborting a response that has started, and removes the request.
auto endWithoutAnswer(RouterState &state, Request &request, Reason reason, Actions &actions) -> void;

/// HTTP status of a refusal for a request that did not run. A quarantined request gets 503 because nothing shows that the request
/// itself is invalid.
auto statusOfRefusal(Reason reason) -> int;
/// Delay after which a caller that was refused for \p reason should retry, at least \p earliest; not set if a retry does not help.
auto retryAfterOf(RouterState &state, Reason reason, Duration earliest) -> std::optional<Duration>;

} // namespace auburnspread::passthrough::detail
