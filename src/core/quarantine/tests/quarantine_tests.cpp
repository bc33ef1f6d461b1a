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
    noteDispatched(state, AttemptId{ 1 }, Killer, "gpu-1", Start);
    noteDispatched(state, AttemptId{ 2 }, Neighbour, "gpu-1", Start);
    noteCrashed(state, AttemptId{ 1 }, Start);
    noteCrashed(state, AttemptId{ 2 }, Start);
}

} // namespace

// The caller of a harmless request sees a late but whole answer although its server was crashed by another request.
// One crash makes both suspect; both are retried alone; the killer crashes a second server and is quarantined,
// the neighbour completes and is cleared.
TEST(QuarantineTests, blameFallsOnWhatWasPresentAtBothCrashes)
{
    auto state = makeEntry();
    crashBoth(state);
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Wait);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::RunAlone);
    noteDispatched(state, AttemptId{ 3 }, Killer, "gpu-2", Start + Settled);
    noteDispatched(state, AttemptId{ 4 }, Neighbour, "gpu-3", Start + Settled);
    const auto told = noteCrashed(state, AttemptId{ 3 }, Start + Settled);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].mark, Mark::Quarantined);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::Refuse);
    const auto cleared = noteCompleted(state, AttemptId{ 4 }, Start + Settled);
    ASSERT_EQ(cleared.size(), 1U);
    EXPECT_EQ(cleared[0].mark, Mark::Cleared);
    EXPECT_EQ(decide(state, Neighbour, Start + Settled).verdict, Verdict::Run);
}

// Callers send the same request several times at once. The first copy runs; until one copy completed, the others may
// run only on the server where it runs, so that a killer takes one server with it and not one for each copy.
TEST(QuarantineTests, copiesOfAnUnprovenRequestShareOneServer)
{
    auto state = makeEntry();
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Run);
    noteDispatched(state, AttemptId{ 1 }, Killer, "gpu-1", Start);
    const auto second = decide(state, Killer, Start);
    EXPECT_EQ(second.verdict, Verdict::RunOnServer);
    EXPECT_EQ(second.server, "gpu-1");
    noteCompleted(state, AttemptId{ 1 }, Start);
    noteDispatched(state, AttemptId{ 2 }, Killer, "gpu-1", Start);
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Run);
}

// The caller's copies wait while the one retry of a suspect is under way; a retry that was cancelled proved nothing,
// so the next copy may make it.
TEST(QuarantineTests, copiesWaitForTheOneRetry)
{
    auto state = makeEntry();
    crashBoth(state);
    noteDispatched(state, AttemptId{ 3 }, Killer, "gpu-2", Start + Settled);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::Wait);
    EXPECT_EQ(noteEnded(state, AttemptId{ 3 }, Start + Settled).at(0).mark, Mark::RetryEnded);
    announceRetry(state, Killer, Start + Settled);
    EXPECT_EQ(decide(state, Killer, Start + Settled + Settled).verdict, Verdict::RunAlone);
}

// A caller whose request crashed a server at entry-2 sends it to entry-1 at once. Entry-1 heard of the crash and lets
// entry-2 make the retry; entry-2 says nothing more, because it died; after the time it had, entry-1 retries.
TEST(QuarantineTests, aPeersRetryIsWaitedForButNotForEver)
{
    auto state = makeEntry();
    hear(state, { .fingerprint = Killer, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-1" }, Start);
    EXPECT_EQ(decide(state, Killer, Start + Settled).verdict, Verdict::Wait);
    hear(state, { .fingerprint = Killer, .mark = Mark::Retrying, .entry = "entry-2", .server = {} }, Start + Settled);
    EXPECT_EQ(decide(state, Killer, Start + std::chrono::seconds(30)).verdict, Verdict::Wait);
    const TimePoint later = Start + std::chrono::minutes(2);
    EXPECT_EQ(announceRetry(state, Killer, later).at(0).mark, Mark::Retrying);
    EXPECT_EQ(decide(state, Killer, later).verdict, Verdict::Wait);
    EXPECT_EQ(decide(state, Killer, later + Settled).verdict, Verdict::RunAlone);
}

// Two copies run at two entries when the first crash is seen. The entry whose copy still runs says so at once: its
// copy is the retry, and the other entry makes none.
TEST(QuarantineTests, aCopyStillRunningElsewhereIsTheRetry)
{
    auto first = makeEntry("entry-1");
    auto second = makeEntry("entry-2");
    noteDispatched(first, AttemptId{ 1 }, Killer, "gpu-1", Start);
    noteDispatched(second, AttemptId{ 1 }, Killer, "gpu-2", Start);
    const auto told = noteCrashed(first, AttemptId{ 1 }, Start);
    ASSERT_EQ(told.size(), 2U);
    EXPECT_EQ(told[0].mark, Mark::Suspect);
    hear(second, told[0], Start);
    const auto answer = hear(second, told[1], Start);
    ASSERT_EQ(answer.size(), 1U);
    EXPECT_EQ(answer[0].mark, Mark::Retrying);
    EXPECT_EQ(answer[0].server, "gpu-2");
    hear(first, answer[0], Start);
    EXPECT_EQ(decide(first, Killer, Start + Settled).verdict, Verdict::Wait);
    EXPECT_EQ(noteCrashed(second, AttemptId{ 1 }, Start + Settled).at(0).mark, Mark::Quarantined);
}

// An entry's first and second notice of one crash name the same server; two entries that lost a copy each on that
// server saw one crash, not two.
TEST(QuarantineTests, oneCrashSeenByTwoEntriesIsOneCrash)
{
    auto state = makeEntry();
    crashBoth(state);
    hear(state, { .fingerprint = Neighbour, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-1" }, Start);
    EXPECT_FALSE(isQuarantined(state, Neighbour, Start));
    hear(state, { .fingerprint = Neighbour, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-2" }, Start);
    EXPECT_TRUE(isQuarantined(state, Neighbour, Start));
}

TEST(QuarantineTests, operatorsListAndRelease)
{
    auto state = makeEntry();
    hear(state, { .fingerprint = Killer, .mark = Mark::Quarantined, .entry = "entry-2", .server = {} }, Start);
    ASSERT_EQ(list(state, Start).size(), 1U);
    EXPECT_TRUE(list(state, Start)[0].quarantined);
    EXPECT_EQ(release(state, Killer)->mark, Mark::Released);
    EXPECT_FALSE(release(state, Killer));
    EXPECT_EQ(decide(state, Killer, Start).verdict, Verdict::Run);
}

TEST(QuarantineTests, theTableIsBoundedAndSuspectsLeaveItFirst)
{
    auto state = makeState({ .entry = "entry-1", .capacity = 10 });
    hear(state, { .fingerprint = Killer, .mark = Mark::Quarantined, .entry = "entry-2", .server = {} }, Start);
    for (std::uint64_t number = 1; number <= 100; ++number) {
        const auto now = Start + std::chrono::seconds(number);
        hear(state, { .fingerprint = Fingerprint{ number }, .mark = Mark::Suspect, .entry = "entry-2", .server = "gpu-1" }, now);
    }
    EXPECT_EQ(state.records.size(), 10U);
    EXPECT_TRUE(isQuarantined(state, Killer, Start));
    EXPECT_FALSE(isQuarantined(state, Killer, Start + std::chrono::hours(2)));
    expire(state, Start + std::chrono::hours(2));
    EXPECT_TRUE(state.records.empty());
}
