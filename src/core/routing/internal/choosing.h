/// \file
/// The router's questions to balancing: which backend servers a request may use, and which one it gets.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// Names of the route only. Valid while the route lives.
auto queryOf(const Route &route) -> balancing::Query;

/// How a request may be placed besides its route.
struct Constraint {
    bool quietOnly = false; ///< only a server with little else in flight
    std::string onlyServer; ///< empty: any
};

auto chooseServer(RouterState &state, const Request &request, const Constraint &constraint) -> std::optional<ServerIndex>;

/// Whether some backend server could take the request once it has a free slot.
auto canEverRun(RouterState &state, const Request &request) -> bool;

auto freeSlots(RouterState &state, RouteId route) -> std::uint32_t;

/// The query under which an attempt of the request is accounted.
auto attemptQuery(RouterState &state, const Request &request, bool alone) -> balancing::Query;

} // namespace auburnspread::routing
