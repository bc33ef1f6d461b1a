#include "core/fleet/freshness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

using namespace auburnspread;
using namespace auburnspread::fleet;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));
constexpr Duration Step = std::chrono::milliseconds(10);
/// Within which a change must be in force after the store acknowledged it.
constexpr Duration InForce = std::chrono::seconds(2);

auto at(int milliseconds) -> TimePoint
{
    return Start + std::chrono::milliseconds(milliseconds);
}

/// An entry whose data was current at the start, and which has been running for long.
auto makeRunning() -> Freshness
{
    return makeFreshness(Start - std::chrono::minutes(1));
}

/// Reads of an entry in this time whose data stays as of \p asOf, as no read brings anything.
auto countReads(Freshness &freshness, TimePoint asOf, Duration time) -> int
{
    auto reads = 0;
    for (auto now = Start; now < Start + time; now += Step) {
        reads += takeDueRead(freshness, asOf, now) ? 1 : 0;
    }
    return reads;
}

} // namespace

TEST(FreshnessTests, recentDataIsNotReadAgain)
{
    auto freshness = makeRunning();
    for (auto i = 0; i < 1000; ++i) {
        EXPECT_FALSE(takeDueRead(freshness, at(10 * i), at(10 * i + 1500)));
    }
}

/// Guards against requests to a server that is leaving, and against withdrawn keys, at an entry whose peers were all lost.
RC_GTEST_PROP(FreshnessTests, aReadFollowsInTimeWheneverTheOthersFallSilent, ())
{
    auto freshness = makeRunning();
    auto asOf = Start;
    auto oldest = Duration::zero();
    auto othersAnswer = true;
    for (auto now = Start; now < at(20'000); now += Step) {
        othersAnswer = *rc::gen::inRange(0, 100) == 0 ? !othersAnswer : othersAnswer;
        if (othersAnswer) {
            asOf = std::max(asOf, now - Step * *rc::gen::inRange(0, 150));
        }
        oldest = std::max(oldest, now - asOf);
        if (takeDueRead(freshness, asOf, now)) {
            asOf = now;
        }
    }
    RC_ASSERT(oldest <= MaxDataAge + Step);
    RC_ASSERT(oldest < InForce);
}

TEST(FreshnessTests, theNextReadIsDueWhenTheDataIsTooOld)
{
    const auto freshness = makeRunning();
    EXPECT_EQ(nextReadAt(freshness, at(0)), Start + MaxDataAge);
}

/// Guards against a store that is down and receives the reads of all entries again and again.
TEST(FreshnessTests, readsThatBringNothingAreRare)
{
    auto freshness = makeRunning();
    EXPECT_EQ(countReads(freshness, at(-2000), std::chrono::seconds(6)), 1);
    EXPECT_LE(countReads(freshness, at(-2000), std::chrono::seconds(60)), 60 / 6);
}

/// Guards against an entry that learns of a change late because its reads failed during an outage that has ended.
TEST(FreshnessTests, aReadThatSucceedsEndsTheRetryDelay)
{
    auto freshness = makeRunning();
    countReads(freshness, at(-2000), std::chrono::seconds(30));
    EXPECT_EQ(nextReadAt(freshness, at(30'000)), at(30'000) + MaxDataAge) << "not delayed by the failed reads";
}

/// Guards against a fleet whose entries start together and all read the store.
TEST(FreshnessTests, aStartingEntryAsksTheOthersFirst)
{
    auto freshness = makeFreshness(Start);
    EXPECT_EQ(countReads(freshness, TimePoint(), std::chrono::milliseconds(3700)), 0);
    EXPECT_EQ(countReads(freshness, TimePoint(), std::chrono::milliseconds(4000)), 1);
}
