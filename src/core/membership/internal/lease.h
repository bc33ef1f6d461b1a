/// \file
/// This entry's registration in the platform's list: registered once, renewed, written again when its record changes.

#pragma once

#include "core/membership/internal/membershipstate.h"

namespace auburnspread::membership::detail
{

auto tickLease(MembershipState &state, TimePoint now, Actions &actions) -> void;
auto settleLease(MembershipState &state, PlatformResult result, TimePoint now, Actions &actions) -> void;

/// This process was paused for longer than a peer waits before it holds it for gone.
auto noticePause(MembershipState &state) -> void;

/// A delay between half and one and a half of \p mean, so that entries that failed together don't call together.
auto jitter(MembershipState &state, Duration mean) -> Duration;

} // namespace auburnspread::membership::detail
