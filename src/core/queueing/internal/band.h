/// \file
/// Deficit round robin over the workspaces of one class on one route.

#pragma once

#include "core/queueing/requestqueue.h"

namespace auburnspread::queueing::detail
{

auto insertInto(Band &band, const WaitingRequest &request) -> void;

/// Whether it was there.
auto eraseFrom(Band &band, const WaitingRequest &request) -> bool;

/// Takes the nearest deadline of the workspace whose turn it is: one that was served up goes to the back. The band must not be empty.
auto takeFrom(Band &band, const std::unordered_map<RequestId, WaitingRequest> &requests) -> RequestId;

} // namespace auburnspread::queueing::detail
