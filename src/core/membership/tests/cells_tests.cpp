#include "core/membership/benchmarks/fleet.h"
#include "core/membership/cells.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace auburnspread::membership;
using namespace auburnspread::membership::benchmarks;

namespace
{

constexpr std::size_t PlannedMembers = 330;
constexpr std::size_t PlannedCells = 40;

auto countMembers(const std::vector<Cell> &cells) -> std::size_t
{
    std::set<std::string> names;
    for (const auto &cell : cells) {
        names.insert(cell.members.begin(), cell.members.end());
    }
    return names.size();
}

auto countDomains(const std::vector<CellMember> &fleet, const Cell &cell) -> std::size_t
{
    std::set<std::string> domains;
    for (const auto &member : fleet) {
        if (std::binary_search(cell.members.begin(), cell.members.end(), member.name)) {
            domains.insert(member.failureDomain);
        }
    }
    return domains.size();
}

auto without(std::vector<CellMember> fleet, std::size_t index) -> std::vector<CellMember>
{
    fleet.erase(fleet.begin() + static_cast<std::ptrdiff_t>(index));
    return fleet;
}

} // namespace

TEST(CellsTests, todaysDeploymentsAreOneCell)
{
    for (std::size_t members = 1; members <= SingleCellMembers; ++members) {
        const auto cells = computeCells(makeFleet(members, false));
        ASSERT_EQ(cells.size(), 1U);
        EXPECT_EQ(cells.front().members.size(), members);
    }
}

TEST(CellsTests, thePlannedFleetFillsFortyCellsEvenly)
{
    for (const bool twoRegions : { false, true }) {
        const auto fleet = makeFleet(PlannedMembers, twoRegions);
        const auto cells = computeCells(fleet);
        EXPECT_EQ(cells.size(), PlannedCells);
        EXPECT_EQ(countMembers(cells), PlannedMembers);
        for (const auto &cell : cells) {
            EXPECT_GE(cell.members.size(), 5U);
            EXPECT_LE(cell.members.size(), 10U);
            EXPECT_GE(countDomains(fleet, cell), 2U) << "one failure domain would take the whole cell with it";
        }
    }
}

TEST(CellsTests, oneLeaveMovesFewMembers)
{
    // A VM of the planned fleet is replaced. Every member that moves to another cell opens eight links and its new
    // peers share their load anew, so one leave, or the join that undoes it, must not set off a wave.
    constexpr std::size_t MostMoved = 10;
    const auto fleet = makeFleet(PlannedMembers, true);
    const auto before = computeCells(fleet);
    std::size_t total = 0;
    for (std::size_t left = 0; left < fleet.size(); ++left) {
        const auto moved = countMoved(before, computeCells(without(fleet, left)));
        EXPECT_LE(moved, MostMoved) << fleet[left].name;
        total += moved;
    }
    EXPECT_LE(total, 4 * PlannedMembers);
}

TEST(CellsTests, growthByOneStepNeverMovesEveryone)
{
    // A fleet grows one VM at a time. Where the number of cells steps up, at most the share of the new cells and the
    // members that they displace may move; between the steps a few.
    std::vector<Cell> before = computeCells(makeFleet(SingleCellMembers + 1, false));
    for (std::size_t members = SingleCellMembers + 2; members <= 400; ++members) {
        const auto after = computeCells(makeFleet(members, false));
        const auto moved = countMoved(before, after);
        EXPECT_LE(moved, after.size() == before.size() ? members / 8 + 2 : members * 2 / 3) << members << " members";
        before = after;
    }
}

TEST(CellsTests, aLeaveMovesNoWorkspaceToAnotherCell)
{
    // Callers of a workspace are steered to its cell, where its prompts are cached. Members come and go all day;
    // as long as the number of cells stays, no workspace may move.
    constexpr int Workspaces = 29000;
    const auto fleet = makeFleet(PlannedMembers, true);
    const auto before = computeCells(fleet);
    const auto after = computeCells(without(fleet, 100));
    std::map<std::size_t, int> load;
    for (int i = 0; i < Workspaces; ++i) {
        const auto workspace = "workspace-" + std::to_string(i);
        const auto cell = findServingCell(before, "north", workspace, "quote-7b");
        ASSERT_TRUE(cell);
        EXPECT_EQ(before[*cell].region, "north");
        EXPECT_EQ(findServingCell(after, "north", workspace, "quote-7b"), cell);
        ++load[*cell];
    }
    const auto cellsOfRegion = static_cast<int>(std::count_if(before.begin(), before.end(), [](const Cell &cell) { return cell.region == "north"; }));
    EXPECT_EQ(static_cast<int>(load.size()), cellsOfRegion);
    for (const auto &[cell, workspaces] : load) {
        EXPECT_LT(workspaces, Workspaces / cellsOfRegion * 11 / 10);
        EXPECT_GT(workspaces, Workspaces / cellsOfRegion * 9 / 10);
    }
}

RC_GTEST_PROP(CellsProperties, everyNodeComputesTheSameCellsAndPlacesEveryone, ())
{
    auto fleet = makeFleet(*rc::gen::inRange<std::size_t>(1, 200), *rc::gen::arbitrary<bool>());
    // Failure domains of any sizes: bounds that can't all be kept must leave nobody out.
    const auto lopsided = *rc::gen::inRange<std::size_t>(0, fleet.size());
    for (std::size_t i = 0; i < lopsided; ++i) {
        fleet[i].failureDomain = "n-1";
    }
    const auto cells = computeCells(fleet);
    RC_ASSERT(countMembers(cells) == fleet.size());
    std::size_t places = 0;
    for (const auto &cell : cells) {
        places += cell.members.size();
        RC_ASSERT(cell.members.size() <= SingleCellMembers);
    }
    RC_ASSERT(places == fleet.size());

    std::shuffle(fleet.begin(), fleet.end(), std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
    const auto again = computeCells(fleet);
    RC_ASSERT(again.size() == cells.size());
    for (std::size_t i = 0; i < cells.size(); ++i) {
        RC_ASSERT(again[i].members == cells[i].members);
    }
}
