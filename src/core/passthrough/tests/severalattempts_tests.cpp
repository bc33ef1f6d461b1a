#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr Duration SilenceTimeout = std::chrono::seconds(1);
constexpr Duration SilenceReportInterval = std::chrono::milliseconds(100);

/// A router with two engines and two other entries, which considers the engines as cut off once both are silent.
struct CutOffEntry {
    CutOffEntry()
    {
        harness.apply(EntriesCounted{ .entries = 3, .names = { "entry-1", "entry-2", "entry-3" }, .otherAddresses = { "127.0.0.1:2", "127.0.0.1:3" } });
    }

    auto open(const std::string &path) -> Send
    {
        return find<Send>(harness.arrive(path)).value();
    }
    auto reportSilence(AttemptId attempt) -> Actions
    {
        return harness.apply(AttemptSilent{ .attempt = attempt, .timeout = Failure::FirstTokenTimeout, .silentFor = SilenceTimeout });
    }
    /// Leaves a stream silent on each engine until the entry counts as cut off.
    /// \return the first stream, and its forwarding
    auto forwardSilentStream() -> std::pair<Send, Forward>
    {
        const auto first = open(CheckPath);
        auto other = first;
        while (other.server == first.server) {
            other = open(QuotePath);
        }
        harness.advance(SilenceTimeout);
        onOtherEngine = other.attempt;
        reportSilence(onOtherEngine);
        for (auto reports = 0; reports < 10; ++reports) {
            if (const auto forwarded = find<Forward>(reportSilence(first.attempt))) {
                return { first, *forwarded };
            }
            harness.advance(SilenceReportInterval);
        }
        return { first, {} };
    }

    RouterHarness harness;
    AttemptId onOtherEngine{}; ///< attempt of the stream on the other engine
};

auto sendsAgain(const Actions &actions) -> bool
{
    return count<Send>(actions) + count<Forward>(actions) > 0;
}

} // namespace

/// Guards against more attempts than the route allows: the other entry may have used the last one before its connection broke.
TEST(SeveralAttemptsTests, aRequestThatMayHaveRunAtAnotherEntryIsNotSentAgain)
{
    CutOffEntry entry;
    const auto [first, forwarded] = entry.forwardSilentStream();
    ASSERT_FALSE(forwarded.peer.empty());
    EXPECT_FALSE(sendsAgain(entry.harness.apply(AttemptFailed{ .attempt = forwarded.attempt, .failure = Failure::BrokenBeforeFirstByte })));
    EXPECT_FALSE(sendsAgain(entry.reportSilence(first.attempt)));
}

/// The same once the first server fails as well.
TEST(SeveralAttemptsTests, aRequestThatMayHaveRunAtAnotherEntryIsNotSentAgainOnceItsServerFails)
{
    CutOffEntry entry;
    const auto [first, forwarded] = entry.forwardSilentStream();
    ASSERT_FALSE(forwarded.peer.empty());
    entry.harness.apply(AttemptFailed{ .attempt = forwarded.attempt, .failure = Failure::BrokenBeforeFirstByte });
    const auto actions = entry.harness.apply(AttemptFailed{ .attempt = first.attempt, .failure = Failure::BrokenBeforeFirstByte });
    EXPECT_FALSE(sendsAgain(actions));
    EXPECT_FALSE(sendsAgain(entry.harness.advance(SilenceTimeout)));
}

/// The same if the other entry states that the request may have run.
TEST(SeveralAttemptsTests, aRequestThatAnotherEntryRefusesAsMaybeRunIsNotSentAgain)
{
    CutOffEntry entry;
    const auto [first, forwarded] = entry.forwardSilentStream();
    ASSERT_FALSE(forwarded.peer.empty());
    entry.harness.apply(ForwardRefused{ .attempt = forwarded.attempt, .reason = Reason::BackendFailed, .outcome = Outcome::MayHaveRun, .status = 502 });
    EXPECT_FALSE(sendsAgain(entry.reportSilence(first.attempt)));
}

/// The same if the first server goes on while the other entry has the request, and falls silent again.
TEST(SeveralAttemptsTests, aRequestThatAnotherEntryHadIsNotSentAgainInTheNextSilence)
{
    CutOffEntry entry;
    const auto [first, forwarded] = entry.forwardSilentStream();
    ASSERT_FALSE(forwarded.peer.empty());
    EXPECT_EQ(find<Cancel>(entry.harness.apply(AttemptStarted{ .attempt = first.attempt, .isForwarded = true }))->attempt, forwarded.attempt);
    entry.harness.advance(SilenceTimeout);
    entry.harness.apply(AttemptStarted{ .attempt = entry.onOtherEngine, .isForwarded = true }); // a server that could take the request
    EXPECT_FALSE(sendsAgain(entry.reportSilence(first.attempt)));
}

/// Guards against a sound server's response that is given up for an error of the server that another entry asked.
TEST(SeveralAttemptsTests, anErrorThatAnotherEntryPassesOnLeavesTheRequestToItsServer)
{
    CutOffEntry entry;
    const auto [first, forwarded] = entry.forwardSilentStream();
    ASSERT_FALSE(forwarded.peer.empty());
    const auto actions = entry.harness.apply(AttemptAnswered{ .attempt = forwarded.attempt, .status = 500 });
    EXPECT_EQ(count<Cancel>(actions), 0U);
    EXPECT_FALSE(find<Deliver>(actions));
    EXPECT_TRUE(find<Complete>(entry.harness.apply(AttemptFinished{ .attempt = first.attempt })));
}

/// Guards against a stream that is broken off although a sound server of its version is there: a server stays excluded for the request
/// after it was silent once.
TEST(SeveralAttemptsTests, aStreamReturnsToAServerThatWasSilentOnce)
{
    RouterHarness harness;
    auto configuration = makeConfiguration(2);
    configuration.routes[1].attempts = 3;
    harness.apply(ConfigurationAdopted{ configuration });
    const auto first = find<Send>(harness.arrive(CheckPath)).value();
    harness.apply(AttemptStarted{ .attempt = first.attempt, .isForwarded = true });
    // keeps a connection to the first server on which it goes on
    auto beside = find<Send>(harness.arrive(QuotePath)).value();
    while (beside.server != first.server) {
        beside = find<Send>(harness.arrive(QuotePath)).value();
    }
    harness.advance(SilenceTimeout);
    const auto second = find<Send>(
        harness.apply(AttemptSilent{ .attempt = first.attempt, .timeout = Failure::ProgressTimeout, .silentFor = SilenceTimeout, .lastEventId = "1" }));
    ASSERT_TRUE(second);
    harness.apply(AttemptStarted{ .attempt = second->attempt, .isForwarded = true });
    harness.apply(AttemptStarted{ .attempt = beside.attempt, .isForwarded = true });
    auto actions = harness.apply(AttemptFailed{ .attempt = second->attempt, .failure = Failure::BrokenStream, .answerBegun = true, .lastEventId = "2" });
    EXPECT_FALSE(find<AbortAnswer>(actions));
    const auto others = harness.arrive(CheckPath); // dispatches the queue as well
    EXPECT_EQ(find<Send>(others).value().server, first.server) << "the first server takes other requests";
    const auto later = harness.advance(SilenceTimeout);
    actions.insert(actions.end(), others.begin(), others.end());
    actions.insert(actions.end(), later.begin(), later.end());
    std::optional<Send> third;
    for (const auto &action : actions) {
        const auto *send = std::get_if<Send>(&action);
        third = send != nullptr && send->request == first.request ? std::optional(*send) : third;
    }
    ASSERT_TRUE(third);
    EXPECT_EQ(third->server, first.server);
}

/// Guards against a wrong name in logs and refusals: the server of a replacement that failed is named for what its first server did.
TEST(SeveralAttemptsTests, theServerThatBrokeTheResponseIsNamed)
{
    RouterHarness harness;
    const auto first = find<Send>(harness.arrive(CheckPath)).value();
    harness.apply(AttemptStarted{ .attempt = first.attempt, .isForwarded = true });
    harness.advance(SilenceTimeout);
    const auto second = find<Send>(
        harness.apply(AttemptSilent{ .attempt = first.attempt, .timeout = Failure::ProgressTimeout, .silentFor = SilenceTimeout, .lastEventId = "1" }));
    ASSERT_TRUE(second);
    harness.apply(AttemptFailed{ .attempt = second->attempt, .failure = Failure::NotStarted, .answerBegun = true });
    const auto actions = harness.apply(AttemptFailed{ .attempt = first.attempt, .failure = Failure::BrokenStream, .answerBegun = true, .lastEventId = "1" });
    ASSERT_TRUE(find<AbortAnswer>(actions));
    EXPECT_EQ(find<AbortAnswer>(actions)->peer, first.server);
}

/// Guards against an attempt of which nothing is known any more: the count of open attempts does not return to zero.
TEST(SeveralAttemptsTests, noAttemptRemainsAfterAnyOrderOfEnds)
{
    enum class End { FirstFinishes, SecondFinishes, FirstFails, SecondFails, CallerLeaves, DeadlinePasses, ServersVanish };
    using enum End;
    const std::vector<std::vector<End>> orders{
        { FirstFinishes },
        { SecondFinishes },
        { FirstFails, SecondFinishes },
        { SecondFails, FirstFinishes },
        { FirstFails, SecondFails },
        { SecondFails, FirstFails },
        { CallerLeaves },
        { FirstFails, CallerLeaves },
        { SecondFails, CallerLeaves },
        { DeadlinePasses },
        { FirstFails, DeadlinePasses },
        { ServersVanish, FirstFinishes },
        { ServersVanish, FirstFails, SecondFails },
        { ServersVanish, DeadlinePasses },
        { FirstFinishes, SecondFinishes, FirstFails, CallerLeaves },
    };
    for (const auto &order : orders) {
        RouterHarness harness;
        const auto arrived = harness.request(CheckPath);
        const auto first = find<Send>(harness.apply(arrived)).value();
        harness.apply(AttemptStarted{ .attempt = first.attempt, .isForwarded = true });
        harness.advance(SilenceTimeout);
        const auto second = find<Send>(
            harness.apply(AttemptSilent{ .attempt = first.attempt, .timeout = Failure::ProgressTimeout, .silentFor = SilenceTimeout, .lastEventId = "1" }));
        ASSERT_TRUE(second);
        std::size_t ends = 0;
        auto callerLeft = false;
        const auto fail = [&](AttemptId attempt) {
            return harness.apply(AttemptFailed{ .attempt = attempt, .failure = Failure::BrokenStream, .answerBegun = true, .lastEventId = "1" });
        };
        for (const auto end : order) {
            Actions actions;
            switch (end) {
            case FirstFinishes:
                actions = harness.apply(AttemptFinished{ .attempt = first.attempt });
                break;
            case SecondFinishes:
                actions = harness.apply(AttemptFinished{ .attempt = second->attempt });
                break;
            case FirstFails:
                actions = fail(first.attempt);
                break;
            case SecondFails:
                actions = fail(second->attempt);
                break;
            case CallerLeaves:
                callerLeft = true;
                actions = harness.apply(CallerGone{ .request = arrived.request });
                break;
            case DeadlinePasses:
                actions = harness.advance(std::chrono::seconds(5));
                break;
            case ServersVanish:
                actions = harness.apply(ServersListed{ .servers = {}, .asOf = harness.now() });
                break;
            }
            ends += count<Complete>(actions) + count<AbortAnswer>(actions) + count<Refuse>(actions) + count<Deliver>(actions);
            EXPECT_FALSE(callerLeft && count<Send>(actions) > 0);
        }
        EXPECT_EQ(statusOf(harness.router(), harness.now()).inFlight, 0U);
        EXPECT_EQ(loadOfService(harness.router(), "engines", harness.now()).requests, 0U);
        EXPECT_EQ(loadOfService(harness.router(), "engines", harness.now()).unreadTokens, 0U);
        EXPECT_LE(ends, 1U);
        EXPECT_TRUE(ends == 1 || callerLeft);
    }
}

/// Guards against a request that another entry works on after its own server went on.
TEST(SeveralAttemptsTests, aForwardingEndsWhenTheFirstServerGoesOn)
{
    CutOffEntry entry;
    const auto [first, forwarded] = entry.forwardSilentStream();
    ASSERT_FALSE(forwarded.peer.empty());
    const auto actions = entry.harness.apply(AttemptStarted{ .attempt = first.attempt, .isForwarded = true });
    ASSERT_TRUE(find<Cancel>(actions));
    EXPECT_EQ(find<Cancel>(actions)->attempt, forwarded.attempt);
    EXPECT_TRUE(entry.harness.apply(AttemptFailed{ .attempt = forwarded.attempt, .failure = Failure::BrokenStream }).empty());
    EXPECT_TRUE(find<Complete>(entry.harness.apply(AttemptFinished{ .attempt = first.attempt })));
}

/// Guards against callers that are refused because of one call that hangs at a sound server: each further report of the same silence
/// suspends the server again, although it has answered other calls since.
TEST(SeveralAttemptsTests, aServerThatAnswersOtherCallsTakesRequestsWhileOneCallIsSilent)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) }, .asOf = harness.now() });
    const auto hanging = find<Send>(harness.arrive(FetchPath)).value();
    const auto other = find<Send>(harness.arrive(FetchPath)).value();
    const auto reportSilence = [&](Duration silentFor) {
        harness.apply(AttemptSilent{ .attempt = hanging.attempt, .timeout = Failure::FirstTokenTimeout, .silentFor = silentFor });
    };
    harness.advance(SilenceTimeout);
    reportSilence(SilenceTimeout);
    harness.advance(SilenceReportInterval / 2);
    ASSERT_TRUE(find<Deliver>(harness.apply(AttemptAnswered{ .attempt = other.attempt, .status = 200 })));
    EXPECT_TRUE(find<Send>(harness.arrive(FetchPath))) << "before the next report";
    harness.advance(SilenceReportInterval / 2);
    reportSilence(SilenceTimeout + SilenceReportInterval);
    EXPECT_TRUE(find<Send>(harness.arrive(FetchPath))) << "after the next report";
}

/// The same for as long as the call hangs: without other calls, nothing shows that the server is sound.
TEST(SeveralAttemptsTests, aServerIsTriedAgainWhileOneCallIsSilent)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = { makeServer("p1", "portal", 6) }, .asOf = harness.now() });
    const auto hanging = find<Send>(harness.arrive(FetchPath)).value();
    auto silentFor = SilenceTimeout;
    harness.advance(silentFor);
    harness.apply(AttemptSilent{ .attempt = hanging.attempt, .timeout = Failure::FirstTokenTimeout, .silentFor = silentFor });
    auto isTried = false;
    for (auto reports = 0; reports < 35 && !isTried; ++reports) {
        silentFor += SilenceReportInterval;
        isTried = count<Send>(harness.advance(SilenceReportInterval)) > 0 || count<Send>(harness.arrive(FetchPath)) > 0;
        harness.apply(AttemptSilent{ .attempt = hanging.attempt, .timeout = Failure::FirstTokenTimeout, .silentFor = silentFor });
    }
    EXPECT_TRUE(isTried);
}

/// Guards against callers that wait although another server is idle: of the streams of a server that is gone only the first is sent to it,
/// since a server that has just got a request has not responded yet.
TEST(SeveralAttemptsTests, allStreamsOfAServerThatIsGoneAreSentToAnIdleOne)
{
    RouterHarness harness;
    const auto gone = makeServer("e1", "engines", 32);
    harness.apply(ServersListed{ .servers = { gone }, .asOf = harness.now() });
    std::vector<Send> streams;
    for (auto requests = 0; requests < 3; ++requests) {
        streams.push_back(find<Send>(harness.arrive(CheckPath)).value());
        harness.apply(AttemptStarted{ .attempt = streams.back().attempt, .isForwarded = true });
    }
    harness.apply(ServersListed{ .servers = { gone, makeServer("e2", "engines", 32) }, .asOf = harness.now() });
    harness.advance(SilenceTimeout);
    for (const auto &stream : streams) {
        const auto actions
            = harness.apply(AttemptSilent{ .attempt = stream.attempt, .timeout = Failure::ProgressTimeout, .silentFor = SilenceTimeout, .lastEventId = "1" });
        EXPECT_TRUE(find<Send>(actions)) << keptBecauseName(find<SilenceJudged>(actions)->keptBecause.value_or(KeptBecause::AttemptsUsed));
    }
    EXPECT_EQ(find<Send>(harness.arrive(CheckPath)).value().server, "e2") << "a new request is sent to it";
}

/// Guards against a caller that is told that nothing ran: one of its two servers had the request, the other one rejected it.
TEST(SeveralAttemptsTests, aRequestThatOneOfItsServersRanIsNotRefusedAsNotRun)
{
    for (const auto firstFailsLast : { true, false }) {
        RouterHarness harness;
        const auto first = find<Send>(harness.arrive(FetchPath)).value();
        harness.advance(SilenceTimeout);
        const auto second
            = find<Send>(harness.apply(AttemptSilent{ .attempt = first.attempt, .timeout = Failure::FirstTokenTimeout, .silentFor = SilenceTimeout }));
        ASSERT_TRUE(second);
        const AttemptFailed ran{ .attempt = first.attempt, .failure = Failure::BrokenBeforeFirstByte };
        const AttemptFailed rejected{ .attempt = second->attempt, .failure = Failure::NotStarted };
        harness.apply(firstFailsLast ? rejected : ran);
        auto actions = harness.apply(firstFailsLast ? ran : rejected);
        ASSERT_TRUE(find<Refuse>(actions));
        EXPECT_EQ(find<Refuse>(actions)->outcome, Outcome::MayHaveRun);
    }
}
