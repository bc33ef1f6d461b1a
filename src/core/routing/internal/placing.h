/// \file
/// The way from waiting to a slot of a backend server.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// Dispatches as long as something waits on a touched route and a fitting slot is free.
auto dispatchWaiting(RouterState &state, Actions &actions) -> void;

struct Placement {
    ServerIndex server{};
    bool alone = false;   ///< nothing else may go to the server meanwhile
    bool onFloor = false; ///< the slot is given to the class's floor
};

/// Takes a slot for an attempt of the request and sends it, or first has its key claimed.
auto place(RouterState &state, Request &request, const Placement &placement, Actions &actions) -> void;

/// Sends the request on the slot that was held while its key was claimed.
auto sendClaimed(RouterState &state, Request &request, Actions &actions) -> void;

} // namespace auburnspread::routing
