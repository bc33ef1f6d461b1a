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

TEST(TallyTests, windowsAreCountedFromTheStartOfTime)
{
    EXPECT_EQ(windowAt(353445120 * 5000ms, 5s), 353445120);
    EXPECT_EQ(windowAt(353445120 * 5000ms - 1ms, 5s), 353445119);
    EXPECT_EQ(endOf(3, 5s), 20000ms);
}

/// Reports get lost, doubled and overtaken; what is told in the end counts once.
RC_GTEST_PROP(TallyTests, lostDoubledAndLateReportsDoNoHarm, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    Tally tally;
    Ledger ledger;
    std::vector<Report> reports;
    std::uint64_t begun = 0;
    for (std::uint64_t turn = 0; turn < 60; ++turn) {
        const auto current = First + static_cast<Window>(turn / 20);
        for (auto i = random() % 4; i > 0; --i) {
            noteBegun(tally, random() % 2 == 0 ? "a" : "b", First);
            begun += 1;
        }
        reports.push_back(makeReport(tally, "e1", 1, current, turn));
        if (random() % 3 != 0) {
            noteReport(ledger, reports.at(random() % reports.size()));
        }
    }
    for (std::uint64_t turn = 60; turn < 70; ++turn) {
        noteReport(ledger, makeReport(tally, "e1", 1, First + 2, turn));
    }
    auto counts = countsOf(ledger, First);
    RC_ASSERT(counts["a"] + counts["b"] == begun);
}

/// Guards against usage that is lost with the entry that counted it, and against counting it twice after a restart.
TEST(TallyTests, whatAnEntryToldBeforeItRestartedCountsOn)
{
    Ledger ledger;
    Tally before;
    Tally after;
    noteBegun(before, "a", First);
    noteReport(ledger, makeReport(before, "e1", 1, First, 0));
    noteBegun(after, "a", First);
    noteReport(ledger, makeReport(after, "e1", 2, First, 0));
    EXPECT_EQ(countsOf(ledger, First)["a"], 2U);
}

TEST(TallyTests, aWindowIsKnownWhenAllHaveToldAfterItsEnd)
{
    Ledger ledger;
    Tally tally;
    noteReport(ledger, makeReport(tally, "e1", 1, First + 1, 0));
    noteReport(ledger, makeReport(tally, "e2", 1, First, 0));
    EXPECT_FALSE(haveTold(ledger, { "e1", "e2" }, First));
    noteReport(ledger, makeReport(tally, "e2", 1, First + 1, 1));
    EXPECT_TRUE(haveTold(ledger, { "e1", "e2" }, First));
}

/// Guards against an entry whose clock is minutes ahead, and whose word makes the leader forget what all others counted.
TEST(TallyTests, aClockThatIsAheadLosesNothingOfTheOthers)
{
    Ledger ledger;
    Tally tally;
    Tally ahead;
    noteBegun(tally, "a", First);
    noteReport(ledger, makeReport(tally, "e1", 1, First, 0));
    noteReport(ledger, makeReport(ahead, "e2", 1, First + 100, 0));
    forgetSilent(ledger, First);
    EXPECT_EQ(countsOf(ledger, First)["a"], 1U);
    forgetSilent(ledger, First + 100);
    EXPECT_EQ(countsOf(ledger, First)["a"], 0U);
}
