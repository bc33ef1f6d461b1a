#include "core/balancing/internal/sharing.h"
#include "core/balancing/tests/deployment.h"
#include "core/balancing/tests/sharingsimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::balancing;
using namespace auburnspread::balancing::tests;
using detail::Claim;

namespace
{

auto makeCell(std::size_t entries, const DeploymentOptions &deployment) -> std::vector<StatePointer>
{
    std::vector<StatePointer> cell;
    for (const auto &name : entryNames(entries)) {
        cell.push_back(makeBalancing(deployment, name));
        noteCell(*cell.back(), entryNames(entries), Start);
    }
    return cell;
}

auto exchange(std::vector<StatePointer> &cell, const std::vector<std::uint32_t> &waiting, TimePoint now) -> void
{
    std::vector<UseReport> reports;
    for (std::size_t entry = 0; entry < cell.size(); ++entry) {
        const Demand demand{ .pool = demandName(Quote), .waiting = waiting[entry] };
        reports.push_back(takeReport(*cell[entry], std::span(&demand, 1), now));
    }
    for (auto &state : cell) {
        for (const auto &report : reports) {
            notePeerReport(*state, report, now);
        }
        advance(*state, now + std::chrono::milliseconds(100));
    }
}

auto sumOfShares(const std::vector<StatePointer> &cell, ServerIndex server) -> std::uint32_t
{
    return std::accumulate(cell.begin(), cell.end(), 0U, [&](std::uint32_t sum, const StatePointer &state) { return sum + shareOf(*state, server); });
}

} // namespace

RC_GTEST_PROP(SharingTests, sharesAddUpAndNobodyIsPoorerThanItMustBe, ())
{
    const auto concurrency = *rc::gen::inRange<std::uint32_t>(1, 64);
    const auto count = *rc::gen::inRange<std::size_t>(1, 13);
    std::vector<Claim> claims(count);
    for (auto &claim : claims) {
        claim = { .reserved = *rc::gen::inRange(0U, 3U), .wanted = *rc::gen::inRange(0U, 40U) };
    }
    const auto shares = detail::splitFairly(concurrency, claims, *rc::gen::inRange<std::size_t>(0, count));
    RC_ASSERT(std::accumulate(shares.begin(), shares.end(), 0U) == concurrency);
    for (std::size_t poor = 0; poor < count; ++poor) {
        for (std::size_t rich = 0; rich < count && shares[poor] < claims[poor].wanted; ++rich) {
            RC_ASSERT(shares[rich] <= std::max(claims[rich].reserved, shares[poor] + 1));
        }
    }
}

RC_GTEST_PROP(SharingTests, entriesThatHeardTheSameNeverAdmitMoreThanAServerTakes, ())
{
    const auto entries = *rc::gen::inRange<std::size_t>(1, 13);
    const auto concurrency = *rc::gen::inRange<std::uint32_t>(1, 17);
    auto cell = makeCell(entries, { .servers = 5, .concurrency = concurrency });
    std::vector<std::uint32_t> waiting(entries);
    for (auto &each : waiting) {
        each = *rc::gen::inRange(0U, 100U);
    }
    exchange(cell, waiting, Start + std::chrono::milliseconds(250));
    for (std::uint32_t server = 0; server < 5; ++server) {
        RC_ASSERT(sumOfShares(cell, ServerIndex{ server }) == concurrency);
    }
}

// One entry of eight has all the work. After one exchange it may use what the others do not, and each of the others
// still has a slot somewhere for its next request.
TEST(SharingTests, idleSlotsGoToTheEntryThatHasWork)
{
    auto cell = makeCell(8, { .servers = 18, .concurrency = 8 });
    EXPECT_EQ(freeSlots(*cell[0], Quote), 18U);
    std::vector<std::uint32_t> waiting(8);
    waiting[0] = 500;
    exchange(cell, waiting, Start + std::chrono::milliseconds(250));
    EXPECT_GE(freeSlots(*cell[0], Quote), 130U);
    for (std::size_t entry = 1; entry < 8; ++entry) {
        EXPECT_GE(freeSlots(*cell[entry], Quote), 1U);
    }
}

// Twelve entries share two slots. All wait; each gets its turn, and no more than a slot or two too many is granted at
// any moment although the entries' clocks differ.
TEST(SharingTests, slotsGoRoundWhereEntriesOutnumberThem)
{
    constexpr std::size_t Entries = 12;
    auto cell = makeCell(Entries, { .servers = 1, .concurrency = 2 });
    std::vector<std::uint32_t> turns(Entries);
    for (int second = 1; second <= 24; ++second) {
        const TimePoint now = Start + std::chrono::seconds(second);
        exchange(cell, std::vector<std::uint32_t>(Entries, 5), now);
        EXPECT_EQ(sumOfShares(cell, ServerIndex{ 0 }), 2U);
        for (std::size_t entry = 0; entry < Entries; ++entry) {
            turns[entry] += shareOf(*cell[entry], ServerIndex{ 0 });
        }
    }
    EXPECT_GE(*std::min_element(turns.begin(), turns.end()), 2U);
}

// A peer with seven requests in flight falls silent but is still in the cell: it keeps its even part, not all that it
// had, and not nothing. Once the cell is without it, its part goes to the others.
TEST(SharingTests, aSilentPeerKeepsItsEvenPartUntilItLeavesTheCell)
{
    auto cell = makeCell(2, { .servers = 1, .concurrency = 8 });
    for (std::uint64_t attempt = 1; attempt <= 7; ++attempt) {
        noteDispatched(*cell[1], AttemptId{ attempt }, ServerIndex{ 0 }, Quote, Start);
    }
    exchange(cell, { 100, 0 }, Start + std::chrono::milliseconds(250));
    EXPECT_EQ(freeSlots(*cell[0], Quote), 1U);
    const TimePoint later = Start + std::chrono::seconds(10);
    const Demand demand{ .pool = demandName(Quote), .waiting = 100 };
    takeReport(*cell[0], std::span(&demand, 1), later);
    advance(*cell[0], later);
    EXPECT_EQ(freeSlots(*cell[0], Quote), 4U);
    noteCell(*cell[0], entryNames(1), later);
    EXPECT_EQ(freeSlots(*cell[0], Quote), 8U);
}

// A peer still holds slots that are ours by the new shares. They are taken up as its requests end, not before.
TEST(SharingTests, aShareThatMovesIsTakenUpAsThePeersRequestsEnd)
{
    auto cell = makeCell(2, { .servers = 1, .concurrency = 8 });
    for (std::uint64_t attempt = 1; attempt <= 8; ++attempt) {
        noteDispatched(*cell[0], AttemptId{ attempt }, ServerIndex{ 0 }, Quote, Start);
    }
    exchange(cell, { 100, 100 }, Start + std::chrono::milliseconds(250));
    EXPECT_EQ(shareOf(*cell[1], ServerIndex{ 0 }), 4U);
    EXPECT_LE(freeSlots(*cell[1], Quote), 1U);
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt) {
        noteFinished(*cell[0], AttemptId{ attempt }, 10, Start);
    }
    exchange(cell, { 100, 100 }, Start + std::chrono::milliseconds(500));
    EXPECT_EQ(freeSlots(*cell[0], Quote), 0U);
    EXPECT_EQ(freeSlots(*cell[1], Quote), 4U);
}

// Eight entries with reports up to 250 ms old share 18 servers at 0.95 of what these take, evenly, with one entry that
// offers two thirds, and with a burst that moves between entries. What each server holds stays near the mean, is at
// most three slots and seldom more than it takes, and does not swing between reports; hardly a slot is idle while a
// request waits. The least loaded by the same reports is the herd that this avoids.
TEST(SharingTests, staleReportsMakeNoHerd)
{
    for (const Load load : { Load::Even, Load::OneBursts, Load::MovingBurst }) {
        const auto shared = simulate({ .way = Way::Exchanged, .load = load, .offered = 0.95 });
        const auto herd = simulate({ .way = Way::LeastReported, .load = load, .offered = 0.95 });
        EXPECT_LE(shared.mostOver, 3U) << loadName(load);
        EXPECT_LT(shared.overPercent, 6) << loadName(load);
        EXPECT_LT(shared.spread, 1.5) << loadName(load);
        EXPECT_LT(shared.jumps, 0.75) << loadName(load);
        EXPECT_LT(shared.idlePercent, 4) << loadName(load);
        EXPECT_GT(herd.mostOver, shared.mostOver + 3) << loadName(load);
        EXPECT_GT(herd.overPercent, 3 * shared.overPercent) << loadName(load);
    }
}
