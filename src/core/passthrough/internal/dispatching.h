/// \file
/// Dispatch of queued requests to backend servers.

#pragma once

#include "core/passthrough/internal/state.h"

#include <string>

namespace auburnspread::passthrough::detail
{

auto enqueue(RouterState &state, Request &request) -> void;
auto leaveQueue(RouterState &state, Request &request) -> void;
/// Time until which the request may wait in the queue. One that may have run waits for a retry up to its deadline, since it can't be refused
/// as not run.
auto waitingDeadline(const Request &request) -> TimePoint;

/// Sends the queued requests of the service while its servers have room.
auto dispatchService(RouterState &state, const std::string &service, Actions &actions) -> void;
/// Recomputes the prompt tokens that are queued at this entry for each server.
auto updateWaitingTokens(RouterState &state) -> void;
/// Updates the arrival rates of this entry by service, for its load reports.
auto updateOwnArrivalRates(RouterState &state) -> void;
auto dispatchAll(RouterState &state, Actions &actions) -> void;
auto recordArrival(ArrivalRate &rate, TimePoint now) -> void;
/// Redistributes the engines of each service between long and short prompts as their demand changes.
auto updateEngineSplits(RouterState &state) -> void;

} // namespace auburnspread::passthrough::detail
