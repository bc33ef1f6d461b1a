/// \file
/// What happens because time has passed.
///
/// A request has one deadline: the class's answer target, or what the caller asked for if that is shorter. It holds for
/// the first token as for the whole answer: without a first token by then, waiting or running, the request is given up
/// and answered at once. An answer of which a part was relayed is judged by what is left of it: if the rest is expected
/// within a quarter of the answer target, it may use that quarter, since a late answer is of more use than a cut one;
/// else it is cut at the deadline. A deadline that the caller set itself is exact.
///
/// A waiting request that can no longer have its first token on time gives way to those of its class that still can.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto fireTimers(RouterState &state, Actions &actions) -> void;

} // namespace auburnspread::routing
