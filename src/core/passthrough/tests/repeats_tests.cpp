#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

auto fail(RouterHarness &harness, AttemptId attempt, Failure failure) -> Actions
{
    return harness.apply(AttemptFailed{ .attempt = attempt, .failure = failure });
}

} // namespace

/// Guards against executing a non-idempotent request twice. The connection breaks before the response, so it is unknown whether the
/// request ran. It must not be sent again, and the refusal must not state that it did not run.
TEST(RepeatTests, anAtMostOnceRequestThatMayHaveRunIsNotRetried)
{
    for (const auto failure : { Failure::BrokenBeforeFirstByte, Failure::BrokenStream, Failure::BadResponse, Failure::WrongAttempt, Failure::ServerError }) {
        RouterHarness harness;
        const auto sent = find<Send>(harness.arrive(NoticePath));
        ASSERT_TRUE(sent);
        const auto actions = fail(harness, sent->attempt, failure);
        EXPECT_EQ(count<Send>(actions), 0U) << failureName(failure);
        const auto refused = find<Refuse>(actions);
        ASSERT_TRUE(refused) << failureName(failure);
        EXPECT_EQ(refused->status, 502) << failureName(failure);
        EXPECT_FALSE(refused->retryAfter) << failureName(failure);
    }
}

/// Guards against a lost request although a server was free. The connection could not be established, or the address now belongs to a
/// different server: nothing ran, so the request must go to another server at once.
TEST(RepeatTests, aRequestThatReachedNoServerOfItsServiceIsRetried)
{
    for (const auto failure : { Failure::ConnectFailed, Failure::WrongServer }) {
        RouterHarness harness;
        const auto first = find<Send>(harness.arrive(NoticePath));
        const auto second = find<Send>(fail(harness, first->attempt, failure));
        ASSERT_TRUE(second) << failureName(failure);
        EXPECT_NE(second->server, first->server);
        EXPECT_EQ(second->repeatedAfter, failure);
    }
}

/// Guards against retries that are missing in the metrics while a server answers every request with an error.
TEST(RepeatTests, aRetryNamesTheFailureThatCausedIt)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(FetchPath));
    ASSERT_TRUE(first);
    EXPECT_FALSE(first->repeatedAfter);
    const auto second = find<Send>(harness.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->repeatedAfter, Failure::ServerError);
}

/// If the only allowed server refused the request, the response must state that nothing ran, and the caller may retry.
TEST(RepeatTests, aRefusalByTheOnlyAllowedServerStatesThatNothingRan)
{
    RouterHarness harness;
    const auto sent = find<Send>(harness.arrive(NoticePath));
    const auto refused = find<Refuse>(fail(harness, sent->attempt, Failure::NotStarted));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_TRUE(refused->retryAfter);
}

/// Guards against a false statement that a request did not run. The first server may have run it, and the second refuses it; the refusal
/// of the second says nothing about the first.
TEST(RepeatTests, aRefusalAfterAnAttemptThatMayHaveRunDoesNotStateThatNothingRan)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(FetchPath));
    const auto second = find<Send>(fail(harness, first->attempt, Failure::BrokenBeforeFirstByte));
    ASSERT_TRUE(second);
    const auto refused = find<Refuse>(fail(harness, second->attempt, Failure::NotStarted));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 502);
}

TEST(RepeatTests, anIdempotentRequestIsRetriedWithinItsAttempts)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(FetchPath));
    const auto second = find<Send>(harness.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }));
    ASSERT_TRUE(second);
    EXPECT_NE(second->server, first->server);
    EXPECT_TRUE(second->isRepeat);
    const auto actions = harness.apply(AttemptAnswered{ .attempt = second->attempt, .status = 500 });
    EXPECT_EQ(count<Send>(actions), 0U);
    EXPECT_TRUE(find<Deliver>(actions)) << "the server's own answer is passed on";
}

/// Guards against missing or duplicate events in a resumed stream. The server fails after event 7; the stream must continue on another
/// server after event 7.
TEST(RepeatTests, aResumableStreamContinuesAfterTheLastForwardedEvent)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(CheckPath));
    harness.apply(AttemptStarted{ .attempt = first->attempt, .isForwarded = true });
    const auto second
        = find<Send>(harness.apply(AttemptFailed{ .attempt = first->attempt, .failure = Failure::BrokenStream, .answerBegun = true, .lastEventId = "7" }));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->lastEventId, "7");
    EXPECT_NE(second->server, first->server);
}

/// Guards against a truncated response that looks complete. A stream that can't be resumed breaks after its first events; the caller's
/// connection must be aborted, and nothing may be sent again.
TEST(RepeatTests, aStreamThatCannotBeResumedIsAborted)
{
    RouterHarness harness;
    const auto sent = find<Send>(harness.arrive(QuotePath));
    harness.apply(AttemptStarted{ .attempt = sent->attempt, .isForwarded = true });
    const auto actions = harness.apply(AttemptFailed{ .attempt = sent->attempt, .failure = Failure::BrokenStream, .answerBegun = true, .lastEventId = "3" });
    EXPECT_EQ(count<Send>(actions), 0U);
    EXPECT_EQ(count<Refuse>(actions), 0U);
    EXPECT_TRUE(find<AbortAnswer>(actions));
}

/// Guards against a connection that is closed without a response. The first server of a stream answers 500, which is not forwarded, and
/// the second refuses the request. Nothing has been sent to the caller, so it must get a status.
TEST(RepeatTests, aStreamOfWhichNothingWasForwardedIsRefusedWithAStatus)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(CheckPath));
    harness.apply(AttemptStarted{ .attempt = first->attempt });
    const auto second = find<Send>(harness.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }));
    ASSERT_TRUE(second);
    const auto actions = fail(harness, second->attempt, Failure::NotStarted);
    EXPECT_EQ(count<AbortAnswer>(actions), 0U);
    ASSERT_TRUE(find<Refuse>(actions));
    EXPECT_EQ(find<Refuse>(actions)->status, 502) << "the first may have run it";
}

/// Guards against a request that takes down one backend server after the other because its caller retries it after each crash. From the
/// third time on it must not be sent, neither by this entry nor by an entry that received the crash report.
TEST(RepeatTests, aRequestThatCrashesServersIsQuarantined)
{
    RouterHarness harness;
    auto crashingRequest = harness.request(NoticePath);
    std::vector<CrashIncident> reported;
    for (auto i = 0; i < 2; ++i) {
        crashingRequest.request = RequestId{ 100U + static_cast<unsigned>(i) };
        const auto sent = find<Send>(harness.apply(crashingRequest));
        ASSERT_TRUE(sent);
        reported = find<ReportCrashes>(fail(harness, sent->attempt, Failure::BrokenBeforeFirstByte))->incidents;
    }
    crashingRequest.request = RequestId{ 200 };
    EXPECT_EQ(find<Refuse>(harness.apply(crashingRequest))->reason, Reason::Quarantined);
    EXPECT_EQ(find<Refuse>(harness.apply(crashingRequest))->status, 503);

    RouterHarness other;
    other.apply(CrashesReported{ .suspect = requestSuspect(crashingRequest.fingerprint), .incidents = reported });
    EXPECT_EQ(find<Refuse>(other.apply(crashingRequest))->reason, Reason::Quarantined);
}

/// Guards against retries that overload the servers during a widespread failure. If every response fails, the retries must stay within
/// the budget and the other requests must end at once.
TEST(RepeatTests, retriesStayWithinTheBudget)
{
    RouterHarness harness({ .entry = "entry-1", .failureDomain = "a", .retries = { .ratio = 0.2, .allowance = 10 } });
    std::size_t retries = 0;
    constexpr auto Requests = 200;
    for (auto i = 0; i < Requests; ++i) {
        const auto first = find<Send>(harness.arrive(FetchPath));
        if (!first) {
            continue;
        }
        if (const auto second = find<Send>(harness.apply(AttemptAnswered{ .attempt = first->attempt, .status = 500 }))) {
            retries += 1;
            harness.apply(AttemptAnswered{ .attempt = second->attempt, .status = 500 });
        }
    }
    EXPECT_GT(retries, 0U);
    EXPECT_LE(retries, 0.2 * Requests + 10);
}
