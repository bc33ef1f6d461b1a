/// \file
/// The naive policy, a baseline of measurement: every request goes at once to the next fitting backend server in turn,
/// whatever it has in flight; a failed one goes on to the next, up to three times, whatever it is and how it failed.
/// No limits, no claims, no quarantine, no forecast. How requests end is shared with the standard policy.

#pragma once

#include "core/routing/internal/identify.h"
#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto acceptNaively(RouterState &state, const RequestArrived &call, const Identified &identified, Actions &actions) -> void;

/// After an attempt failed and none is left.
auto retryNaively(RouterState &state, Request &request, Failure failure, Actions &actions) -> void;

} // namespace auburnspread::routing
