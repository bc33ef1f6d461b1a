/// \file
/// The names of a request, checked against the document in force.

#pragma once

#include "core/routing/internal/state.h"

#include <variant>

namespace auburnspread::routing
{

/// What the names of a request stand for.
struct Identified {
    ClassState *requestClass = nullptr;
    WorkspaceState *workspace = nullptr;
    RouteId route{};
    bool repeatable = false;
};

auto identify(RouterState &state, const RequestArrived &call) -> std::variant<Identified, Reason>;

} // namespace auburnspread::routing
