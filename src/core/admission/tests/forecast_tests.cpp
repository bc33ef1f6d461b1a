#include "core/admission/distribution.h"
#include "core/admission/forecast.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::admission;
using namespace std::chrono_literals;

RC_GTEST_PROP(DistributionTests, quantilesStayWithinABucketOfTheRealOnes, ())
{
    auto values = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(1, 1000000));
    Distribution distribution;
    for (const auto value : values) {
        observe(distribution, value);
    }
    std::sort(values.begin(), values.end());
    const auto ratio = *quantile(distribution, 0.5) / values.at(49);
    RC_ASSERT(ratio > std::exp2(-0.25) - 0.01);
    // The real median lies anywhere between two neighbours; the next one bounds it from above.
    RC_ASSERT(*quantile(distribution, 0.5) <= values.at(50) * std::exp2(0.25) + 1);
}

TEST(DistributionTests, aChangeShowsWithinSomeHundredObservations)
{
    Distribution distribution;
    for (int i = 0; i < 10000; ++i) {
        observe(distribution, 10);
    }
    for (int i = 0; i < 400; ++i) {
        observe(distribution, 1000);
    }
    EXPECT_GT(*quantile(distribution, 0.5), 800);
}

// The queue moves on ten times a second, then stops because every backend server went silent. A caller that comes
// when it has stood still for two seconds is told at once that its target is out of reach; the pace of the past
// would have let it in to wait in vain.
TEST(ForecastTests, aQueueThatStandsStillIsNotForecastByItsPast)
{
    Estimates estimates;
    TimePoint now{};
    noteQueueBegun(estimates, now);
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        noteLeftQueue(estimates, 500ms, 500ms, now);
        noteFirstToken(estimates, 50ms);
        noteAnswer(estimates, 101, 1s);
    }
    const Targets targets{ .firstToken = 600ms, .answer = 5s };
    EXPECT_FALSE(missedBy(estimates, forecastWait(estimates, 5, now), targets));
    EXPECT_TRUE(missedBy(estimates, forecastWait(estimates, 7, now), targets));
    EXPECT_TRUE(missedBy(estimates, forecastWait(estimates, 1, now + 2s), targets));
}

// Requests that can be on time take every slot. For a while that may be a burst, and a late request is let in as if it
// soon ended; once it has lasted longer than the answer target, those that would wait in vain are told so at once.
TEST(ForecastTests, aLongOverloadLeavesLateRequestsNoHope)
{
    Estimates estimates;
    TimePoint now{};
    noteQueueBegun(estimates, now);
    const auto passTime = [&](Duration time) {
        for (const auto end = now + time; now < end;) {
            now += 100ms;
            noteSpare(estimates, false, 20s, now);
            noteLeftQueue(estimates, 500ms, 500ms, now);
        }
    };
    passTime(3s);
    EXPECT_LT(forecastLateWait(estimates, 100, now), 15s);
    passTime(60s);
    EXPECT_GT(forecastLateWait(estimates, 100, now), 60s);
}

TEST(ForecastTests, theRestOfALongAnswerIsThatOfAnswersAtLeastAsLong)
{
    Estimates estimates;
    for (int i = 0; i < 50; ++i) {
        noteAnswer(estimates, 20, 190ms);
        noteAnswer(estimates, 1000, 9990ms);
    }
    EXPECT_LT(expectedRest(estimates, 0), 1s);
    EXPECT_GT(expectedRest(estimates, 100), 7s);
}
