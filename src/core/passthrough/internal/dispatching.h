/// \file
/// Dispatch of queued requests to backend servers.

#pragma once

#include "core/passthrough/internal/state.h"

#include <optional>
#include <string>

namespace auburnspread::passthrough::detail
{

auto enqueue(RouterState &state, Request &request) -> void;
auto leaveQueue(RouterState &state, Request &request) -> void;
/// Time until which the request may wait in the queue. One that may have run waits for a retry up to its deadline, since it can't be refused
/// as not run.
auto waitingDeadline(const Request &request) -> TimePoint;

/// Reason why the request must not be sent now, independent of the servers' state.
///
/// A key may be withdrawn while the request is queued, or while this VM is suspended between the request's arrival and its dispatch. The
/// key is therefore checked right before each send, so that nothing runs for a workspace without access. If the configuration was last
/// confirmed too long ago, every key counts as possibly withdrawn.
auto reasonNotToSend(const RouterState &state, const Request &request) -> std::optional<Reason>;
/// Chooses a server for the request. \p heardSince: see PlacementQuery
auto place(const RouterState &state, const Request &request, std::optional<TimePoint> heardSince) -> Placement;
/// Whether the request can be sent to the chosen server now.
auto canSendNow(const Placement &placement) -> bool;
auto send(RouterState &state, Request &request, const Placement &placement, Actions &actions) -> void;

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
