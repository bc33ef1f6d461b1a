/// \file
/// The document in force, indexed for look-ups, and the change from one document to the next.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// Takes the document if its version is higher than the one in force.
/// Queued requests are checked against the new document; those whose names it no longer has are refused.
auto adoptConfiguration(RouterState &state, const ConfigurationAdopted &event, TimePoint now, Actions &actions) -> void;

/// The route of the key; made on first use.
auto findRoute(RouterState &state, const RouteKey &key) -> RouteId;

/// Whether a backend server may take new work at all.
inline auto takesWork(const Server &server) -> bool
{
    return server.inDocument && !server.leaving;
}

} // namespace auburnspread::routing
