/// \file
/// The document in force, indexed for look-ups, and the change from one document to the next.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

/// Takes the document if its version is higher than the one in force.
/// Waiting requests are checked against the new document; those whose names it no longer has are refused as not run.
/// Requests that run go on, also on backend servers that the document no longer has.
auto adoptConfiguration(RouterState &state, const ConfigurationAdopted &event, Actions &actions) -> void;

/// The route of the key; made on first use and kept over changes of the document.
auto findRoute(RouterState &state, const RouteKey &key) -> RouteId;

} // namespace auburnspread::routing
