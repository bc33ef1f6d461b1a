/// \file
/// The way of a request into the router: names, quarantine, limits, forecast, queue. Whoever cannot be served is told at once.

#pragma once

#include "core/routing/internal/identify.h"
#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto acceptRequest(RouterState &state, const RequestArrived &call, Actions &actions) -> void;

/// Notes an identified call as accepted; it does not wait anywhere yet.
auto admitRequest(RouterState &state, const RequestArrived &call, const Identified &identified) -> Request &;

} // namespace auburnspread::routing
