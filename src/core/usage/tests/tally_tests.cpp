#include "core/usage/tally.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace auburnspread;
using namespace auburnspread::usage;

namespace
{

using namespace std::chrono_literals;

constexpr Window First = 1000;

} // namespace

TEST(TallyTests, windowsAreCountedFromTheUnixEpoch)
{
    EXPECT_EQ(windowAt(353445120 * 5000ms, 5s), 353445120);
    EXPECT_EQ(windowAt(353445120 * 5000ms - 1ms, 5s), 353445119);
    EXPECT_EQ(windowEnd(3, 5s), 20000ms);
}

/// Some reports are lost, duplicated or reordered. After the last reports each request is counted once.
RC_GTEST_PROP(TallyTests, lostDuplicatedAndReorderedReportsDoNotChangeTheCounts, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    Tally tally;
    Ledger ledger;
    std::vector<Report> reports;
    std::uint64_t begun = 0;
    for (std::uint64_t reportNumber = 0; reportNumber < 60; ++reportNumber) {
        const auto current = First + static_cast<Window>(reportNumber / 20);
        for (auto i = random() % 4; i > 0; --i) {
            recordStart(tally, random() % 2 == 0 ? "a" : "b", First);
            begun += 1;
        }
        reports.push_back(makeReport(tally, "e1", 1, current, reportNumber));
        if (random() % 3 != 0) {
            applyReport(ledger, reports.at(random() % reports.size()));
        }
    }
    for (std::uint64_t reportNumber = 60; reportNumber < 70; ++reportNumber) {
        applyReport(ledger, makeReport(tally, "e1", 1, First + 2, reportNumber));
    }
    auto counts = totalCounts(ledger, First);
    RC_ASSERT(counts["a"] + counts["b"] == begun);
}

/// Guards against the loss of the reported counts of an entry that restarts, and against counting them twice.
TEST(TallyTests, theCountsReportedBeforeARestartRemainValid)
{
    Ledger ledger;
    Tally before;
    Tally after;
    recordStart(before, "a", First);
    applyReport(ledger, makeReport(before, "e1", 1, First, 0));
    recordStart(after, "a", First);
    applyReport(ledger, makeReport(after, "e1", 2, First, 0));
    EXPECT_EQ(totalCounts(ledger, First)["a"], 2U);
}

TEST(TallyTests, aWindowIsCompleteWhenAllEntriesHaveReportedAfterItsEnd)
{
    Ledger ledger;
    Tally tally;
    applyReport(ledger, makeReport(tally, "e1", 1, First + 1, 0));
    applyReport(ledger, makeReport(tally, "e2", 1, First, 0));
    EXPECT_FALSE(haveReportedAfter(ledger, { "e1", "e2" }, First));
    applyReport(ledger, makeReport(tally, "e2", 1, First + 1, 1));
    EXPECT_TRUE(haveReportedAfter(ledger, { "e1", "e2" }, First));
}

/// Guards against an entry whose clock is minutes ahead and whose report makes the leader remove the counts of all other entries.
TEST(TallyTests, aClockThatIsAheadDoesNotRemoveTheCountsOfOtherEntries)
{
    Ledger ledger;
    Tally tally;
    Tally ahead;
    recordStart(tally, "a", First);
    applyReport(ledger, makeReport(tally, "e1", 1, First, 0));
    applyReport(ledger, makeReport(ahead, "e2", 1, First + 100, 0));
    removeSilentEntries(ledger, First);
    EXPECT_EQ(totalCounts(ledger, First)["a"], 1U);
    removeSilentEntries(ledger, First + 100);
    EXPECT_EQ(totalCounts(ledger, First)["a"], 0U);
}
