/// \file
/// What happens because time has passed.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto fireTimers(RouterState &state, TimePoint now, Actions &actions) -> void;

} // namespace auburnspread::routing
