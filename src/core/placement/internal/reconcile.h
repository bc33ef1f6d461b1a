/// \file
/// Reads backend servers, compares them with the document and orders what differs.

#pragma once

#include "core/placement/placer.h"

namespace auburnspread::placement::detail
{

auto onServerRead(PlacerState &state, Actions &actions, const ServerRead &event, TimePoint now) -> void;
auto onServerReadFailed(PlacerState &state, Actions &actions, const ServerReadFailed &event, TimePoint now) -> void;
auto onOrderSettled(PlacerState &state, Actions &actions, const OrderSettled &event, TimePoint now) -> void;

/// Gives up calls without an answer, reads what is due and sends the orders that may leave now.
auto reconcile(PlacerState &state, Actions &actions, TimePoint now) -> void;

/// Whether an order is sent and its outcome is not known yet.
auto hasUnsettledOrder(const PlacerState &state) -> bool;

} // namespace auburnspread::placement::detail
