/// \file
/// Where accepted requests wait for a slot: in the queue, parked for a retry, or held back behind an equal request.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// Lets a request that holds no slot wait for one, or refuses it if no backend server is left that could run it.
/// It is dispatched at the end of the event if a slot is free. The request may be gone afterwards.
auto waitForSlot(RouterState &state, Request &request, Actions &actions) -> void;

/// Lets a request that was taken out of its waiting place wait outside the queue for whatever slot fits it.
auto park(RouterState &state, Request &request) -> void;

/// A request that waits for another attempt beside its silent ones waits no longer. \return whether it did
auto stayWithAttempts(RouterState &state, Request &request) -> bool;

/// Takes the request out of wherever it waits.
auto leaveWaiting(RouterState &state, Request &request) -> void;

/// Requests that wait outside the queue, parked or held, by class.
auto countWaitingAside(const RouterState &state) -> std::map<ClassId, std::uint32_t>;

/// Marks every route on which something waits as worth another look.
auto touchWaiting(RouterState &state) -> void;

/// Refuses at once what waits for backend servers that are all gone: parked requests whose last candidate left, and
/// queued ones whose route has only leaving servers. Ejected servers come back, so the queue waits for those.
auto reviewWaiting(RouterState &state, Actions &actions) -> void;

} // namespace auburnspread::routing
