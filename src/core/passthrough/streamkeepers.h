/// \file
/// Chooses the entries that remember where a stream began.
///
/// Each entry orders the others by a hash of stream and name, so that the entry which takes a stream up asks those to which the entry that
/// began it has reported, without any agreement. The first two are of different failure domains. Entries that come or go between the two
/// shift the order by few places, so more entries are asked than are told.

#pragma once

#include "core/passthrough/streamversions.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::passthrough
{

/// Entries to which an origin is reported.
constexpr std::size_t StreamKeepers = 3;
/// Entries that are asked for an origin.
constexpr std::size_t AskedStreamKeepers = 6;

/// Another entry as a keeper.
struct KeeperCandidate {
    std::string name;
    std::string failureDomain;
    std::uint64_t hash = 0; ///< of the name
};

/// \return the names of the first \p count entries in the stream's order
auto chooseKeepers(const std::vector<KeeperCandidate> &entries, StreamId stream, std::size_t count) -> std::vector<std::string>;

} // namespace auburnspread::passthrough
