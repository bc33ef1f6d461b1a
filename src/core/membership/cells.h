/// \file
/// Cells: groups of up to about 12 entries of one region that span its failure domains and are linked all to all.
/// Every entry computes the same cells from the same member list. While there are 12 members or fewer there is one cell.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::membership
{

constexpr std::size_t SingleCellMembers = 12; ///< up to this many members form one cell
constexpr std::size_t MeanCellMembers = 9;    ///< a region gets enough cells for a mean of at most this

struct CellMember {
    std::string name;
    std::string failureDomain;
    std::string region;
};

struct Cell {
    std::string region; ///< empty for the single cell
    std::uint32_t number = 0;
    std::vector<std::string> members; ///< sorted
};

/// Number of cells for a region of \p members. It grows in steps of about a quarter, so that a fleet whose size
/// wavers by a few members keeps its cells.
auto cellCount(std::size_t members) -> std::uint32_t;

/// The cells, ordered by region and number. The order of \p members does not matter.
auto computeCells(std::span<const CellMember> members) -> std::vector<Cell>;

/// Index of the cell that holds \p name.
auto findCell(std::span<const Cell> cells, std::string_view name) -> std::optional<std::size_t>;

/// Index of the cell of \p region that serves this workspace and model; of any region if this one has no cell.
auto findServingCell(std::span<const Cell> cells, std::string_view region, std::string_view workspace, std::string_view model) -> std::optional<std::size_t>;

} // namespace auburnspread::membership
