/// \file
/// Prints how evenly cells are filled, how many members move on a join or a leave, and what computing them costs.

#include "core/membership/benchmarks/fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <set>

namespace
{

using namespace auburnspread::membership;
using namespace auburnspread::membership::benchmarks;

struct Balance {
    std::size_t cells = 0;
    std::size_t smallest = 0;
    std::size_t largest = 0;
    std::size_t fewestDomains = 0;
};

struct Movement {
    std::size_t most = 0;
    double mean = 0;
};

auto measureBalance(const std::vector<CellMember> &fleet) -> Balance
{
    const auto cells = computeCells(fleet);
    Balance balance{ .cells = cells.size(), .smallest = fleet.size(), .fewestDomains = fleet.size() };
    for (const auto &cell : cells) {
        std::set<std::string> domains;
        for (const auto &member : fleet) {
            if (std::binary_search(cell.members.begin(), cell.members.end(), member.name)) {
                domains.insert(member.failureDomain);
            }
        }
        balance.smallest = std::min(balance.smallest, cell.members.size());
        balance.largest = std::max(balance.largest, cell.members.size());
        balance.fewestDomains = std::min(balance.fewestDomains, domains.size());
    }
    return balance;
}

/// Over every single leave of this fleet; read the other way round, over every join that leads to it.
auto measureMovement(const std::vector<CellMember> &fleet) -> Movement
{
    const auto before = computeCells(fleet);
    Movement movement;
    for (std::size_t left = 0; left < fleet.size(); ++left) {
        auto others = fleet;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(left));
        const auto moved = countMoved(before, computeCells(others));
        movement.most = std::max(movement.most, moved);
        movement.mean += static_cast<double>(moved) / static_cast<double>(fleet.size());
    }
    return movement;
}

auto measureMicroseconds(const std::vector<CellMember> &fleet) -> double
{
    constexpr int Runs = 50;
    std::size_t cells = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < Runs; ++i) {
        cells += computeCells(fleet).size();
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - start;
    return cells == 0 ? 0 : time.count() / Runs;
}

} // namespace

auto main() -> int
{
    std::printf("| members | regions | cells | smallest | largest | fewest domains | moved by one leave, mean | most | us to compute |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const bool twoRegions : { false, true }) {
        for (const std::size_t members : { 8U, 12U, 13U, 24U, 60U, 120U, 200U, 325U, 329U, 330U, 331U, 335U, 360U, 361U, 400U }) {
            const auto fleet = makeFleet(members, twoRegions);
            const auto balance = measureBalance(fleet);
            const auto movement = measureMovement(fleet);
            std::printf("| %zu | %d | %zu | %zu | %zu | %zu | %.2f | %zu | %.0f |\n",
                        members,
                        twoRegions ? 2 : 1,
                        balance.cells,
                        balance.smallest,
                        balance.largest,
                        balance.fewestDomains,
                        movement.mean,
                        movement.most,
                        measureMicroseconds(fleet));
        }
    }
    return 0;
}
