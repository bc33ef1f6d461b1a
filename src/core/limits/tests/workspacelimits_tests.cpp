#include "core/limits/workspacelimits.h"

#include <gtest/gtest.h>

#include <vector>

using namespace auburnspread;
using namespace auburnspread::limits;

namespace
{

constexpr Duration ReportInterval = std::chrono::milliseconds(250);
constexpr int OffersPerInterval = 100; ///< requests at each entry with demand, far above the limit

/// Entries that exchange their demand after each interval.
struct Cell {
    std::vector<WorkspaceUsage> entries;
    configuration::Workspace limits;
    TimePoint now{};
};

auto countOpen(const Cell &cell) -> std::uint32_t
{
    std::uint32_t open = 0;
    for (const auto &entry : cell.entries) {
        open += entry.open;
    }
    return open;
}

auto exchange(Cell &cell) -> void
{
    const auto open = countOpen(cell);
    std::vector<Demand> demands;
    for (auto &entry : cell.entries) {
        entry.peersOpen = open - entry.open;
        demands.push_back(takeDemand(entry, cell.now));
    }
    for (std::size_t from = 0; from < demands.size(); ++from) {
        for (std::size_t to = 0; to < cell.entries.size(); ++to) {
            if (from != to) {
                recordPeerDemand(cell.entries[to], cell.limits, demands[from], cell.now);
            }
        }
    }
}

/// Simulates one interval of demand at the first \p busy entries.
/// \return the number of requests that each entry admitted
auto offer(Cell &cell, std::size_t busy) -> std::vector<int>
{
    std::vector<int> admitted(cell.entries.size());
    for (int offer = 0; offer < OffersPerInterval; ++offer) {
        cell.now += ReportInterval / OffersPerInterval;
        for (std::size_t entry = 0; entry < busy; ++entry) {
            admitted[entry] += admit(cell.entries[entry], cell.limits, { .tokens = 10 }, static_cast<std::uint32_t>(cell.entries.size()), cell.now) ? 0 : 1;
        }
    }
    exchange(cell);
    return admitted;
}

auto sum(const std::vector<int> &counts) -> int
{
    int total = 0;
    for (const auto count : counts) {
        total += count;
    }
    return total;
}

} // namespace

// A workspace floods all entries at once, then only one of them. Together the entries admit its rate: first each its even part of the burst,
// then according to its share of demand. The one entry that is left gets the whole rate within seconds; if shares were computed from the
// admitted requests instead of the demand, an entry that admitted
// little would never recover its share.
TEST(WorkspaceLimitsTests, rateHoldsOverAllEntriesAndFollowsDemand)
{
    Cell cell{ .entries = std::vector<WorkspaceUsage>(8), .limits = { .requestsPerSecond = 80, .requestBurst = 80 } };
    EXPECT_LE(sum(offer(cell, 8)), 80 + 8 * 20 + 8); // the burst, and the refill of one interval at each entry before the first reports
    int steady = 0;
    for (int interval = 0; interval < 40; ++interval) {
        steady += sum(offer(cell, 8));
    }
    EXPECT_NEAR(steady, 800, 80);

    for (int interval = 0; interval < 20; ++interval) {
        offer(cell, 1);
    }
    int single = 0;
    for (int interval = 0; interval < 40; ++interval) {
        single += sum(offer(cell, 1));
    }
    EXPECT_NEAR(single, 800, 40);
}

TEST(WorkspaceLimitsTests, concurrencyHoldsOverAllEntries)
{
    Cell cell{ .entries = std::vector<WorkspaceUsage>(4), .limits = { .concurrency = 12 } };
    for (int interval = 0; interval < 8; ++interval) {
        offer(cell, 4);
        EXPECT_LE(countOpen(cell), 12U);
    }
    EXPECT_EQ(countOpen(cell), 12U);
}

TEST(WorkspaceLimitsTests, tokensUsedBeyondTheExpectedOnesAreCharged)
{
    WorkspaceUsage usage;
    const configuration::Workspace limits{ .tokensPerSecond = 100, .tokenBurst = 100 };
    TimePoint now{};
    ASSERT_FALSE(admit(usage, limits, { .tokens = 50 }, 1, now));
    release(usage, 50, 550);
    now += std::chrono::seconds(4);
    const auto refusal = admit(usage, limits, { .tokens = 50 }, 1, now);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, Reason::WorkspaceTokenRate);
    EXPECT_EQ(refusal->retryAfter, std::chrono::seconds(1));
}
