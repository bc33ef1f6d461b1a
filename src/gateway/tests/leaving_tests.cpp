#include "gateway/leaving.h"

#include <gtest/gtest.h>

#include <optional>

using namespace auburnspread;
using namespace auburnspread::gateway;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));
constexpr Duration LeavingTime = std::chrono::seconds(8);

struct Course {
    std::optional<Duration> refusedAfter;
    std::optional<Duration> endedAfter;
};

/// Busy until \p busyFor has passed.
auto leave(Duration busyFor) -> Course
{
    Course course;
    auto leaving = beginLeaving(Start);
    for (Duration passed{}; !course.endedAfter; passed += std::chrono::milliseconds(50)) {
        const auto step = stepLeaving(leaving, passed < busyFor, LeavingTime, Start + passed);
        if (step == LeavingStep::RefuseNew) {
            EXPECT_FALSE(course.refusedAfter) << "told twice";
            course.refusedAfter = passed;
        } else if (step == LeavingStep::End) {
            course.endedAfter = passed;
        }
    }
    return course;
}

} // namespace

/// What callers see: connections refused. Some keep the addresses for three seconds; an idle entry waits for those too.
TEST(LeavingTests, anIdleEntryEndsWhenCallersHaveForgottenIt)
{
    const auto course = leave(Duration::zero());
    EXPECT_GT(course.endedAfter, 3 * AddressKeep);
    EXPECT_LT(course.endedAfter, std::chrono::seconds(4));
    EXPECT_FALSE(course.refusedAfter);
}

/// What callers see: an answer cut in the middle. What comes too late to end is refused while there is time to say so, and the
/// entry ends by itself before it is killed.
TEST(LeavingTests, aBusyEntryRefusesWhatCannotEndAndEndsInTime)
{
    const auto course = leave(std::chrono::hours(1));
    EXPECT_GT(course.refusedAfter, std::chrono::seconds(5));
    EXPECT_LT(course.refusedAfter, std::chrono::seconds(6));
    EXPECT_GT(course.endedAfter, std::chrono::seconds(7));
    EXPECT_LT(course.endedAfter, LeavingTime);
}

TEST(LeavingTests, anEntryEndsSoonAfterItsLastRequest)
{
    const auto course = leave(std::chrono::seconds(5));
    EXPECT_GT(course.endedAfter, std::chrono::seconds(5));
    EXPECT_LT(course.endedAfter, std::chrono::milliseconds(5500));
}
