/// \file
/// Waiting, and the way from waiting to a slot of a backend server.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// Puts an accepted request that holds no slot among the waiting.
auto waitAgain(RouterState &state, Request &request, TimePoint now, Actions &actions) -> void;

/// Takes the request out of the queue or the parked ones, if it is there.
auto leaveWaiting(RouterState &state, Request &request) -> void;

/// Dispatches as long as something waits on a touched route and a fitting slot is free.
auto dispatchWaiting(RouterState &state, TimePoint now, Actions &actions) -> void;

/// Sends the request on the slot that was held while its key was claimed.
auto sendClaimed(RouterState &state, Request &request, TimePoint now, Actions &actions) -> void;

} // namespace auburnspread::routing
