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

RC_GTEST_PROP(DistributionTests, quantilesAreWithinOneBucketOfTheExactOnes, ())
{
    auto values = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(1, 1000000));
    Distribution distribution;
    for (const auto value : values) {
        observe(distribution, value);
    }
    std::sort(values.begin(), values.end());
    const auto ratio = *quantile(distribution, 0.5) / values.at(49);
    RC_ASSERT(ratio > std::exp2(-0.25) - 0.01);
    // The exact median lies between two neighbouring values; the larger one is the upper bound.
    RC_ASSERT(*quantile(distribution, 0.5) <= values.at(50) * std::exp2(0.25) + 1);
}

TEST(DistributionTests, aChangeIsReflectedWithinAFewHundredObservations)
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

// Ten requests per second leave the queue, then none because all backend servers stop responding. A request that
// arrives two seconds later must be refused at once; a forecast from the past rate would admit it although it cannot
// meet its target.
TEST(ForecastTests, theForecastOfAStalledQueueIgnoresItsPastRate)
{
    Estimates estimates;
    TimePoint now{};
    recordQueueStart(estimates, now);
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        recordDequeue(estimates, 500ms, 500ms, now);
        recordFirstToken(estimates, 50ms);
        recordAnswer(estimates, 101, 1s);
    }
    const Targets targets{ .firstToken = 600ms, .answer = 5s };
    EXPECT_FALSE(targetOverrun(estimates, forecastWait(estimates, 5, now), targets));
    EXPECT_TRUE(targetOverrun(estimates, forecastWait(estimates, 7, now), targets));
    EXPECT_TRUE(targetOverrun(estimates, forecastWait(estimates, 1, now + 2s), targets));
}

// Requests that can be on time take every slot. A short burst may cause that, so late requests are still admitted; once
// the overload has lasted longer than the answer target, late requests must be refused at once.
TEST(ForecastTests, aLongOverloadRaisesTheForecastOfLateRequests)
{
    Estimates estimates;
    TimePoint now{};
    recordQueueStart(estimates, now);
    const auto passTime = [&](Duration time) {
        for (const auto end = now + time; now < end;) {
            now += 100ms;
            recordSpareShare(estimates, false, 20s, now);
            recordDequeue(estimates, 500ms, 500ms, now);
        }
    };
    passTime(3s);
    EXPECT_LT(forecastLateWait(estimates, 100, now), 15s);
    passTime(60s);
    EXPECT_GT(forecastLateWait(estimates, 100, now), 60s);
}

TEST(ForecastTests, theRemainderOfALongAnswerIsEstimatedFromAnswersAtLeastAsLong)
{
    Estimates estimates;
    for (int i = 0; i < 50; ++i) {
        recordAnswer(estimates, 20, 190ms);
        recordAnswer(estimates, 1000, 9990ms);
    }
    EXPECT_LT(expectedRest(estimates, 0), 1s);
    EXPECT_GT(expectedRest(estimates, 100), 7s);
}
