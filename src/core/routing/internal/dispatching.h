/// \file
/// Who gets a slot that is free: parked retries, then starved requests by their floor, then the queue's order.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// Dispatches as long as something waits on a touched route and a fitting slot is free.
auto dispatchWaiting(RouterState &state, Actions &actions) -> void;

} // namespace auburnspread::routing
