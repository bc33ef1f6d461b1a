/// \file
/// Eligibility, penalties and tie-breaking, common to the choice of an engine and of a plain service's server.

#pragma once

#include "core/passthrough/placement.h"

#include <cstdint>

namespace auburnspread::passthrough::detail
{

/// A server that may take the request; the lowest score wins.
struct Candidate {
    Placement placement;
    Duration score{};
    std::uint64_t tieBreak = 0; ///< the lower one wins between equal scores
};

auto isBetter(const Candidate &one, const Candidate &other) -> bool;

/// Whether the server is usable, of the required version and heard since the required time, has not failed this request before, and has a
/// free place within its concurrency and rate limits.
auto isEligible(const ServerState &server, const PlacementQuery &query, TimePoint now) -> bool;

/// Penalty for the failures that this entry has seen on the server, and for its distance.
auto serverPenalty(const ServerState &server, const PlacementQuery &query, TimePoint now) -> Duration;

/// Hash in which every bit of both arguments takes part.
auto mixHash(std::uint64_t key, std::uint64_t salt) -> std::uint64_t;

} // namespace auburnspread::passthrough::detail
