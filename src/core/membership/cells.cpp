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

/// Places of one failure domain in one cell: a tenth more than an even share, so that a join or a leave displaces few others.
constexpr double PlaceSlack = 1.1;

struct Proposal {
    std::size_t member = 0;
    std::size_t choice = 0; ///< how many better cells have no place for it
};

/// Members of one failure domain against the cells of their region.
struct DomainAssignment {
    std::vector<std::string> members;                    ///< sorted
    std::vector<std::vector<std::uint32_t>> preferences; ///< of each member: the cells, best first
    std::vector<std::vector<std::size_t>> accepted;      ///< of each cell: the members that it holds
    std::size_t places = 0;                              ///< of each cell
};

/// One hash key for each cell of the region.
auto cellKeys(std::string_view region, std::uint32_t cells) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> keys;
    for (std::uint32_t number = 0; number < cells; ++number) {
        keys.push_back(keyOf(region, std::to_string(number)));
    }
    return keys;
}

auto rankCells(std::string_view member, std::span<const std::uint64_t> keys) -> std::vector<std::uint32_t>
{
    std::vector<std::uint64_t> ranks;
    for (const auto key : keys) {
        ranks.push_back(rankOf(key, member));
    }
    std::vector<std::uint32_t> order(keys.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) { return std::make_pair(ranks[a], a) > std::make_pair(ranks[b], b); });
    return order;
}

auto placesOf(std::size_t members, std::size_t cells) -> std::size_t
{
    const auto even = static_cast<double>(members) / static_cast<double>(cells);
    return static_cast<std::size_t>(even * PlaceSlack) + 1;
}

/// Takes the member in; hands back the one that has no place any more, if any.
auto offer(DomainAssignment &domain, std::uint32_t cell, std::uint64_t key, Proposal proposal, std::vector<Proposal> &held) -> std::optional<Proposal>
{
    auto &accepted = domain.accepted[cell];
    accepted.push_back(proposal.member);
    held[proposal.member] = proposal;
    if (accepted.size() <= domain.places) {
        return std::nullopt;
    }
    const auto worst = std::min_element(accepted.begin(), accepted.end(), [&](std::size_t a, std::size_t b) {
        return std::make_pair(rankOf(key, domain.members[a]), a) < std::make_pair(rankOf(key, domain.members[b]), b);
    });
    const auto displaced = held[*worst];
    accepted.erase(worst);
    return displaced;
}

/// Deferred acceptance: its result does not depend on the order of the proposals, so every node that knows the
/// same members computes the same cells, and one join displaces one chain of members at most.
auto assignDomain(std::vector<std::string> members, std::span<const std::uint64_t> keys) -> DomainAssignment
{
    DomainAssignment domain;
    domain.members = std::move(members);
    domain.places = placesOf(domain.members.size(), keys.size());
    domain.accepted.resize(keys.size());
    for (const auto &member : domain.members) {
        domain.preferences.push_back(rankCells(member, keys));
    }
    std::vector<Proposal> held(domain.members.size());
    for (std::size_t member = 0; member < domain.members.size(); ++member) {
        std::optional<Proposal> proposal = Proposal{ .member = member };
        while (proposal) {
            const auto cell = domain.preferences[proposal->member][proposal->choice];
            proposal = offer(domain, cell, keys[cell], *proposal, held);
            if (proposal) {
                ++proposal->choice;
            }
        }
    }
    return domain;
}

using MembersByDomain = std::map<std::string, std::vector<std::string>>;

auto computeRegion(const std::string &region, const MembersByDomain &domains, std::vector<Cell> &cells) -> void
{
    std::size_t members = 0;
    for (const auto &[domain, names] : domains) {
        members += names.size();
    }
    const auto count = cellCount(members);
    const auto keys = cellKeys(region, count);
    const auto first = cells.size();
    for (std::uint32_t number = 0; number < count; ++number) {
        cells.push_back({ .region = region, .number = number, .members = {} });
    }
    for (const auto &[domain, names] : domains) {
        const auto assignment = assignDomain(names, keys);
        for (std::uint32_t number = 0; number < count; ++number) {
            for (const auto member : assignment.accepted[number]) {
                cells[first + number].members.push_back(assignment.members[member]);
            }
        }
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
