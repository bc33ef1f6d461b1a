#include "load/report.h"

#include "load/answercheck.h"
#include "standins/answer.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace auburnspread::load
{

namespace
{

using std::chrono::milliseconds;

auto makeDocument() -> configuration::Document
{
    configuration::Document document;
    document.classes = { { .name = "quote", .firstTokenTarget = milliseconds(500), .tokenTarget = milliseconds(50), .answerTarget = milliseconds(4000) } };
    return document;
}

auto makeScenario() -> Scenario
{
    Scenario scenario{ .name = "test", .duration = std::chrono::seconds(10) };
    scenario.flows = { { .name = "quote", .requestClass = "quote" } };
    return scenario;
}

auto answeredCall(std::string digest, Duration firstToken, Duration end) -> CallRecord
{
    return {
        .stream = true, .digest = std::move(digest), .firstToken = firstToken, .end = end, .tokens = 40, .attempts = { { .result = CallResult::Answered } }
    };
}

auto refusedCall(std::string digest, std::string outcome) -> CallRecord
{
    return { .stream = true,
             .digest = std::move(digest),
             .attempts = { { .result = CallResult::Refused, .status = 503, .reason = "shed", .outcome = std::move(outcome) } } };
}

auto reportOf(std::vector<CallRecord> calls, ExecutionLogs logs, std::vector<FaultRecord> faults = {}) -> RunReport
{
    static const auto document = makeDocument();
    static const auto scenario = makeScenario();
    return makeReport({ .scenario = &scenario, .document = &document, .calls = std::move(calls), .logs = std::move(logs), .faults = std::move(faults) });
}

auto tokenText(const std::string &content) -> std::string
{
    return "data: {\"choices\":[{\"delta\":{\"content\":\"" + content + "\"},\"finish_reason\":null}]}\n\n";
}

auto makeAnswer() -> standins::Answer
{
    return standins::answerTo({ { "model", "m" }, { "messages", { { { "content", "a roof" } } } }, { "metadata", { { "answer_tokens", "3" } } } });
}

const std::string finishEvent = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const std::string doneEvent = "data: [DONE]\n\n";

auto stateOf(const std::string &stream) -> AnswerState
{
    AnswerCheck check(makeAnswer());
    check.feedStream(stream);
    return check.stateAtEnd();
}

} // namespace

TEST(ReportTest, TargetsAreCountedApartAndGoodputNeedsAllOfThem)
{
    const auto report = reportOf({ answeredCall("a", milliseconds(100), milliseconds(1000)),   // all met
                                   answeredCall("b", milliseconds(900), milliseconds(1900)),   // first token late
                                   answeredCall("c", milliseconds(100), milliseconds(3000)),   // slow pace, answer on time
                                   answeredCall("d", milliseconds(100), milliseconds(5000)) }, // answer late
                                 {});
    const auto &flow = report.flows.front();
    EXPECT_EQ(flow.offered, 4U);
    EXPECT_EQ(flow.firstTokenMet, 3U);
    EXPECT_EQ(flow.paceMet, 2U);
    EXPECT_EQ(flow.answerMet, 3U);
    EXPECT_EQ(flow.onTime, 2U);
    EXPECT_EQ(flow.good, 2U);
}

TEST(ReportTest, RepeatedCallIsOnTimeButNotGood)
{
    auto call = answeredCall("a", milliseconds(100), milliseconds(1000));
    call.attempts.insert(call.attempts.begin(), { .result = CallResult::Refused, .reason = "shed", .outcome = "not-run" });
    const auto report = reportOf({ call }, {});
    EXPECT_EQ(report.flows.front().onTime, 1U);
    EXPECT_EQ(report.flows.front().good, 0U);
    EXPECT_EQ(report.flows.front().repeats, 1U);
}

// A class starves during another's burst: its attainment over the whole run hides it, its longest silence does not.
TEST(ReportTest, LongestSilenceIsMeasuredOverTheWholeRun)
{
    auto early = answeredCall("a", milliseconds(100), milliseconds(1000));
    auto late = answeredCall("b", milliseconds(100), milliseconds(1000));
    late.at = milliseconds(7000);
    EXPECT_EQ(reportOf({ early, late }, {}).flows.front().longestSilence, milliseconds(7000));
    EXPECT_EQ(reportOf({}, {}).flows.front().longestSilence, milliseconds(10000));
}

TEST(ReportTest, WastedTokensAreSplitByTheirCause)
{
    ExecutionLogs logs;
    logs.engines = { { .engine = "e1", .attempt = "1", .digest = "a", .started = true, .finished = false, .tokens = 15 },
                     { .engine = "e2", .attempt = "2", .digest = "a", .started = true, .finished = true, .tokens = 40 },
                     { .engine = "e1", .attempt = "3", .digest = "b", .started = true, .finished = false, .tokens = 7 },
                     { .engine = "e1", .attempt = "4", .digest = "c", .started = true, .finished = true, .tokens = 40 } };
    const auto report
        = reportOf({ answeredCall("a", milliseconds(1), milliseconds(9)), refusedCall("b", "may-have-run"), refusedCall("c", "may-have-run") }, logs);
    EXPECT_EQ(report.tokens.generated, 102U);
    EXPECT_EQ(report.tokens.delivered, 40U);
    EXPECT_EQ(report.tokens.duplicated, 15U);
    EXPECT_EQ(report.tokens.cutOff, 7U);
    EXPECT_EQ(report.tokens.discarded, 40U);
    EXPECT_EQ(report.violations.total(), 0U);
}

// The caller is refused as not-run, tells its member so, and the member re-keys the roof; but an engine ran it.
TEST(ReportTest, NotRunThatRanIsAViolation)
{
    ExecutionLogs logs;
    logs.engines = { { .engine = "e1", .attempt = "1", .digest = "a", .started = true, .tokens = 3 },
                     { .engine = "e1", .attempt = "2", .digest = "b", .started = false } };
    const auto report = reportOf({ refusedCall("a", "not-run"), refusedCall("b", "not-run"), refusedCall("c", "") }, logs);
    EXPECT_EQ(report.violations.notRunButRan, 1U);
    EXPECT_EQ(report.violations.refusedWithoutOutcome, 1U);
    EXPECT_EQ(report.violations.examples.size(), 2U);
}

// An entry ends a stream without terminator or error event. Only one that was killed without warning may do that: it had
// no chance to say anything. Its caller sees the same, so only the address tells the two apart.
TEST(ReportTest, SilentCutIsAViolationUnlessItsEntryWasKilled)
{
    const CallRecord cut{ .stream = true, .attempts = { { .result = CallResult::CutSilently, .entry = "127.0.1.2:8080" } } };
    EXPECT_EQ(reportOf({ cut }, {}).violations.silentCuts, 1U);
    EXPECT_EQ(reportOf({ cut }, {}, { { .address = "127.0.1.1:8080", .kills = true } }).violations.silentCuts, 1U);
    EXPECT_EQ(reportOf({ cut }, {}, { { .address = "127.0.1.2:8080", .kills = true } }).violations.silentCuts, 0U);
}

// A deposit notice is billed twice: the service's log has its key twice, on two servers.
TEST(ReportTest, SecondExecutionOfANonRepeatableCallIsAViolation)
{
    CallRecord call{ .service = true, .repeatable = false, .key = "notice-1", .end = milliseconds(5), .attempts = { { .result = CallResult::Answered } } };
    ExecutionLogs logs{ .serviceRuns = { { "notice-1", 2 } } };
    const auto report = reportOf({ call }, logs);
    EXPECT_EQ(report.violations.ranMoreThanOnce, 1U);
    EXPECT_EQ(report.flows.front().good, 0U);
}

TEST(AnswerCheckTest, TellsWholeFromCutCrossedAndUnterminated)
{
    const auto answer = makeAnswer();
    const auto first = tokenText(standins::tokenAt(answer, 0));
    const auto second = tokenText(standins::tokenAt(answer, 1));
    const auto third = tokenText(standins::tokenAt(answer, 2));
    EXPECT_EQ(stateOf(first + second + third + finishEvent + doneEvent), AnswerState::Whole);
    EXPECT_EQ(stateOf(first + second + third + finishEvent), AnswerState::Unterminated);
    EXPECT_EQ(stateOf(first + second), AnswerState::Silent);
    EXPECT_EQ(stateOf(first + second + "data: {\"error\":{\"type\":\"stream-broken\"}}\n\n"), AnswerState::ErrorEvent);
    EXPECT_EQ(stateOf(first + third), AnswerState::Wrong);
    EXPECT_EQ(stateOf(first + second + finishEvent + doneEvent), AnswerState::Wrong);
    EXPECT_EQ(stateOf(first + second + third + third), AnswerState::Wrong);
}

TEST(AnswerCheckTest, PartsOfEventsAreJoined)
{
    const auto answer = makeAnswer();
    AnswerCheck check(answer);
    const auto event = tokenText(standins::tokenAt(answer, 0));
    EXPECT_EQ(check.feedStream(event.substr(0, 9)), 0U);
    EXPECT_EQ(check.feedStream(event.substr(9)), 1U);
}

} // namespace auburnspread::load
