/// \file
/// A position in the history of the platform's store.

#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace auburnspread
{

/// The store may come back from a copy that is some seconds old. What was written since the copy is lost, and its revisions are given
/// out again, but the era rises. Of two positions, the one of the later era is the later one, whatever the numbers are.
struct StoreRevision {
    std::uint64_t era = 0;    ///< rises each time the store comes back from a copy; 0: the store states no era
    std::uint64_t number = 0; ///< the store's revision; 0: nothing was read

    auto operator==(const StoreRevision &) const -> bool = default;
    auto operator<=>(const StoreRevision &other) const -> std::strong_ordering
    {
        return std::pair(era, number) <=> std::pair(other.era, other.number);
    }
};

} // namespace auburnspread
