/// \file
/// The last requests of an entry that exits: each one that was accepted gets a response, if none has begun.

#pragma once

#include "core/passthrough/internal/state.h"

namespace auburnspread::passthrough::detail
{

/// Refuses the requests that wait for a server, did not run and may not be answered before the exit. Their callers can still ask another entry.
auto refuseWaitingRequests(RouterState &state, Actions &actions) -> void;
/// Ends the requests whose response has not begun.
auto endUnansweredRequests(RouterState &state, Actions &actions) -> void;

} // namespace auburnspread::passthrough::detail
