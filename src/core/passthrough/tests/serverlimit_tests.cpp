#include "core/passthrough/serverlimit.h"
#include "core/passthrough/tests/limitedfleet.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

/// Number of requests that a server with this limit may get within 4 s.
auto allowedWithinWindow(double perSecond) -> double
{
    constexpr double Seconds = 4;
    constexpr double Factor = 1.5;
    constexpr double Margin = 5;
    return Factor * perSecond * Seconds + Margin;
}

/// Sends a request to the only server of the plain service, which answers with this limit. \return whether the request was sent
auto answerWithLimit(RouterHarness &harness, std::optional<double> perSecond) -> bool
{
    const auto sent = find<Send>(harness.arrive(FetchPath));
    if (!sent) {
        return false;
    }
    harness.apply(RateLimitReported{ .attempt = sent->attempt, .perSecond = perSecond });
    harness.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 200 });
    return true;
}

auto makeSingleServerHarness() -> RouterHarness
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) }, .asOf = harness.now() + std::chrono::milliseconds(1) });
    harness.apply(EntriesCounted{ .entries = 1, .names = { "entry-1" } });
    return harness;
}

} // namespace

/// Guards against entries that together exceed a server's limit, for any number of entries and with lost reports, crashes and network
/// partitions.
RC_GTEST_PROP(ServerLimitTests, allEntriesTogetherKeepToTheLimit, ())
{
    const auto isLarge = *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } });
    LimitedFleetOptions options;
    options.entries = isLarge ? *rc::gen::inRange<std::size_t>(13, 60) : *rc::gen::inRange<std::size_t>(1, 13);
    options.failureDomains = isLarge ? *rc::gen::inRange<std::size_t>(1, 5) : 1;
    options.servers = *rc::gen::inRange<std::size_t>(1, 5);
    options.limitedServers = *rc::gen::inRange<std::size_t>(1, options.servers + 1);
    options.limit = *rc::gen::element(0.0, 0.3, 1.0, 1.4, 1.9, 4.0, 12.5, 40.0);
    options.requestsPerSecond = 60 + 6 * options.limit * static_cast<double>(options.limitedServers);
    options.longestDelay = std::chrono::milliseconds(*rc::gen::inRange(5, 300));
    options.lostReports = *rc::gen::element(0.0, 0.02, 0.1);
    options.crashes = *rc::gen::inRange<std::size_t>(0, 6);
    options.partitions = *rc::gen::inRange<std::size_t>(0, 3);
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto result = simulateLimitedFleet(options);
    RC_LOG() << "entries " << options.entries << ", limit " << options.limit << ": " << result.mostWithinWindow << " within the window";
    RC_ASSERT(static_cast<double>(result.mostWithinWindow) <= allowedWithinWindow(options.limit));
}

/// Guards against entries that receive no reports from each other and use the whole limit each.
TEST(ServerLimitTests, anEntryWithoutPeerReportsKeepsToItsShare)
{
    const TimePoint now(std::chrono::hours(1));
    ServerLimit limit;
    ASSERT_TRUE(updateOwnStatement(limit, 6, now, now));
    LimitUsage usage{ .entries = 40, .peersKnown = true, .sent = 3 }; // 24 are allowed within the window, 3 for each of 8 entries
    EXPECT_TRUE(maySend(limit, usage, now));
    usage.peersKnown = false;
    EXPECT_FALSE(maySend(limit, usage, now));
    usage.entries = 0;
    EXPECT_FALSE(maySend(limit, usage, now));
}

/// Guards against a server that gets far fewer requests than its limit allows while requests wait.
TEST(ServerLimitTests, aLimitIsUsedWhileRequestsWait)
{
    for (const auto entries : { 1U, 7U, 40U }) {
        for (const auto limit : { 1.0, 5.0, 40.0 }) {
            const LimitedFleetOptions options{ .entries = entries, .servers = 1, .limit = limit, .requestsPerSecond = 20 + 4 * limit };
            const auto result = simulateLimitedFleet(options);
            constexpr double Seconds = 11;
            EXPECT_GE(static_cast<double>(result.sentToFirst), 0.5 * limit * Seconds) << entries << " entries, " << limit << " a second";
            EXPECT_GT(result.refusedAsLimited, 0U);
        }
    }
}

/// Guards against requests that are refused although another server has capacity.
TEST(ServerLimitTests, requestsBeyondALimitGoToOtherServers)
{
    const auto result = simulateLimitedFleet({ .entries = 7, .servers = 3, .limitedServers = 1, .limit = 1 });
    EXPECT_EQ(result.refused, 0U);
}

/// Guards against a limit that stays in effect after the server has stopped stating it.
TEST(ServerLimitTests, aServerWhoseLimitEndedIsUsedAsBefore)
{
    for (const auto entries : { 7U, 40U }) {
        const LimitedFleetOptions options{ .entries = entries, .servers = 2, .limit = 1, .limitUntil = std::chrono::seconds(6) };
        const auto result = simulateLimitedFleet(options);
        constexpr double Seconds = 5;
        EXPECT_GE(static_cast<double>(result.sentToFirstAfter), 0.3 * options.requestsPerSecond * Seconds) << entries << " entries";
    }
}

/// Guards against less urgent requests that exhaust a limit, so that a more urgent one has to wait.
TEST(ServerLimitTests, lessUrgentRequestsLeaveAReserve)
{
    const TimePoint now(std::chrono::hours(1));
    ServerLimit limit;
    ASSERT_TRUE(updateOwnStatement(limit, 4, now, now));
    LimitUsage usage{ .entries = 1, .peersKnown = true, .sent = 12 }; // 16 are allowed within the window
    EXPECT_TRUE(maySend(limit, usage, now));
    usage.leavesReserve = true;
    EXPECT_FALSE(maySend(limit, usage, now));
    usage.sent = 11;
    EXPECT_TRUE(maySend(limit, usage, now));
}

TEST(ServerLimitTests, anAnswerToAnEarlierRequestDoesNotEndALimit)
{
    auto harness = makeSingleServerHarness();
    const auto early = find<Send>(harness.arrive(FetchPath));
    const auto late = find<Send>(harness.arrive(FetchPath));
    harness.advance(std::chrono::milliseconds(20));
    harness.apply(RateLimitReported{ .attempt = late->attempt, .perSecond = 0.1 });
    harness.apply(RateLimitReported{ .attempt = early->attempt });
    EXPECT_EQ(statusOf(harness.router(), harness.now()).limitedServers, 1U);
}

/// Guards against requests that wait forever after a server states a limit of zero: only another answer can end the limit.
TEST(ServerLimitTests, aServerWithALimitOfZeroIsProbed)
{
    auto harness = makeSingleServerHarness();
    ASSERT_TRUE(answerWithLimit(harness, 0));
    harness.advance(std::chrono::seconds(5));
    EXPECT_TRUE(answerWithLimit(harness, std::nullopt));
    EXPECT_EQ(statusOf(harness.router(), harness.now()).limitedServers, 0U);
}

TEST(ServerLimitTests, aRestartedServerHasNoLimit)
{
    auto harness = makeSingleServerHarness();
    ASSERT_TRUE(answerWithLimit(harness, 1));
    auto restarted = makeServer("p1", "portal", 6);
    restarted.startedAt = 7;
    harness.apply(ServersListed{ .servers = { restarted }, .asOf = harness.now() + std::chrono::milliseconds(1) });
    EXPECT_EQ(statusOf(harness.router(), harness.now()).limitedServers, 0U);
}
