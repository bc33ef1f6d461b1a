#include "gateway/leaving.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

using namespace auburnspread;
using namespace auburnspread::gateway;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));
constexpr Duration DrainTime = std::chrono::seconds(8);

struct DrainTimeline {
    std::optional<Duration> refusedAfter;
    std::optional<Duration> requestsEndedAfter;
    std::optional<Duration> endedAfter;
};

/// Runs the drain of an entry that has requests in flight until \p busyTime.
/// \param notice: time from the signal until the entry notices it
auto runDrain(Duration busyTime, Duration notice = {}) -> DrainTimeline
{
    DrainTimeline timeline;
    auto drain = beginDrain(Start, Start + notice, DrainTime);
    for (auto elapsed = notice; !timeline.endedAfter; elapsed += std::chrono::milliseconds(50)) {
        const auto step = advanceDrain(drain, elapsed < busyTime, Start + elapsed);
        if (step == DrainStep::RefuseNewRequests) {
            EXPECT_FALSE(timeline.refusedAfter) << "returned twice";
            timeline.refusedAfter = elapsed;
        } else if (step == DrainStep::EndRequests) {
            EXPECT_FALSE(timeline.requestsEndedAfter) << "returned twice";
            timeline.requestsEndedAfter = elapsed;
        } else if (step == DrainStep::Exit) {
            timeline.endedAfter = elapsed;
        }
    }
    return timeline;
}

} // namespace

/// Guards against refused connections: some callers cache the addresses for three seconds, so even an idle entry waits for them.
TEST(LeavingTests, anIdleEntryExitsOnceCachedAddressesHaveExpired)
{
    const auto timeline = runDrain(Duration::zero());
    EXPECT_GT(timeline.endedAfter, 3 * AddressCacheTime);
    EXPECT_LT(timeline.endedAfter, std::chrono::seconds(4));
    EXPECT_FALSE(timeline.refusedAfter);
}

/// Guards against responses cut off by the exit: requests that arrive too late to complete are refused while there is still time
/// to respond, and the entry exits before it is killed.
TEST(LeavingTests, aBusyEntryRefusesLateRequestsAndExitsInTime)
{
    const auto timeline = runDrain(std::chrono::hours(1));
    EXPECT_GT(timeline.refusedAfter, std::chrono::seconds(5));
    EXPECT_LT(timeline.refusedAfter, std::chrono::seconds(6));
    EXPECT_GT(timeline.endedAfter, std::chrono::seconds(7));
    EXPECT_LT(timeline.endedAfter, DrainTime);
}

TEST(LeavingTests, anEntryExitsSoonAfterItsLastRequest)
{
    const auto timeline = runDrain(std::chrono::seconds(5));
    EXPECT_GT(timeline.endedAfter, std::chrono::seconds(5));
    EXPECT_LT(timeline.endedAfter, std::chrono::milliseconds(5500));
}

/// Guards against closed connections without a response: what has not begun to be answered is answered before the exit.
TEST(LeavingTests, aBusyEntryEndsItsRequestsBeforeItExits)
{
    const auto timeline = runDrain(std::chrono::hours(1));
    ASSERT_TRUE(timeline.requestsEndedAfter);
    EXPECT_LT(timeline.requestsEndedAfter, timeline.endedAfter);
    EXPECT_FALSE(runDrain(std::chrono::seconds(5)).requestsEndedAfter);
}

/// Guards against requests that are cut off by the kill, because the entry was not running when the signal came and counts from when it
/// noticed it.
TEST(LeavingTests, anEntryThatNoticesTheSignalLateEndsItsRequestsBeforeItIsKilled)
{
    for (const auto notice : { std::chrono::milliseconds(500), std::chrono::milliseconds(3000), std::chrono::milliseconds(7000) }) {
        const auto timeline = runDrain(std::chrono::hours(1), notice);
        EXPECT_LE(timeline.refusedAfter, std::max(notice, std::chrono::milliseconds(5500)));
        EXPECT_LT(timeline.requestsEndedAfter, DrainTime);
    }
    const auto drain = beginDrain(Start, Start + std::chrono::milliseconds(700), DrainTime);
    EXPECT_LT(cachedAddressesExpireAt(drain), Start + 3 * AddressCacheTime);
    EXPECT_LT(promisesEndAt(drain), Start + DrainTime);
}

/// Guards against begun streams that are cut off early: the signal may have been sent at the end of a pause, not at its beginning.
TEST(LeavingTests, anEntryThatPausedBeforeTheSignalServesBegunStreamsIntoTheLastSixth)
{
    for (const auto pause : { std::chrono::milliseconds(700), std::chrono::milliseconds(1600), std::chrono::milliseconds(3000) }) {
        const auto timeline = runDrain(std::chrono::hours(1), pause);
        EXPECT_GE(*timeline.endedAfter - pause, DrainTime * 5 / 6) << pause.count();
    }
}

/// Guards against a signal that seems to be new: after a pause the event loop serves the timer twice before the signal.
TEST(LeavingTests, theSignalMayHaveComeAtTheBeginningOfAPauseThatHasJustEnded)
{
    auto at = Start;
    auto times = beginLoopTimes(at);
    EXPECT_EQ(earliestSignalTime(times, at), at) << "right after the start";
    for (auto i = 0; i < 100; ++i, at += std::chrono::milliseconds(20)) {
        recordService(times, at);
    }
    const auto pauseBegan = at;
    EXPECT_GE(earliestSignalTime(times, at), at - std::chrono::milliseconds(50)) << "no pause";
    at += std::chrono::milliseconds(700);
    EXPECT_LE(earliestSignalTime(times, at), pauseBegan) << "the signal before the timer";
    for (auto i = 0; i < 5; ++i, at += std::chrono::milliseconds(5)) {
        recordService(times, at);
        EXPECT_LE(earliestSignalTime(times, at), pauseBegan) << "the timer before the signal";
    }
    at += std::chrono::milliseconds(400);
    recordService(times, at);
    EXPECT_LE(earliestSignalTime(times, at), pauseBegan) << "a second pause";
    for (auto i = 0; i < 100; ++i, at += std::chrono::milliseconds(20)) {
        recordService(times, at);
    }
    EXPECT_GE(earliestSignalTime(times, at), at - std::chrono::milliseconds(50)) << "long after the pause";
}

/// Guards against a new signal that seems to be old: an entry that always pauses would refuse and end everything at once.
TEST(LeavingTests, anEntryThatPausesAgainAndAgainServesAfterTheSignal)
{
    auto at = Start;
    auto times = beginLoopTimes(at);
    for (auto i = 0; i < 100; ++i, at += std::chrono::milliseconds(i % 2 == 0 ? 20 : 180)) {
        recordService(times, at);
    }
    const auto drain = beginDrain(earliestSignalTime(times, at), at, DrainTime);
    EXPECT_GT(cachedAddressesExpireAt(drain), at + AddressCacheTime);
    EXPECT_LT(drain.signalAt, at - std::chrono::milliseconds(180)) << "the signal may have come in a pause";
}
