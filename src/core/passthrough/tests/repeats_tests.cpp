#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

auto fail(World &world, AttemptId attempt, Failure failure) -> Actions
{
    return world.apply(AttemptFailed{ .attempt = attempt, .failure = failure });
}

} // namespace

/// What a caller sees: two deposit notices. A server runs the call and its connection breaks before the answer; nobody
/// can tell whether it ran, so it must not be sent again, and the refusal must not promise that it did not run.
TEST(RepeatTests, aCallThatMayHaveRunOnceIsNotSentAgain)
{
    for (const auto failure : { Failure::BrokenBeforeFirstByte, Failure::BrokenStream, Failure::BadResponse, Failure::WrongAttempt, Failure::ServerError }) {
        World world;
        const auto sent = find<Send>(world.arrive(NoticePath));
        ASSERT_TRUE(sent);
        const auto actions = fail(world, sent->attempt, failure);
        EXPECT_EQ(count<Send>(actions), 0U) << failureName(failure);
        const auto refused = find<Refuse>(actions);
        ASSERT_TRUE(refused) << failureName(failure);
        EXPECT_EQ(refused->status, 502) << failureName(failure);
        EXPECT_FALSE(refused->retryAfter) << failureName(failure);
    }
}

/// What a caller sees: a lost notice, although a server was free. The connection could not be made, or the address belongs
/// to another server now: nothing ran, so the call goes to another server at once.
TEST(RepeatTests, aCallThatReachedNoServerOfItsServiceGoesToAnother)
{
    for (const auto failure : { Failure::ConnectFailed, Failure::WrongServer }) {
        World world;
        const auto first = find<Send>(world.arrive(NoticePath));
        const auto second = find<Send>(fail(world, first->attempt, failure));
        ASSERT_TRUE(second) << failureName(failure);
        EXPECT_NE(second->server, first->server);
        EXPECT_EQ(second->repeatedAfter, failure);
    }
}

/// What an operator sees: no retry in the counters while a server answers every call with an error.
TEST(RepeatTests, aRepeatNamesTheFailureThatCausedIt)
{
    World world;
    const auto first = find<Send>(world.arrive(FetchPath));
    ASSERT_TRUE(first);
    EXPECT_FALSE(first->repeatedAfter);
    const auto second = find<Send>(world.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->repeatedAfter, Failure::ServerError);
}

/// What a caller sees: an answer "503, not run" for a notice that a server refused. That is true and may be repeated.
TEST(RepeatTests, aRefusalOfTheOnlyServerAllowedPromisesThatNothingRan)
{
    World world;
    const auto sent = find<Send>(world.arrive(NoticePath));
    const auto refused = find<Refuse>(fail(world, sent->attempt, Failure::NotStarted));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_TRUE(refused->retryAfter);
}

/// What a caller sees: a promise that is not true. The first server may have run the request; the second refuses it. What
/// the second says does not undo the first.
TEST(RepeatTests, aRefusalAfterAnAttemptThatMayHaveRunPromisesNothing)
{
    World world;
    const auto first = find<Send>(world.arrive(FetchPath));
    const auto second = find<Send>(fail(world, first->attempt, Failure::BrokenBeforeFirstByte));
    ASSERT_TRUE(second);
    const auto refused = find<Refuse>(fail(world, second->attempt, Failure::NotStarted));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 502);
}

TEST(RepeatTests, anIdempotentCallIsRepeatedWithinItsAttempts)
{
    World world;
    const auto first = find<Send>(world.arrive(FetchPath));
    const auto second = find<Send>(world.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }));
    ASSERT_TRUE(second);
    EXPECT_NE(second->server, first->server);
    EXPECT_TRUE(second->isRepeat);
    const auto actions = world.apply(AttemptAnswered{ .attempt = second->attempt, .status = 500 });
    EXPECT_EQ(count<Send>(actions), 0U);
    EXPECT_TRUE(find<Deliver>(actions)) << "the server's own answer is passed on";
}

/// What a caller sees: a stream whose middle is missing or comes twice. The server stops after event 7; the stream goes on
/// at another one, after event 7.
TEST(RepeatTests, aResumableStreamGoesOnAfterTheLastEventRelayed)
{
    World world;
    const auto first = find<Send>(world.arrive(CheckPath));
    world.apply(AttemptStarted{ .attempt = first->attempt, .goesToCaller = true });
    const auto second
        = find<Send>(world.apply(AttemptFailed{ .attempt = first->attempt, .failure = Failure::BrokenStream, .answerBegun = true, .lastEventId = "7" }));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->lastEventId, "7");
    EXPECT_NE(second->server, first->server);
}

/// What a caller sees: an answer that was cut but looks whole. A stream that may not be resumed breaks after its first
/// events: the connection is broken visibly, and nothing is sent again.
TEST(RepeatTests, aStreamThatCannotGoOnIsBrokenVisibly)
{
    World world;
    const auto sent = find<Send>(world.arrive(QuotePath));
    world.apply(AttemptStarted{ .attempt = sent->attempt, .goesToCaller = true });
    const auto actions = world.apply(AttemptFailed{ .attempt = sent->attempt, .failure = Failure::BrokenStream, .answerBegun = true, .lastEventId = "3" });
    EXPECT_EQ(count<Send>(actions), 0U);
    EXPECT_EQ(count<Refuse>(actions), 0U);
    EXPECT_TRUE(find<Break>(actions));
}

/// What a caller sees: its connection closed without a word. A stream's first server answers 500, of which nothing is passed on;
/// the second refuses the request. Nothing of an answer has gone to the caller, so it can and must be told.
TEST(RepeatTests, aStreamWhoseFirstServerAnsweredAnErrorGetsAnAnswerAllTheSame)
{
    World world;
    const auto first = find<Send>(world.arrive(CheckPath));
    world.apply(AttemptStarted{ .attempt = first->attempt });
    const auto second = find<Send>(world.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }));
    ASSERT_TRUE(second);
    const auto actions = fail(world, second->attempt, Failure::NotStarted);
    EXPECT_EQ(count<Break>(actions), 0U);
    ASSERT_TRUE(find<Refuse>(actions));
    EXPECT_EQ(find<Refuse>(actions)->status, 502) << "the first may have run it";
}

/// What operators see: one request after the other takes backend servers down. It is sent again by its caller after each
/// crash; from the third time on no server may get it, here or at an entry that heard of the crashes.
TEST(RepeatTests, aRequestThatBreaksServersIsWithheld)
{
    World world;
    auto killer = world.request(NoticePath);
    std::uint32_t told = 0;
    for (auto i = 0; i < 2; ++i) {
        killer.request = RequestId{ 100U + static_cast<unsigned>(i) };
        const auto sent = find<Send>(world.apply(killer));
        ASSERT_TRUE(sent);
        told = find<TellCrashes>(fail(world, sent->attempt, Failure::BrokenBeforeFirstByte))->crashes;
    }
    killer.request = RequestId{ 200 };
    EXPECT_EQ(find<Refuse>(world.apply(killer))->reason, Reason::Quarantined);
    EXPECT_EQ(find<Refuse>(world.apply(killer))->status, 503);

    World other;
    other.apply(CrashesHeard{ .fingerprint = killer.fingerprint, .crashes = told });
    EXPECT_EQ(find<Refuse>(other.apply(killer))->reason, Reason::Quarantined);
}

/// What callers see: more errors just when servers fail widely. With every answer failing, repeats stay within the budget
/// and the rest of the requests end at once.
TEST(RepeatTests, repeatsStayWithinTheBudget)
{
    World world({ .entry = "entry-1", .failureDomain = "a", .retries = { .ratio = 0.2, .allowance = 10 } });
    std::size_t repeats = 0;
    constexpr auto Requests = 200;
    for (auto i = 0; i < Requests; ++i) {
        const auto first = find<Send>(world.arrive(FetchPath));
        if (!first) {
            continue;
        }
        if (const auto second = find<Send>(world.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }))) {
            repeats += 1;
            world.apply(AttemptAnswered{ .attempt = second->attempt, .status = 500 });
        }
    }
    EXPECT_GT(repeats, 0U);
    EXPECT_LE(repeats, 0.2 * Requests + 10);
}
