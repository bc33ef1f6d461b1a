/// \file
/// Removes parts that no manifest names any more: what older versions and lost submissions left behind.
/// `(state, event, now) -> actions`; any number of processes may run it at once.

#pragma once

#include "core/base/time.h"
#include "core/configuration/manifest.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::configuration
{

/// All parts that the platform's service holds, read before \c manifest was.
struct PartsListed {
    std::vector<std::string> digests;
    Manifest manifest;
};

struct PartIndexRead {
    std::string digest;
    std::uint64_t index = 0; ///< ModifyIndex
};

using CollectionEvent = std::variant<PartsListed, PartIndexRead>;

struct ReadPartIndex {
    std::string digest;
};

/// Compare-and-swap: it must fail if the part was written again since.
struct DeletePart {
    std::string digest;
    std::uint64_t index = 0;
};

using CollectionAction = std::variant<ReadPartIndex, DeletePart>;

/// An unnamed part, as first seen in this state.
struct UnnamedPart {
    std::uint64_t index = 0; ///< 0: not read yet
    TimePoint since{};
};

struct CollectionState {
    /// A submission writes its parts before it names them and gives up long before this time has passed, so a part
    /// that stayed unnamed and unwritten for so long is of no submission under way.
    Duration grace = std::chrono::hours(1);
    std::map<std::string, UnnamedPart> unnamed;
};

auto handle(CollectionState &state, const CollectionEvent &event, TimePoint now) -> std::vector<CollectionAction>;

} // namespace auburnspread::configuration
