/// \file
/// Engines and callers that leave, before many entries of which some forward their requests to others.

#include "core/passthrough/tests/cutfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough::tests;

namespace
{

auto largeFleet(CutKind kind) -> CutFleetOptions
{
    return {
        .entries = 70,
        .cutEntries = 30,
        .kind = kind,
        .cutFrom = std::chrono::seconds(3),
        .cutUntil = std::chrono::seconds(12),
        .requestsPerSecond = 400,
        .leavingInterval = std::chrono::milliseconds(400),
        .leavingCallers = 0.5,
        .length = std::chrono::seconds(14),
    };
}

} // namespace

/// Guards against requests that reach an engine long after it has said that it is leaving, and against work that goes on for callers that have
/// left, also where the request waits or runs at the entry to which it was forwarded.
TEST(LeavingAtScaleTests, leavingServersGetNothingAndLeavingCallersEndTheirWork)
{
    for (const auto kind : { CutKind::Hanging, CutKind::Resetting, CutKind::RefusingNew, CutKind::HangingNew }) {
        const auto result = simulateCutFleet(largeFleet(kind));
        EXPECT_GT(result.forwards, 500U);
        EXPECT_GT(result.leftEngines, 30U);
        EXPECT_GT(result.leftCallers, 1000U);
        EXPECT_EQ(result.lateSends, 0U);
        EXPECT_EQ(result.abandonedWork, 0U);
    }
}

/// The same for fleets, cuts, rates and delays that are drawn.
RC_GTEST_PROP(LeavingAtScaleTests, noFleetSendsLateOrWorksForNobody, ())
{
    auto options = largeFleet(*rc::gen::element(CutKind::Hanging, CutKind::Resetting, CutKind::RefusingNew, CutKind::HangingNew));
    options.entries = *rc::gen::inRange<std::size_t>(2, 80);
    options.cutEntries = *rc::gen::inRange<std::size_t>(0, options.entries);
    options.cutPeriod = std::chrono::milliseconds(*rc::gen::element(0, 500, 4000));
    options.requestsPerSecond = *rc::gen::element(50.0, 300.0, 900.0);
    options.lostForwards = *rc::gen::element(0.0, 0.2);
    options.leavingInterval = std::chrono::milliseconds(*rc::gen::element(200, 400, 2000));
    options.leavingCallers = *rc::gen::element(0.1, 0.9);
    options.length = std::chrono::seconds(6);
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto result = simulateCutFleet(options);
    RC_ASSERT(result.lateSends == 0U);
    RC_ASSERT(result.abandonedWork == 0U);
}
