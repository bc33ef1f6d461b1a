/// \file
/// What entries tell each other: use of backend servers, demand, use of workspaces.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto onPeerReported(RouterState &state, const PeerReported &event) -> void;
auto onCellChanged(RouterState &state, const CellChanged &event) -> void;
auto makeReport(RouterState &state) -> PeerReported;

} // namespace auburnspread::routing
