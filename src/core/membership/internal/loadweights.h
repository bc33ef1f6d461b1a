/// \file
/// How strongly callers are sent to each entry of the cell. Weights move by small steps and no faster than callers
/// come back, or the callers would slosh from one entry to the next.

#pragma once

#include "core/membership/internal/membershipstate.h"

#include <string_view>

namespace auburnspread::membership::detail
{

auto hearLoad(MembershipState &state, const LoadHeard &heard) -> void;

/// Adjusts the weights once each time that a caller keeps an answer.
auto adjustWeights(MembershipState &state, TimePoint now, Actions &actions) -> void;

auto weightOf(const MembershipState &state, std::string_view name) -> double;

} // namespace auburnspread::membership::detail
