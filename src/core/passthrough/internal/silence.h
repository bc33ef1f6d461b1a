/// \file
/// What becomes of requests whose servers are silent.
///
/// A silent server may be gone, or sound and about to go on, and nothing tells the two apart. An attempt is therefore never ended for its
/// silence. The request is sent to another server as well, if its route, the retry budget and a server that responds allow it, and the first
/// attempt that goes on serves it. Otherwise the attempt stays alone, and the question is asked again while the silence lasts.

#pragma once

#include "core/passthrough/internal/state.h"

namespace auburnspread::passthrough::detail
{

auto handleSilent(RouterState &state, const AttemptSilent &event, Actions &actions) -> void;

/// Cancels the request's other attempts, because \p attempt goes on.
auto preferAttempt(RouterState &state, Request &request, AttemptId attempt, Actions &actions) -> void;
/// Removes an attempt that has ended from its request. \return whether the request has other attempts that may serve it
auto leaveToOthers(const RouterState &state, Request &request, AttemptId attempt) -> bool;
/// Cancels all attempts of the request.
auto cancelAttempts(RouterState &state, Request &request, Actions &actions) -> void;

} // namespace auburnspread::passthrough::detail
