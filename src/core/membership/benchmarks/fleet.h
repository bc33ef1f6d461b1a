/// \file
/// Member lists of a chosen size for tests and measurements.

#pragma once

#include "core/membership/cells.h"

#include <string>
#include <vector>

namespace auburnspread::membership::benchmarks
{

/// Members spread over 2 regions with 3 and 2 failure domains, or over one region with 3.
inline auto makeFleet(std::size_t members, bool twoRegions) -> std::vector<CellMember>
{
    const std::vector<std::pair<std::string, std::string>> places
        = { { "north", "n-1" }, { "north", "n-2" }, { "south", "s-1" }, { "north", "n-3" }, { "south", "s-2" }, { "south", "s-1" }, { "south", "s-2" } };
    std::vector<CellMember> fleet;
    fleet.reserve(members);
    for (std::size_t i = 0; i < members; ++i) {
        const auto &[region, domain] = places[i % places.size()];
        fleet.push_back({ .name = "entry-" + std::to_string(i), .failureDomain = domain, .region = region });
        if (!twoRegions) {
            fleet.back().region = "north";
            fleet.back().failureDomain = "n-" + std::to_string(i % 3);
        }
    }
    return fleet;
}

/// Members of \p before that are in another cell \p after; a member counts as moved if its cell's number changed.
inline auto countMoved(const std::vector<Cell> &before, const std::vector<Cell> &after) -> std::size_t
{
    std::size_t moved = 0;
    for (const auto &cell : before) {
        for (const auto &name : cell.members) {
            const auto place = findCell(after, name);
            const bool stays = place && after[*place].region == cell.region && after[*place].number == cell.number;
            moved += place && !stays ? 1 : 0;
        }
    }
    return moved;
}

} // namespace auburnspread::membership::benchmarks
