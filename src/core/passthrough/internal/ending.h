/// \file
/// What becomes of a request when an attempt ends, its time is up or its caller leaves.

#pragma once

#include "core/passthrough/internal/state.h"

#include <optional>

namespace auburnspread::passthrough::detail
{

auto takeStarted(RouterState &state, const AttemptStarted &event) -> void;
auto takeLimit(RouterState &state, const LimitStated &event) -> void;
auto takeProgress(RouterState &state, const AttemptProgress &event) -> void;
auto takeAnswered(RouterState &state, const AttemptAnswered &event, Actions &actions) -> void;
auto takeFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void;
auto takeFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void;
auto takeCallerGone(RouterState &state, const CallerGone &event, Actions &actions) -> void;
/// Ends requests whose time is up.
auto endOverdue(RouterState &state, Actions &actions) -> void;

/// The request's final action: a refusal, or a visible break of an answer that was begun. Forgets the request.
auto endWithoutAnswer(RouterState &state, Request &request, Reason reason, Actions &actions) -> void;

/// Status of a refusal of a request that did not run. A withheld request is proper as far as anybody can tell, so its caller
/// gets the status that says just that.
auto statusOfRefusal(Reason reason) -> int;
/// When a caller that was refused for \p reason should come back.
auto retryAfterOf(RouterState &state, Reason reason) -> std::optional<Duration>;

} // namespace auburnspread::passthrough::detail
