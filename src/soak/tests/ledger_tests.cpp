#include "soak/ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::soak;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));

auto at(int milliseconds) -> TimePoint
{
    return Start + std::chrono::milliseconds(milliseconds);
}

auto makeSent(const std::string &id) -> Sent
{
    return { .id = id,
             .entry = "0",
             .incarnation = 1,
             .method = "POST",
             .target = "/notice/" + id,
             .body = "body of " + id,
             .key = "key-1",
             .workspace = "roofers",
             .expectedAnswer = "answer to " + id,
             .at = at(0) };
}

auto makeRun(const Sent &sent, const std::string &server = "i-1") -> adapter::standins::Execution
{
    return { .id = sent.id, .server = server, .method = sent.method, .target = sent.target, .body = sent.body, .workspace = sent.workspace, .at = at(10) };
}

auto makeSuccess(const Sent &sent) -> Ended
{
    return { .id = sent.id, .status = 200, .signature = "i-1." + sent.id, .body = sent.expectedAnswer, .at = at(50) };
}

auto breaks(const Ledger &ledger, Promise promise) -> bool
{
    const auto violations = ledger.check(TimeBounds{});
    return std::any_of(violations.begin(), violations.end(), [promise](const Violation &each) { return each.promise == promise; });
}

/// A request that was sent, ran once and was answered.
struct Served {
    Served()
    {
        ledger.sent(sent);
        ledger.ran(makeRun(sent));
        ledger.ended(makeSuccess(sent));
    }

    Sent sent = makeSent("a");
    Ledger ledger;
};

} // namespace

TEST(LedgerTests, aServedRequestBreaksNothing)
{
    const Served served;
    EXPECT_TRUE(served.ledger.check(TimeBounds{}).empty());
    EXPECT_EQ(served.ledger.totals().served, 1U);
}

TEST(LedgerTests, aSecondRunIsSeen)
{
    Served served;
    served.ledger.ran(makeRun(served.sent, "i-2"));
    EXPECT_TRUE(breaks(served.ledger, Promise::Once));
}

TEST(LedgerTests, aRunThatNobodyAskedForIsSeen)
{
    Served served;
    served.ledger.ran(makeRun(makeSent("b")));
    EXPECT_TRUE(breaks(served.ledger, Promise::Asked));
}

TEST(LedgerTests, aChangedBodyAnotherWorkspaceAndAKeyPassedOnAreSeen)
{
    for (const auto &change : std::vector<std::function<void(adapter::standins::Execution &)>>{
             [](auto &run) { run.body += "x"; }, [](auto &run) { run.workspace = "others"; }, [](auto &run) { run.hasKey = true; } }) {
        Ledger ledger;
        const auto sent = makeSent("a");
        ledger.sent(sent);
        auto run = makeRun(sent);
        change(run);
        ledger.ran(run);
        EXPECT_TRUE(breaks(ledger, Promise::Asked));
    }
}

TEST(LedgerTests, aStreamThatGoesOnAtAnotherVersionIsSeen)
{
    for (const auto *version : { "v1", "v2" }) {
        Ledger ledger;
        ledger.serverStarts("i-1", "v1");
        ledger.serverStarts("i-2", "v2");
        const auto first = makeSent("a");
        ledger.sent(first);
        ledger.ran(makeRun(first, "i-1"));
        auto again = makeSent("b");
        again.resumes = "a";
        again.answersByVersion = { { "v1", "rest of v1" }, { "v2", "rest of v2" } };
        ledger.sent(again);
        ledger.ran(makeRun(again, version == std::string("v1") ? "i-1" : "i-2"));
        auto end = makeSuccess(again);
        end.body = again.answersByVersion.at(version);
        ledger.ended(end);
        EXPECT_EQ(breaks(ledger, Promise::VersionKept), version == std::string("v2"));
    }
}

TEST(LedgerTests, aRefusalOfWhatRanIsSeenAlsoWhenItRunsLater)
{
    Ledger ledger;
    const auto sent = makeSent("a");
    ledger.sent(sent);
    ledger.ended({ .id = "a", .status = 503, .at = at(20) });
    EXPECT_FALSE(breaks(ledger, Promise::TrueRefusal));
    ledger.ran(makeRun(sent));
    EXPECT_TRUE(breaks(ledger, Promise::TrueRefusal));
}

TEST(LedgerTests, aForeignACutAndAnUnsignedAnswerAreSeen)
{
    for (const auto &[signature, body] : { std::pair("i-1.a", "answer to b"), std::pair("i-1.a", "answer"), std::pair("", "answer to a") }) {
        Ledger ledger;
        const auto sent = makeSent("a");
        ledger.sent(sent);
        ledger.ran(makeRun(sent));
        ledger.ended({ .id = "a", .status = 200, .signature = signature, .body = body, .at = at(50) });
        EXPECT_TRUE(breaks(ledger, Promise::OwnAnswer)) << signature << " " << body;
    }
}

TEST(LedgerTests, anAnswerLostAroundPlannedWorkIsSeenAndOneLostInAFailureIsNot)
{
    for (const auto isDisturbed : { false, true }) {
        Ledger ledger;
        const auto sent = makeSent("a");
        ledger.sent(sent);
        ledger.ran(makeRun(sent));
        ledger.ended({ .id = "a", .cause = "reset", .at = at(50) });
        if (isDisturbed) {
            ledger.disturbed(at(30), at(40));
        }
        EXPECT_EQ(breaks(ledger, Promise::NothingLost), !isDisturbed);
    }
}

/// Guards against a check that misses a response which is given up for a silence, or that takes other ends for one.
TEST(LedgerTests, aRequestGivenUpForASilenceIsSeenAlsoDuringOtherFaults)
{
    struct Case {
        const char *name;
        std::function<void(Ledger &)> happens;
        int status = 0;
        int endedAt = 1100;
        bool isSeen = true;
    };
    const auto silence = [](Ledger &ledger) { ledger.serverSilent("i-1", at(50), at(2000)); };
    const auto with = [&silence](const std::string &name) {
        return [silence, name](Ledger &ledger) {
            silence(ledger);
            ledger.broken(name, at(500), at(600));
        };
    };
    for (const auto &each : std::vector<Case>{
             { .name = "broken off", .happens = silence },
             { .name = "502", .happens = silence, .status = 502 },
             { .name = "refused", .happens = silence, .status = 503, .isSeen = false },
             { .name = "past its deadline", .happens = silence, .endedAt = 5000, .isSeen = false },
             { .name = "no silence", .happens = [](Ledger &) {}, .isSeen = false },
             { .name = "another server silent", .happens = [](Ledger &ledger) { ledger.serverSilent("i-2", at(50), at(2000)); }, .isSeen = false },
             { .name = "another server crashed", .happens = with("i-2") },
             { .name = "server crashed", .happens = with("i-1"), .isSeen = false },
             { .name = "way to another entry cut", .happens = with("1") },
             { .name = "way to its entry cut", .happens = with("0"), .isSeen = false },
             { .name = "an entry killed", .happens = with(Ledger::AnyEntry), .isSeen = false },
         }) {
        Ledger ledger;
        ledger.disturbed(at(0), at(1000));
        const auto sent = makeSent("a");
        ledger.sent(sent);
        ledger.ran(makeRun(sent));
        ledger.ended({ .id = "a", .status = each.status, .cause = "reset", .at = at(each.endedAt) });
        each.happens(ledger);
        EXPECT_EQ(breaks(ledger, Promise::SilenceBorne), each.isSeen) << each.name;
    }
}

/// Guards against a check that counts a request which met its deadline during silences as lost, or that forgives an earlier end.
TEST(LedgerTests, onlyADeadlineExcusesAnAnswerLostInASilenceAroundPlannedWork)
{
    for (const auto &[endedAt, isSilent, isSeen] : { std::tuple(4400, true, true), std::tuple(5000, true, false), std::tuple(5000, false, true) }) {
        Ledger ledger;
        const auto sent = makeSent("a");
        ledger.sent(sent);
        ledger.ran(makeRun(sent));
        ledger.ended({ .id = "a", .cause = "reset", .at = at(endedAt) });
        if (isSilent) {
            ledger.serverSilent("i-1", at(50), at(2000));
        }
        EXPECT_EQ(breaks(ledger, Promise::NothingLost), isSeen) << endedAt;
    }
}

TEST(LedgerTests, aWithdrawnKeyMayRunUntilTheBoundAndNotLater)
{
    for (const auto withdrawn : { -4900, -5100 }) {
        Served served;
        served.ledger.keyWithdrawn("key-1", at(withdrawn));
        EXPECT_EQ(breaks(served.ledger, Promise::KeyWithdrawn), withdrawn < -5000);
    }
}

TEST(LedgerTests, whatALimitedServerGetsBeyondTheBoundIsSeenUnlessItsEntryWasHarmed)
{
    constexpr double PerSecond = 1; // 11 requests within 4 s are allowed
    for (const auto &[requests, isHarmed, isSeen] : { std::tuple(11, false, false), std::tuple(12, false, true), std::tuple(12, true, false) }) {
        Ledger ledger;
        ledger.limitBegins("i-1", PerSecond, at(-2000));
        const auto serve = [&ledger](const std::string &id, TimePoint runAt) {
            const auto sent = makeSent(id);
            ledger.sent(sent);
            auto run = makeRun(sent);
            run.at = runAt;
            ledger.ran(run);
            auto end = makeSuccess(sent);
            end.at = runAt + std::chrono::milliseconds(30);
            ledger.ended(end);
        };
        serve("first", at(-1500));
        for (auto i = 0; i < requests; ++i) {
            serve("more-" + std::to_string(i), at(100 * i));
        }
        if (isHarmed) {
            ledger.harmed("0", at(-500), at(-400));
        }
        EXPECT_EQ(breaks(ledger, Promise::LimitKept), isSeen) << requests << (isHarmed ? " harmed" : "");
    }
}

TEST(LedgerTests, moreThanTwoRequestsDuringABackoffAreSeenUnlessTheEntryWasHarmed)
{
    constexpr Duration Backoff = std::chrono::seconds(3);
    for (const auto &[requests, isHarmed, isSeen] : { std::tuple(2, false, false), std::tuple(3, false, true), std::tuple(3, true, false) }) {
        Ledger ledger;
        const auto rejected = makeSent("rejected");
        ledger.sent(rejected);
        ledger.rejected({ .id = rejected.id, .server = "i-1", .pause = Backoff, .at = at(0) });
        for (const auto milliseconds : { 100, 400, 3100 }) { // on their way, or after the end
            const auto sent = makeSent("allowed-" + std::to_string(milliseconds));
            ledger.sent(sent);
            ledger.rejected({ .id = sent.id, .server = "i-1", .pause = {}, .at = at(milliseconds) });
        }
        for (auto i = 0; i < requests; ++i) {
            const auto sent = makeSent("more-" + std::to_string(i));
            ledger.sent(sent);
            ledger.rejected({ .id = sent.id, .server = "i-1", .pause = {}, .at = at(600 + i) });
        }
        if (isHarmed) {
            ledger.harmed("0", at(500), at(600));
        }
        EXPECT_EQ(breaks(ledger, Promise::BackoffKept), isSeen) << requests << (isHarmed ? " harmed" : "");
    }
}

TEST(LedgerTests, aServerThatHasStatedItsLeavingMayGetRequestsUntilTheBoundAndNotLater)
{
    for (const auto &[sentAt, incarnation, isSeen] : { std::tuple(1900, 1U, false), std::tuple(2100, 1U, true), std::tuple(2100, 2U, false) }) {
        Served served; // ended at 50 ms
        served.ledger.serverStatesLeaving("i-1", at(0));
        auto later = makeSent("later");
        later.at = at(50 + sentAt);
        later.incarnation = incarnation;
        served.ledger.sent(later);
        auto run = makeRun(later);
        run.at = later.at;
        served.ledger.ran(run);
        EXPECT_EQ(breaks(served.ledger, Promise::LeavingKept), isSeen) << sentAt << ", incarnation " << incarnation;
    }
}

TEST(LedgerTests, aServerThatLeavesMayGetRequestsUntilTheBoundAndNotLater)
{
    for (const auto left : { -1900, -2100 }) {
        Served served;
        served.ledger.serverLeaves("i-1", at(left));
        EXPECT_EQ(breaks(served.ledger, Promise::LeavingServer), left < -2000);
    }
}

TEST(LedgerTests, aProcessThatGoesBackToAnOlderVersionIsSeen)
{
    for (const auto incarnation : { 1U, 2U }) {
        Ledger ledger;
        auto newer = makeSent("new");
        newer.onlyVersion = 6;
        ledger.sent(newer);
        ledger.ran(makeRun(newer));
        auto older = makeSent("old");
        older.onlyVersion = 3;
        older.at = at(100);
        older.incarnation = incarnation;
        ledger.sent(older);
        ledger.ran(makeRun(older));
        EXPECT_EQ(breaks(ledger, Promise::NeverBack), incarnation == 1) << "another process may still learn";
    }
}

TEST(LedgerTests, aDenialOfWhatIsAllowedIsSeen)
{
    for (const auto isAllowed : { true, false }) {
        Ledger ledger;
        auto sent = makeSent("a");
        sent.isAllowed = isAllowed;
        ledger.sent(sent);
        ledger.ended({ .id = "a", .status = 404, .at = at(20) });
        EXPECT_EQ(breaks(ledger, Promise::Admitted), isAllowed);
    }
}

TEST(LedgerTests, aKeyThatIsTakenAwayUnderWayMayBeDenied)
{
    for (const auto withdrawn : { 10, 30 }) {
        Ledger ledger;
        ledger.sent(makeSent("a"));
        ledger.keyWithdrawn("key-1", at(withdrawn));
        ledger.ended({ .id = "a", .status = 401, .at = at(20) });
        EXPECT_EQ(breaks(ledger, Promise::Admitted), withdrawn > 20);
    }
}

TEST(LedgerTests, anAnswerThatComesTooLateIsSeen)
{
    Ledger ledger;
    const auto sent = makeSent("a");
    ledger.sent(sent);
    ledger.ended({ .id = "a", .status = 504, .at = at(6600) });
    EXPECT_TRUE(breaks(ledger, Promise::Answered));
}

TEST(LedgerTests, brittleServersThatCrashTooOftenAreSeenUnlessAWayWasHarmed)
{
    for (const auto isHarmed : { false, true }) {
        Served served;
        served.ledger.brittle(at(1000), at(9000), 4);
        for (const auto milliseconds : { 500, 2000, 3000 }) {
            served.ledger.serverCrashed("", at(milliseconds));
        }
        EXPECT_FALSE(breaks(served.ledger, Promise::BrittleKept)) << "two, and one before";
        if (isHarmed) {
            served.ledger.harmed("0", at(4000), at(4100));
        }
        served.ledger.serverCrashed("", at(5000));
        EXPECT_EQ(breaks(served.ledger, Promise::BrittleKept), !isHarmed);
    }
}

TEST(LedgerTests, aPartThatReachesServersAfterFiveCrashesIsSeen)
{
    Served served;
    for (int number = 0; number < 5; ++number) {
        served.ledger.serverCrashed("c1", at(1000 + number));
    }
    for (int number = 0; number < 8; ++number) {
        EXPECT_FALSE(breaks(served.ledger, Promise::PartContained)) << number;
        auto sent = makeSent("c" + std::to_string(number));
        sent.crashingPart = "c1";
        served.ledger.sent(sent);
        auto run = makeRun(sent);
        run.at = at(number < 4 ? 2000 : 5000); // four of them before the entries know the part
        served.ledger.ran(run);
    }
    EXPECT_TRUE(breaks(served.ledger, Promise::PartContained));
}

namespace
{

/// A draft that was sent so many milliseconds after SIGTERM to its entry, ran, and lost its connection at 7.7 s; its server worked until \p workEnds.
struct CutDraft {
    CutDraft(int sentAt, int workEnds)
    {
        sent.at = at(sentAt);
        sent.timeLimit = std::chrono::seconds(15);
        auto run = makeRun(sent);
        run.at = at(sentAt + 10);
        ledger.disturbed(at(0), at(8000)); // servers are slow
        ledger.stopped("0", 1, at(0));
        ledger.sent(sent);
        ledger.ran(run);
        ledger.finished("a", "i-1", at(workEnds));
        ledger.ended({ .id = "a", .status = 0, .cause = "closed", .at = at(7700) });
    }

    Sent sent = makeSent("a");
    Ledger ledger;
};

} // namespace

// Guards against the incident of 4 December: an entry that was leaving took streams, its servers slowed down, and its exit cut the streams off.
TEST(LedgerTests, aLateStreamThatTheExitCutsOffIsSeen)
{
    const CutDraft late(3100, 7700);
    EXPECT_TRUE(breaks(late.ledger, Promise::WholeAtStop));
    EXPECT_FALSE(late.ledger.check(std::nullopt).empty()) << "also without bounds";
}

// Guards against a check that excuses every stream which was sent before callers had to know of the stop.
TEST(LedgerTests, anEarlyStreamIsExcusedOnlyByAServerThatIsStillAtWork)
{
    for (const auto sentAt : { -500, 2900 }) {
        EXPECT_FALSE(breaks(CutDraft(sentAt, 7700).ledger, Promise::WholeAtStop)) << sentAt;
        EXPECT_TRUE(breaks(CutDraft(sentAt, 6600).ledger, Promise::WholeAtStop)) << sentAt;
    }
}

// Guards against a promise that blames the stop for what a crash, a harmed way, a kill or the time limit ended.
TEST(LedgerTests, otherReasonsExcuseAStreamThatMeetsAStop)
{
    for (const std::string name : { "i-1", "0", Ledger::AnyEntry }) {
        CutDraft cut(3100, 7700);
        cut.ledger.broken(name, at(5000), at(5100));
        EXPECT_FALSE(breaks(cut.ledger, Promise::WholeAtStop)) << name;
    }
    CutDraft atItsLimit(3100, 7700);
    atItsLimit.sent.timeLimit = std::chrono::milliseconds(4700);
    atItsLimit.ledger.sent(atItsLimit.sent);
    EXPECT_FALSE(breaks(atItsLimit.ledger, Promise::WholeAtStop));
    CutDraft refused(3100, 7700);
    refused.ledger.ended({ .id = "a", .status = 502, .at = at(7600) });
    EXPECT_FALSE(breaks(refused.ledger, Promise::WholeAtStop)) << "an answer with a status";
    CutDraft atNextProcess(3100, 7700);
    atNextProcess.sent.incarnation = 2;
    atNextProcess.ledger.sent(atNextProcess.sent);
    EXPECT_FALSE(breaks(atNextProcess.ledger, Promise::WholeAtStop));
}

// Guards against a check that misses requests which an entry read and dropped before any server ran them.
TEST(LedgerTests, aRequestThatAStoppedEntryHoldsAndDropsIsSeen)
{
    for (const auto endsAt : { 4150, 4300 }) {
        auto sent = makeSent("a");
        sent.at = at(4000);
        Ledger ledger;
        ledger.stopped("0", 1, at(0));
        ledger.sent(sent);
        ledger.ended({ .id = "a", .status = 0, .cause = "closed", .at = at(endsAt) });
        EXPECT_EQ(breaks(ledger, Promise::WholeAtStop), endsAt == 4300) << "the connection may have been closed before the request came";
    }
}
