#include "gateway/leaving.h"

#include <gtest/gtest.h>

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
auto runDrain(Duration busyTime) -> DrainTimeline
{
    DrainTimeline timeline;
    auto drain = beginDrain(Start);
    for (Duration elapsed{}; !timeline.endedAfter; elapsed += std::chrono::milliseconds(50)) {
        const auto step = advanceDrain(drain, elapsed < busyTime, DrainTime, Start + elapsed);
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
