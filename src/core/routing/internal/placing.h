/// \file
/// An attempt takes a slot of a backend server and is sent.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

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
