/// \file
/// Rendezvous (highest random weight) hashing: each key ranks all candidates by a hash of both, so adding or
/// removing one candidate moves only the keys that ranked it first.

#pragma once

#include <cstdint>
#include <string_view>

namespace auburnspread::membership::detail
{

/// Hash of key and candidate; the same on every node.
auto rankOf(std::uint64_t key, std::string_view candidate) -> std::uint64_t;

/// A key made of two parts; the parts can't run into each other.
auto keyOf(std::string_view first, std::string_view second) -> std::uint64_t;

/// Rank of a candidate that should win in proportion to \p weight (above 0). Higher is better.
auto weightedRankOf(std::uint64_t key, std::string_view candidate, double weight) -> double;

} // namespace auburnspread::membership::detail
