/// \file
/// Deficit round robin over the workspaces of one class on one route.

#pragma once

#include "core/queueing/requestqueue.h"

namespace auburnspread::queueing::detail
{

auto insertInto(Band &band, const WaitingRequest &request) -> void;

/// Removes the request and returns whether it was in the band.
auto eraseFrom(Band &band, const WaitingRequest &request) -> bool;

/// Removes and returns the request with the nearest deadline of the workspace whose turn it is. A workspace that has used
/// up its deficit moves to the back. The band must not be empty.
auto takeFrom(Band &band, const std::unordered_map<RequestId, WaitingRequest> &requests) -> RequestId;

} // namespace auburnspread::queueing::detail
