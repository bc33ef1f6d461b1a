#include "core/membership/cells.h"

#include "core/membership/internal/rendezvous.h"

#include <algorithm>
#include <bit>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace auburnspread::membership
{

namespace
{

using detail::keyOf;
using detail::rankOf;

/// Places in a cell above an even share. Fewer fill the cells more evenly, more let a join or a leave displace fewer
/// members; docs/measurements/cells.md has the figures.
constexpr double PlaceSlack = 1.05;

/// Places of one failure domain in a cell above an even share. It keeps one failure domain from filling a cell.
constexpr double DomainSlack = 1.4;

struct Candidate {
    std::string name;
    std::size_t domain = 0;
    std::vector<std::uint32_t> preferences; ///< the cells, best first
    std::size_t choice = 0;                 ///< place in \c preferences of the cell that it holds or asks next
};

struct Places {
    std::uint64_t key = 0;             ///< ranks the candidates of this cell
    std::size_t all = 0;               ///< bound of members
    std::vector<std::size_t> ofDomain; ///< bound of members of each failure domain
    std::vector<std::size_t> held;     ///< indices of the candidates in it
};

/// The members of one region and its cells.
struct Region {
    std::string name;
    std::vector<Candidate> candidates;
    std::vector<std::size_t> domainSizes;
    std::vector<Places> cells;
};

auto rankCells(std::string_view member, const std::vector<Places> &cells) -> std::vector<std::uint32_t>
{
    std::vector<std::uint64_t> ranks;
    ranks.reserve(cells.size());
    for (const auto &cell : cells) {
        ranks.push_back(rankOf(cell.key, member));
    }
    std::vector<std::uint32_t> order(cells.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) { return std::make_pair(ranks[a], a) > std::make_pair(ranks[b], b); });
    return order;
}

/// Rounds up or down by a hash of the cell: as a region grows, its cells get their next place one after the other
/// instead of all at once, which would move many members.
auto roundByHash(double value, std::uint64_t key, std::string_view label) -> std::size_t
{
    constexpr double Range = 0x1p64;
    const auto uniform = static_cast<double>(rankOf(key, label)) / Range;
    return static_cast<std::size_t>(value + uniform);
}

auto divideUp(std::size_t dividend, std::size_t divisor) -> std::size_t
{
    return (dividend + divisor - 1) / divisor;
}

auto makeCells(Region &region, const std::vector<std::string> &domainNames) -> void
{
    const auto members = region.candidates.size();
    const auto count = cellCount(members);
    const auto evenShare = [&](std::size_t size) { return static_cast<double>(size) / count; };
    for (std::uint32_t number = 0; number < count; ++number) {
        Places cell{ .key = keyOf(region.name, std::to_string(number)), .all = 0, .ofDomain = {}, .held = {} };
        cell.all = std::max(divideUp(members, count), roundByHash(evenShare(members) * PlaceSlack, cell.key, "places"));
        for (std::size_t domain = 0; domain < domainNames.size(); ++domain) {
            const auto size = region.domainSizes[domain];
            const auto places = roundByHash(evenShare(size) * DomainSlack, cell.key, domainNames[domain]);
            cell.ofDomain.push_back(std::max(divideUp(size, count), places));
        }
        region.cells.push_back(std::move(cell));
    }
}

/// The candidate that ranks lowest among those held that \p matches takes; held must contain one.
template <typename Matches>
auto removeWorst(const Region &region, Places &cell, Matches matches) -> std::size_t
{
    auto worst = cell.held.end();
    for (auto place = cell.held.begin(); place != cell.held.end(); ++place) {
        if (matches(*place)
            && (worst == cell.held.end() || rankOf(cell.key, region.candidates[*place].name) < rankOf(cell.key, region.candidates[*worst].name))) {
            worst = place;
        }
    }
    const auto removed = *worst;
    cell.held.erase(worst);
    return removed;
}

/// Takes the candidate in; hands back the one that has no place any more, if any.
auto offer(Region &region, Places &cell, std::size_t candidate) -> std::optional<std::size_t>
{
    const auto domain = region.candidates[candidate].domain;
    const auto isOfDomain = [&](std::size_t other) { return region.candidates[other].domain == domain; };
    cell.held.push_back(candidate);
    const auto ofDomain = static_cast<std::size_t>(std::count_if(cell.held.begin(), cell.held.end(), isOfDomain));
    if (ofDomain > cell.ofDomain[domain]) {
        return removeWorst(region, cell, isOfDomain);
    }
    if (cell.held.size() > cell.all) {
        return removeWorst(region, cell, [](std::size_t /*other*/) { return true; });
    }
    return std::nullopt;
}

/// Deferred acceptance: each candidate asks the cells in its order, each cell keeps the best that it has places for.
/// The result does not depend on the order of the asking, so every node that knows the same members computes the same
/// cells, and one join or leave displaces one chain of members at most.
auto assign(Region &region) -> std::vector<std::size_t>
{
    std::vector<std::size_t> unplaced;
    for (std::size_t i = 0; i < region.candidates.size(); ++i) {
        std::optional<std::size_t> asking = i;
        while (asking) {
            auto &candidate = region.candidates[*asking];
            if (candidate.choice == candidate.preferences.size()) {
                unplaced.push_back(*asking);
                break;
            }
            asking = offer(region, region.cells[candidate.preferences[candidate.choice]], *asking);
            if (asking) {
                ++region.candidates[*asking].choice;
            }
        }
    }
    std::sort(unplaced.begin(), unplaced.end());
    return unplaced;
}

/// With very uneven failure domains the bounds can leave members over: they join the smallest cells.
auto placeLeftOver(Region &region, const std::vector<std::size_t> &unplaced) -> void
{
    for (const auto candidate : unplaced) {
        const auto smallest
            = std::min_element(region.cells.begin(), region.cells.end(), [](const Places &a, const Places &b) { return a.held.size() < b.held.size(); });
        smallest->held.push_back(candidate);
    }
}

using MembersByDomain = std::map<std::string, std::vector<std::string>>;

auto makeRegion(const std::string &name, const MembersByDomain &domains) -> Region
{
    Region region{ .name = name, .candidates = {}, .domainSizes = {}, .cells = {} };
    std::vector<std::string> domainNames;
    for (const auto &[domain, members] : domains) {
        for (const auto &member : members) {
            region.candidates.push_back({ .name = member, .domain = domainNames.size(), .preferences = {} });
        }
        domainNames.push_back(domain);
        region.domainSizes.push_back(members.size());
    }
    makeCells(region, domainNames);
    for (auto &candidate : region.candidates) {
        candidate.preferences = rankCells(candidate.name, region.cells);
    }
    return region;
}

auto computeRegion(const std::string &name, const MembersByDomain &domains, std::vector<Cell> &cells) -> void
{
    auto region = makeRegion(name, domains);
    placeLeftOver(region, assign(region));
    for (std::uint32_t number = 0; number < region.cells.size(); ++number) {
        Cell cell{ .region = name, .number = number, .members = {} };
        for (const auto candidate : region.cells[number].held) {
            cell.members.push_back(region.candidates[candidate].name);
        }
        cells.push_back(std::move(cell));
    }
}

auto singleCell(std::span<const CellMember> members) -> std::vector<Cell>
{
    Cell cell;
    for (const auto &member : members) {
        cell.members.push_back(member.name);
    }
    std::sort(cell.members.begin(), cell.members.end());
    return { std::move(cell) };
}

} // namespace

auto cellCount(std::size_t members) -> std::uint32_t
{
    if (members <= SingleCellMembers) {
        return 1;
    }
    std::size_t count = 2;
    while (members > count * MeanCellMembers) {
        constexpr std::size_t StepParts = 4;
        count += std::max<std::size_t>(1, std::bit_floor(count) / StepParts);
    }
    return static_cast<std::uint32_t>(count);
}

auto computeCells(std::span<const CellMember> members) -> std::vector<Cell>
{
    if (members.empty()) {
        return {};
    }
    if (members.size() <= SingleCellMembers) {
        return singleCell(members);
    }
    std::map<std::string, MembersByDomain> regions;
    for (const auto &member : members) {
        regions[member.region][member.failureDomain].push_back(member.name);
    }
    std::vector<Cell> cells;
    for (auto &[region, domains] : regions) {
        for (auto &[domain, names] : domains) {
            std::sort(names.begin(), names.end());
        }
        computeRegion(region, domains, cells);
    }
    std::erase_if(cells, [](const Cell &cell) { return cell.members.empty(); });
    for (auto &cell : cells) {
        std::sort(cell.members.begin(), cell.members.end());
    }
    return cells;
}

auto findCell(std::span<const Cell> cells, std::string_view name) -> std::optional<std::size_t>
{
    for (std::size_t i = 0; i < cells.size(); ++i) {
        if (std::binary_search(cells[i].members.begin(), cells[i].members.end(), name)) {
            return i;
        }
    }
    return std::nullopt;
}

auto findServingCell(std::span<const Cell> cells, std::string_view region, std::string_view workspace, std::string_view model) -> std::optional<std::size_t>
{
    const auto inRegion = [&](const Cell &cell) { return cell.region.empty() || cell.region == region; };
    const bool any = std::none_of(cells.begin(), cells.end(), inRegion);
    const auto key = keyOf(workspace, model);
    std::optional<std::size_t> best;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        if (!any && !inRegion(cells[i])) {
            continue;
        }
        const auto rank = rankOf(key, std::to_string(cells[i].number));
        if (!best || rank > bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace auburnspread::membership
