/// \file
/// This entry's share of each server's concurrency, from the vectors that the cell's entries exchange.

#pragma once

#include "core/balancing/internal/state.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace auburnspread::balancing::detail
{

/// What one entry asks of one server.
struct Claim {
    std::uint32_t reserved = 0; ///< granted before anything else
    std::uint32_t wanted = 0;   ///< in flight and expected
};

/// Splits \p concurrency among the claims: reservations first, then max-min fair up to what is wanted, then what is
/// left evenly. The sum is exactly \p concurrency. \p first: the claim that is served first when slots do not
/// divide evenly.
auto splitFairly(std::uint32_t concurrency, std::span<const Claim> claims, std::size_t first) -> std::vector<std::uint32_t>;

/// This entry's place in the cell.
auto ownPlace(const State &state) -> std::size_t;

/// Whether the entry's last report still counts.
auto isHeard(const Entry &entry, TimePoint now) -> bool;

/// Drops what silent peers had in flight: kept, it would hold their slots for as long as they are silent, besides the
/// even part that the split leaves them.
auto forgetSilentPeers(State &state, TimePoint now) -> void;

/// Works all shares out anew.
auto updateShares(State &state, TimePoint now) -> void;

} // namespace auburnspread::balancing::detail
