/// \file
/// How a server is chosen among those with a free slot.

#pragma once

#include "core/balancing/internal/state.h"

#include <cstdint>
#include <optional>

namespace auburnspread::balancing::detail
{

/// The best servers for a prefix by rendezvous hash, the same on every entry.
auto rankByRendezvous(const State &state, const Pool &pool, std::uint64_t bucket) -> AffinityRow;

/// The expected wait on the server, as far as this entry can tell; the lower the better.
auto scoreServer(const State &state, const Server &server, const Pool &pool, const Membership &membership, int tier, TimePoint now) -> double;

} // namespace auburnspread::balancing::detail
