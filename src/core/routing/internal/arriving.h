/// \file
/// The way of a request into the router: names, limits, queue.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto acceptRequest(RouterState &state, const RequestArrived &call, TimePoint now, Actions &actions) -> void;

} // namespace auburnspread::routing
