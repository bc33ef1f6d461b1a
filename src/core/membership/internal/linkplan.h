/// \file
/// Which peers this entry keeps links to: its whole cell, two members of other cells, and now and then one that
/// might have come back.

#pragma once

#include "core/membership/internal/membershipstate.h"

#include <string>
#include <vector>

namespace auburnspread::membership::detail
{

/// Computes the cells anew; emits CellChanged if the entries that serve in this cell differ.
auto updateCells(MembershipState &state, Actions &actions) -> void;

/// Emits ConnectPeer and ClosePeer for what differs from the links wanted now.
auto updateLinks(MembershipState &state, Actions &actions) -> void;

/// Tries the next member held for gone, or the next seed without a link.
auto probeNext(MembershipState &state, TimePoint now, Actions &actions) -> void;

/// Whether this entry is one of the few of its cell that read the platform's lists.
auto isWatcher(const MembershipState &state) -> bool;

} // namespace auburnspread::membership::detail
