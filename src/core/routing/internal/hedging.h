/// \file
/// A second attempt that races for the first token, for classes that ask for it. It uses only capacity that nothing
/// else wants: nothing waits on the route and a good part of its slots is free. The attempt that starts first is
/// committed and the other one cancelled, so at most one of them is ever relayed.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// After the first attempt of a request was sent.
auto scheduleHedge(RouterState &state, Request &request) -> void;

auto onHedgeDue(RouterState &state, Request &request, Actions &actions) -> void;

} // namespace auburnspread::routing
