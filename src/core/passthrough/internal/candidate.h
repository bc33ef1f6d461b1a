/// \file
/// What the choices among engines and among servers of plain services have in common.

#pragma once

#include "core/passthrough/placement.h"

#include <cstdint>

namespace auburnspread::passthrough::detail
{

/// A server that may take the request, the lowest score first.
struct Candidate {
    Placement placement;
    Duration score{};
    std::uint64_t tie = 0; ///< decides between equal scores
};

auto isBetter(const Candidate &one, const Candidate &other) -> bool;

/// Whether new work may go there, it is not one that failed this request, and it has a place.
auto mayUse(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool;

/// What besides time speaks against any server: own failures there, and distance.
auto serverPenalty(const ServerState &server, const PlacementQuery &query, TimePoint now) -> Duration;

/// A number that depends on every bit of both.
auto mix(std::uint64_t key, std::uint64_t salt) -> std::uint64_t;

} // namespace auburnspread::passthrough::detail
