/// \file
/// Admission of a request: finds its route, workspace and service and puts it into the queue.

#pragma once

#include "core/passthrough/internal/state.h"

namespace auburnspread::passthrough::detail
{

auto acceptRequest(RouterState &state, const RequestArrived &call, Actions &actions) -> void;

/// Whether the request's key still belongs to its workspace in this entry's current configuration.
auto isKeyValid(const RouterState &state, const Request &request) -> bool;

} // namespace auburnspread::passthrough::detail
