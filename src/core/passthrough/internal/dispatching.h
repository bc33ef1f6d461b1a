/// \file
/// From the queue to a backend server.

#pragma once

#include "core/passthrough/internal/state.h"

#include <string>

namespace auburnspread::passthrough::detail
{

auto enqueue(RouterState &state, Request &request) -> void;
auto leaveQueue(RouterState &state, Request &request) -> void;

/// Sends what waits for the service while servers have room.
auto dispatchService(RouterState &state, const std::string &service, Actions &actions) -> void;
/// Sums up, by server, what waits here.
auto countWaiting(RouterState &state) -> void;
/// Notes what arrives a second for each service, to be told to the other entries.
auto countArrivals(RouterState &state) -> void;
auto dispatchAll(RouterState &state, Actions &actions) -> void;
/// Deals the engines anew between long prompts and long answers, as their demand has changed.
auto noteArrival(ArrivalRate &rate, TimePoint now) -> void;
auto updateSplits(RouterState &state) -> void;

} // namespace auburnspread::passthrough::detail
