#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

/// Guards against a request that never gets a response because its server stays silent. At the route's timeout the caller must get a
/// final status that leaves open whether the request ran, and the attempt must be cancelled.
TEST(EndingTests, aRequestGetsAFinalStatusAtTheTimeoutOfItsRoute)
{
    RouterHarness harness;
    const auto sent = find<Send>(harness.arrive(NoticePath));
    EXPECT_EQ(count<Refuse>(harness.advance(std::chrono::milliseconds(4980))), 0U);
    const auto actions = harness.advance(std::chrono::milliseconds(40));
    ASSERT_TRUE(find<Refuse>(actions));
    EXPECT_EQ(find<Refuse>(actions)->status, 504);
    EXPECT_EQ(find<Cancel>(actions)->attempt, sent->attempt);
}

TEST(EndingTests, theCallersDeadlineShortensTheTimeout)
{
    RouterHarness harness;
    auto request = harness.request(NoticePath);
    request.deadline = std::chrono::milliseconds(700);
    const auto sent = find<Send>(harness.apply(request));
    EXPECT_EQ(sent->remaining, std::chrono::milliseconds(700));
    EXPECT_TRUE(find<Refuse>(harness.advance(std::chrono::milliseconds(720))));
}

/// Guards against a caller that waits until its own timeout while all servers are gone. The request must be refused early, as not run
/// and with a retry delay.
TEST(EndingTests, aRequestWithoutAServerIsRefusedWhileItsCallerCanStillRetry)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = {} });
    EXPECT_EQ(harness.arrive(NoticePath).size(), 0U);
    const auto refused = find<Refuse>(harness.advance(std::chrono::milliseconds(2600)));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->retryAfter);
}

TEST(EndingTests, aDisconnectCancelsOnlyRequestsThatMayBeRepeated)
{
    RouterHarness harness;
    auto check = harness.request(CheckPath);
    const auto stream = find<Send>(harness.apply(check));
    EXPECT_EQ(find<Cancel>(harness.apply(CallerGone{ .request = check.request }))->attempt, stream->attempt);

    auto notice = harness.request(NoticePath);
    const auto call = find<Send>(harness.apply(notice));
    EXPECT_EQ(count<Cancel>(harness.apply(CallerGone{ .request = notice.request })), 0U);
    EXPECT_EQ(count<Refuse>(harness.apply(AttemptFailed{ .attempt = call->attempt, .failure = Failure::ConnectFailed })), 1U);
}

/// Guards against a request that runs once, long after its caller has left, since its connection is held up. Where nothing of it ran, the
/// request ends, and the place at its server is free.
TEST(EndingTests, aDisconnectTakesBackARequestThatMayRunOnceAndHasNotBegun)
{
    RouterHarness harness;
    auto notice = harness.request(NoticePath);
    const auto call = find<Send>(harness.apply(notice));
    EXPECT_TRUE(call->isAtMostOnce);
    const auto actions = harness.apply(CallerGone{ .request = notice.request });
    ASSERT_EQ(count<TakeBack>(actions), 1U);
    EXPECT_EQ(find<TakeBack>(actions)->attempt, call->attempt);
    EXPECT_EQ(count<Refuse>(harness.apply(RequestTakenBack{ .request = notice.request })), 0U);
    EXPECT_EQ(harness.apply(AttemptAnswered{ .attempt = call->attempt, .status = 200 }).size(), 0U);
}

TEST(EndingTests, aClosingEntryRefusesNewRequestsAndCompletesRunningOnes)
{
    RouterHarness harness;
    const auto sent = find<Send>(harness.arrive(NoticePath));
    harness.apply(ClosingStarted{});
    EXPECT_EQ(find<Refuse>(harness.arrive(NoticePath))->reason, Reason::Draining);
    EXPECT_TRUE(find<Deliver>(harness.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 200 })));
}
