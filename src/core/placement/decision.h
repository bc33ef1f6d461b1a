/// \file
/// The placer's decisions by name: they stand in log lines and in a counter for each.

#pragma once

#include "core/base/nametable.h"

#include <span>
#include <string_view>

namespace auburnspread::placement
{

enum class Decision {
    LeaseAcquired,
    LeaseHeldElsewhere,
    LeaseExpired,    ///< the holder's own count of the lease ran out: it was paused, or renewals failed
    LeaseLost,       ///< the platform's service says that the session is gone
    Superseded,      ///< a backend server knows a newer fencing number
    DocumentTaken,   ///< a newer document is the wanted state from now on
    DocumentOlder,   ///< a document of an older version was read and is ignored
    DocumentMissing, ///< the document could not be read after the takeover
    OrderSent,
    OrderAccepted,
    OrderFailed,
    OrderUnknown,   ///< no answer in time: the order may still take effect
    OrderNotTaken,  ///< read back: the backend server has neither the ordered state nor is it loading
    OrderConfirmed, ///< read back: the backend server has the ordered state
    ReadFailed,
    HeldForOldLease, ///< the backend server does not check fencing numbers; the last holder's orders may be under way
    HeldForCoverage, ///< the change would leave a granted model without a serving backend server
    HeldForRollout,  ///< enough backend servers of this model are unavailable already
    HeldForLoads,    ///< as many backend servers load weights as the limit allows
    HeldForBackoff,
    Loading,   ///< it loads what it should, on an earlier order
    Converged, ///< the backend server has the wanted state
};

auto decisionTable() -> std::span<const NamedValue<Decision>>;
auto decisionName(Decision decision) -> std::string_view;

} // namespace auburnspread::placement
