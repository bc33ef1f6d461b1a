#include "core/quarantine/quarantine.h"

#include <gtest/gtest.h>

#include <chrono>

using namespace auburnspread;
using namespace auburnspread::quarantine;

namespace
{

constexpr TimePoint Start{ std::chrono::hours(1) };
constexpr Duration Settled = std::chrono::seconds(1);
constexpr Fingerprint Killer{ 0xBAD };
constexpr Fingerprint Neighbour{ 0x600D };

auto makeEntry(std::string name = "entry-1") -> State
{
    return makeState({ .entry = std::move(name) });
}

auto crashBoth(State &state) -> void
{
    recordDispatch(state, AttemptId{ 1 }, Killer, "gpu-1", Start);
    recordDispatch(state, AttemptId{ 2 }, Neighbour, "gpu-1", Start);
    recordCrash(state, AttemptId{ 1 }, Start);
    recordCrash(state, AttemptId{ 2 }, Start);
}

} // namespace

// A harmless request must be answered completely, if late, although another request crashed its server. The crash makes
// both requests suspect, and both are retried alone; the killer crashes a second server and is quarantined, the harmless
// neighbour completes and is cleared.
TEST(QuarantineTests, onlyARequestRunningAtBothCrashesIsQuarantined)
{
    auto state = makeEntry();
    crashBoth(state);
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Wait);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::RunAlone);
    recordDispatch(state, AttemptId{ 3 }, Killer, "gpu-2", Start + Settled);
    recordDispatch(state, AttemptId{ 4 }, Neighbour, "gpu-3", Start + Settled);
    const auto told = recordCrash(state, AttemptId{ 3 }, Start + Settled);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].mark, Mark::Quarantined);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::Refuse);
    const auto cleared = recordCompletion(state, AttemptId{ 4 }, Start + Settled);
    ASSERT_EQ(cleared.size(), 1U);
    EXPECT_EQ(cleared[0].mark, Mark::Cleared);
    EXPECT_EQ(decide(state, Neighbour, Start + Settled).verdict, Verdict::Run);
}

// Callers send the same request several times at once. Until a first copy has completed, the others may run only on the
// server of the first, so that a killer crashes one server and not one for each copy.
TEST(QuarantineTests, copiesOfAnUnprovenRequestShareOneServer)
{
    auto state = makeEntry();
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Run);
    recordDispatch(state, AttemptId{ 1 }, Killer, "gpu-1", Start);
    const auto second = decide(state, Killer, Start);
    EXPECT_EQ(second.verdict, Verdict::RunOnServer);
    EXPECT_EQ(second.server, "gpu-1");
    recordCompletion(state, AttemptId{ 1 }, Start);
    recordDispatch(state, AttemptId{ 2 }, Killer, "gpu-1", Start);
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Run);
}

// Copies of a suspect wait while its only retry is in flight. A cancelled retry proves nothing, so the next copy may
// retry.
TEST(QuarantineTests, copiesOfASuspectWaitForItsRetry)
{
    auto state = makeEntry();
    crashBoth(state);
    recordDispatch(state, AttemptId{ 3 }, Killer, "gpu-2", Start + Settled);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::Wait);
    EXPECT_EQ(recordInconclusiveEnd(state, AttemptId{ 3 }, Start + Settled).at(0).mark, Mark::RetryEnded);
    announceRetry(state, Killer, Start + Settled);
    EXPECT_EQ(decide(state, Killer, Start + Settled + Settled).verdict, Verdict::RunAlone);
}

// A caller whose request crashed a server at entry-2 immediately repeats it at entry-1. Entry-1 received the notice of
// the crash and leaves the retry to entry-2. Entry-2 fails and sends no further notice; entry-1 must retry once the time
// for the retry of entry-2 has passed.
TEST(QuarantineTests, anEntryWaitsOnlyForALimitedTimeForTheRetryOfAPeer)
{
    auto state = makeEntry();
    applyNotice(state, { .fingerprint = Killer, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-1" }, Start);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::Wait);
    applyNotice(state, { .fingerprint = Killer, .mark = Mark::Retrying, .entry = "entry-2", .server = {} }, Start + Settled);
    EXPECT_EQ(decide(state, Killer, Start + std::chrono::seconds(30)).verdict, Verdict::Wait);
    const TimePoint later = Start + std::chrono::minutes(2);
    EXPECT_EQ(announceRetry(state, Killer, later).at(0).mark, Mark::Retrying);
    EXPECT_EQ(decide(state, Killer, later).verdict, Verdict::Wait);
    EXPECT_EQ(decide(state, Killer, later + Settled).verdict, Verdict::RunAlone);
}

// Copies run at two entries when the first crash occurs. The entry whose copy is still running announces this at once:
// its copy counts as the retry, and the other entry makes none.
TEST(QuarantineTests, aCopyStillRunningAtAPeerCountsAsTheRetry)
{
    auto first = makeEntry("entry-1");
    auto second = makeEntry("entry-2");
    recordDispatch(first, AttemptId{ 1 }, Killer, "gpu-1", Start);
    recordDispatch(second, AttemptId{ 1 }, Killer, "gpu-2", Start);
    const auto told = recordCrash(first, AttemptId{ 1 }, Start);
    ASSERT_EQ(told.size(), 2U);
    EXPECT_EQ(told[0].mark, Mark::Suspect);
    applyNotice(second, told[0], Start);
    const auto answer = applyNotice(second, told[1], Start);
    ASSERT_EQ(answer.size(), 1U);
    EXPECT_EQ(answer[0].mark, Mark::Retrying);
    EXPECT_EQ(answer[0].server, "gpu-2");
    applyNotice(first, answer[0], Start);
    EXPECT_EQ(decide(first, Killer, Start + Settled).verdict, Verdict::Wait);
    EXPECT_EQ(recordCrash(second, AttemptId{ 1 }, Start + Settled).at(0).mark, Mark::Quarantined);
}

// Two entries each lose a copy of a request on the same server. Their notices name the same server and must count as one
// crash, not two.
TEST(QuarantineTests, oneCrashSeenByTwoEntriesIsOneCrash)
{
    auto state = makeEntry();
    crashBoth(state);
    applyNotice(state, { .fingerprint = Neighbour, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-1" }, Start);
    EXPECT_FALSE(isQuarantined(state, Neighbour, Start));
    applyNotice(state, { .fingerprint = Neighbour, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-2" }, Start);
    EXPECT_TRUE(isQuarantined(state, Neighbour, Start));
}

TEST(QuarantineTests, operatorsListAndRelease)
{
    auto state = makeEntry();
    applyNotice(state, { .fingerprint = Killer, .mark = Mark::Quarantined, .entry = "entry-2", .server = {} }, Start);
    ASSERT_EQ(list(state, Start).size(), 1U);
    EXPECT_TRUE(list(state, Start)[0].quarantined);
    EXPECT_EQ(release(state, Killer)->mark, Mark::Released);
    EXPECT_FALSE(release(state, Killer));
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Run);
}

TEST(QuarantineTests, theTableIsBoundedAndSuspectsAreEvictedFirst)
{
    auto state = makeState({ .entry = "entry-1", .capacity = 10 });
    applyNotice(state, { .fingerprint = Killer, .mark = Mark::Quarantined, .entry = "entry-2", .server = {} }, Start);
    for (std::uint64_t number = 1; number <= 100; ++number) {
        const auto now = Start + std::chrono::seconds(number);
        applyNotice(state, { .fingerprint = Fingerprint{ number }, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-1" }, now);
    }
    EXPECT_EQ(state.records.size(), 10U);
    EXPECT_TRUE(isQuarantined(state, Killer, Start));
    EXPECT_FALSE(isQuarantined(state, Killer, Start + std::chrono::hours(2)));
    expire(state, Start + std::chrono::hours(2));
    EXPECT_TRUE(state.records.empty());
}
