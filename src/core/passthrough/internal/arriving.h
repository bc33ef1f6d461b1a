/// \file
/// From arrival to the queue: route, key, service.

#pragma once

#include "core/passthrough/internal/state.h"

namespace auburnspread::passthrough::detail
{

auto acceptRequest(RouterState &state, const RequestArrived &call, Actions &actions) -> void;

/// Whether the request's key is still one of its workspace's in the newest configuration known here.
auto isKeyValid(const RouterState &state, const Request &request) -> bool;

} // namespace auburnspread::passthrough::detail
