#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

/// What a caller sees: no answer at all. Its server stays silent; at the route's timeout it must get a final answer that
/// promises nothing, and the server must be told to stop.
TEST(EndingTests, aRequestGetsItsFinalAnswerAtItsRoutesTimeout)
{
    World world;
    const auto sent = find<Send>(world.arrive(NoticePath));
    EXPECT_EQ(count<Refuse>(world.pass(std::chrono::milliseconds(4980))), 0U);
    const auto actions = world.pass(std::chrono::milliseconds(40));
    ASSERT_TRUE(find<Refuse>(actions));
    EXPECT_EQ(find<Refuse>(actions)->status, 504);
    EXPECT_EQ(find<Cancel>(actions)->attempt, sent->attempt);
}

TEST(EndingTests, theCallersDeadlineShortensTheTimeout)
{
    World world;
    auto request = world.request(NoticePath);
    request.deadline = std::chrono::milliseconds(700);
    const auto sent = find<Send>(world.apply(request));
    EXPECT_EQ(sent->remaining, std::chrono::milliseconds(700));
    EXPECT_TRUE(find<Refuse>(world.pass(std::chrono::milliseconds(720))));
}

/// What a caller sees: it waits in vain. All servers are gone and come back too late; what is given up is answered at once,
/// as not run, with a time to come back.
TEST(EndingTests, aRequestThatFindsNoServerIsGivenUpWhileItsCallerCanStillComeBack)
{
    World world;
    world.apply(ServersListed{ .servers = {} });
    EXPECT_EQ(world.arrive(NoticePath).size(), 0U);
    const auto refused = find<Refuse>(world.pass(std::chrono::milliseconds(2600)));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->retryAfter);
}

TEST(EndingTests, aCallerThatLeavesEndsWhatMayBeRepeatedAndLetsTheRestRunOn)
{
    World world;
    auto check = world.request(CheckPath);
    const auto stream = find<Send>(world.apply(check));
    EXPECT_EQ(find<Cancel>(world.apply(CallerGone{ .request = check.request }))->attempt, stream->attempt);

    auto notice = world.request(NoticePath);
    const auto call = find<Send>(world.apply(notice));
    EXPECT_EQ(count<Cancel>(world.apply(CallerGone{ .request = notice.request })), 0U);
    EXPECT_EQ(count<Refuse>(world.apply(AttemptFailed{ .attempt = call->attempt, .failure = Failure::ConnectFailed })), 1U);
}

TEST(EndingTests, aClosingEntryRefusesWhatArrivesAndEndsTheRest)
{
    World world;
    const auto sent = find<Send>(world.arrive(NoticePath));
    world.apply(ClosingStarted{});
    EXPECT_EQ(find<Refuse>(world.arrive(NoticePath))->reason, Reason::Draining);
    EXPECT_TRUE(find<Deliver>(world.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 200 })));
}
