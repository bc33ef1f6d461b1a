#include "core/base/tests/findaction.h"
#include "core/usage/reporter.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::usage;
using auburnspread::tests::findAction;

namespace
{

using namespace std::chrono_literals;

constexpr Window First = 1000;
constexpr Duration Length = 5s;

class Leader
{
public:
    Leader()
    {
        Tally tally;
        recordStart(tally, "a", First);
        applyReport(state_.ledger, makeReport(tally, "e1", 1, First + 1, 0));
        apply(TermBegun{ .token = 17 });
    }
    auto apply(const Event &event) -> Actions
    {
        return step(state_, event, now_);
    }
    auto tick(UnixTime time) -> Actions
    {
        now_ += 10s;
        return apply(Tick{ .time = time, .entries = { "e1" } });
    }
    /// Receives a report of \p entry, whose clock is in \p window.
    auto receiveReportOfWindow(const std::string &entry, Window window) -> void
    {
        Tally tally;
        recordStart(tally, "a", window);
        applyReport(state_.ledger, makeReport(tally, entry, 1, window, 0));
    }
    /// Receives a report of \p entry with \p requests requests in the first window.
    auto receiveReport(const std::string &entry, int requests) -> void
    {
        Tally tally;
        for (auto i = 0; i < requests; ++i) {
            recordStart(tally, "a", First);
        }
        applyReport(state_.ledger, makeReport(tally, entry, 1, First + 1, 0));
    }
    /// Reads the record, which is empty.
    auto readEmptyRecord(UnixTime time) -> void
    {
        apply(RecordRead{ .call = findAction<ReadRecord>(tick(time)).value().call });
    }

private:
    State state_ = makeState({ .windowLength = Length });
    TimePoint now_ = TimePoint(1h);
};

constexpr UnixTime AfterFirst = (First + 1) * 5000ms + 2s;

} // namespace

TEST(ReporterTests, aWindowIsFixedBeforeItIsSent)
{
    Leader leader;
    leader.readEmptyRecord(AfterFirst);
    const auto actions = leader.tick(AfterFirst);
    const auto write = findAction<WriteRecord>(actions).value();
    EXPECT_EQ(write.record, (Record{ { First, { { "a", 1 } } } }));
    EXPECT_EQ(write.expectedRevision, 0U);
    EXPECT_EQ(write.token, 17U);
    EXPECT_FALSE(findAction<Send>(actions));
    leader.apply(RecordWritten{ .call = write.call, .revision = 30 });
    const auto sent = findAction<Send>(leader.tick(AfterFirst)).value();
    EXPECT_EQ(sent.window, First);
    EXPECT_EQ(sent.counts, (Counts{ { "a", 1 } }));
    leader.apply(Sent{ .window = First });
    EXPECT_FALSE(findAction<Send>(leader.tick(AfterFirst)));
}

/// Guards against different counts for one window: the write that fixes it was executed, its response was lost, and a further report has
/// arrived since.
TEST(ReporterTests, theStoredCountsAreSentAfterALostResponse)
{
    Leader leader;
    leader.readEmptyRecord(AfterFirst);
    const auto write = findAction<WriteRecord>(leader.tick(AfterFirst)).value();
    leader.apply(RecordCallFailed{ .call = write.call });
    leader.receiveReport("e2", 5);
    const auto read = findAction<ReadRecord>(leader.tick(AfterFirst)).value();
    leader.apply(RecordRead{ .call = read.call, .record = write.record, .revision = 30 });
    EXPECT_EQ(findAction<Send>(leader.tick(AfterFirst)).value().counts, write.record.at(First));
}

/// Guards against a new leader that counts a window again that its predecessor has fixed.
TEST(ReporterTests, aNewLeaderSendsTheCountsFixedByItsPredecessor)
{
    Leader leader;
    const Record fixed{ { First, { { "a", 3 } } } };
    leader.apply(RecordRead{ .call = findAction<ReadRecord>(leader.tick(AfterFirst)).value().call, .record = fixed, .revision = 30 });
    const auto actions = leader.tick(AfterFirst);
    EXPECT_EQ(findAction<Send>(actions).value().counts, fixed.at(First));
    EXPECT_FALSE(findAction<WriteRecord>(actions));
}

TEST(ReporterTests, theLeaderWaitsForMissingReportsUntilTheLongestWaitIsOver)
{
    Leader leader;
    leader.readEmptyRecord(AfterFirst);
    const Tick tick{ .time = AfterFirst, .entries = { "e1", "e2" } };
    EXPECT_TRUE(leader.apply(tick).empty());
    EXPECT_TRUE(findAction<WriteRecord>(leader.apply(Tick{ .time = windowEnd(First, Length) + 7s, .entries = { "e1", "e2" } })));
}

TEST(ReporterTests, aWindowPastItsReportDeadlineIsSkipped)
{
    Leader leader;
    const Record fixed{ { First - 3, { { "a", 3 } } } };
    leader.apply(RecordRead{ .call = findAction<ReadRecord>(leader.tick(AfterFirst)).value().call, .record = fixed, .revision = 30 });
    const auto actions = leader.tick(AfterFirst);
    EXPECT_EQ(findAction<WriteRecord>(actions).value().record.rbegin()->first, First);
    EXPECT_EQ(findAction<SkippedWindows>(actions).value().first, First - 2);
}

TEST(ReporterTests, nothingIsSentAfterTheTerm)
{
    Leader leader;
    leader.readEmptyRecord(AfterFirst);
    leader.apply(TermEnded{});
    EXPECT_TRUE(leader.tick(AfterFirst).empty());
}

/// Guards against a leader that is busy for seconds because a VM has started with its clock at the Unix epoch.
TEST(ReporterTests, aClockThatIsYearsBehindAddsNoOldWindows)
{
    Leader leader;
    leader.receiveReportOfWindow("e2", 0);
    leader.readEmptyRecord(AfterFirst);
    EXPECT_EQ(findAction<WriteRecord>(leader.tick(AfterFirst)).value().record.begin()->first, First - 1);
}
