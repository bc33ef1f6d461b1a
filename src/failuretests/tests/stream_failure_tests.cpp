#include "failuretests/smallsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

using namespace auburnspread;
using namespace auburnspread::failuretests;

namespace
{

auto allEnded(const std::vector<CallPointer> &calls) -> bool
{
    return std::ranges::all_of(calls, [](const CallPointer &call) { return call->ended(); });
}

auto allTold(const std::vector<CallPointer> &calls, std::uint32_t tokens) -> bool
{
    return std::ranges::all_of(calls, [&](const CallPointer &call) { return call->tokens() >= tokens; });
}

/// Whole, or ended by an explicit error: never wrong, never cut in silence.
auto endedHonestly(const Call &call) -> bool
{
    if (call.isWhole()) {
        return true;
    }
    const bool isRefused = call.head.status >= 400 && !call.outcome().empty() && !call.reason().empty();
    return isRefused || (call.check && call.check->stateAtEnd() == load::AnswerState::ErrorEvent);
}

} // namespace

// The caller sees one whole answer, every token its own and in order, although its engine was killed in the middle of it.
// The connection breaks after some tokens; the entry resumes the stream at its offset on another engine.
TEST(StreamFailureTests, anAnswerIsWholeAlthoughItsEngineWasKilled)
{
    SmallSite site({});
    const auto call = site.startQuote(site.entry(1), 150);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->tokens() >= 10; })) << call->describe() << site.logs();
    const int engine = site.engineRunning(*call);
    ASSERT_NE(engine, 0);
    site.engine(engine).process->signal(SIGKILL);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended(); })) << call->describe() << site.logs();
    EXPECT_TRUE(call->isWhole()) << call->describe() << site.logs();
}

// The caller sees a pause and then the rest of its answer: its engine froze with the connection open. No byte comes for
// the progress timeout; the entry gives the attempt up and resumes elsewhere. What the engine sends later is discarded.
TEST(StreamFailureTests, anAnswerIsWholeAlthoughItsEngineFroze)
{
    SmallSite site({});
    const auto call = site.startQuote(site.entry(1), 150);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->tokens() >= 10; })) << call->describe() << site.logs();
    const int engine = site.engineRunning(*call);
    ASSERT_NE(engine, 0);
    site.engine(engine).process->signal(SIGSTOP);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->tokens() >= 100; })) << call->describe() << site.logs();
    site.engine(engine).process->signal(SIGCONT);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended(); })) << call->describe() << site.logs();
    EXPECT_TRUE(call->isWhole()) << call->describe() << site.logs();
}

// Callers see whole answers or an error event, never another's token and never a silent end, while one engine sends
// chunks of other requests, with wrong ids, or cut short.
TEST(StreamFailureTests, crossedTruncatedAndForeignChunksReachNoCaller)
{
    for (const auto *fault : { "crossed_every", "wrong_id_every", "truncate_every" }) {
        SmallSite site({});
        site.control(site.engine(1), { { fault, 7 } });
        const auto calls = site.startQuotes(site.entry(1), 12, 40);
        ASSERT_TRUE(site.caller.waitUntil([&]() { return allEnded(calls); })) << fault << site.logs();
        std::size_t whole = 0;
        for (const auto &call : calls) {
            EXPECT_TRUE(endedHonestly(*call)) << fault << ": " << call->describe();
            whole += call->isWhole() ? 1 : 0;
        }
        EXPECT_GE(whole, 8U) << fault << site.logs();
    }
}

// Model callers notice nothing of an outage of the platform's service that lasts for the whole run.
TEST(StreamFailureTests, modelTrafficGoesOnWithoutThePlatform)
{
    SmallSite site({ .entries = 2 });
    site.control(*site.platform, { { "down", true } });
    for (int round = 0; round < 6; ++round) {
        std::vector<CallPointer> calls{ site.startQuote(site.entry(1), 60), site.startQuote(site.entry(2), 60) };
        ASSERT_TRUE(site.caller.waitUntil([&]() { return allEnded(calls); })) << site.logs();
        for (const auto &call : calls) {
            EXPECT_TRUE(call->isWhole()) << call->describe() << site.logs();
        }
    }
}

// The operator sees at most two engines crash, although the request that kills them is sent again and again at two
// entries; its caller is told that it is quarantined, and others are answered by the engines that are left.
TEST(StreamFailureTests, aRequestThatKillsCrashesAtMostTwoEngines)
{
    SmallSite site({ .engines = 4, .entries = 2 });
    for (int number = 1; number <= 4; ++number) {
        site.control(site.engine(number), { { "crash_on_text", "poison" } });
    }
    const nlohmann::json body{ { "model", "quote-7b" }, { "messages", { { { "role", "user" }, { "content", "poison" } } } }, { "stream", true } };
    const load::Headers headers{ { "Auburnspread-Workspace", "roofs" }, { "Auburnspread-Class", "quote" } };
    CallPointer last;
    for (int round = 0; round < 6; ++round) {
        last = site.caller.startChat(site.entry(1 + round % 2).callerAddress, body, headers);
        ASSERT_TRUE(site.caller.waitUntil([&]() { return last->ended(); })) << last->describe() << site.logs();
        EXPECT_TRUE(endedHonestly(*last)) << last->describe();
    }
    int crashed = 0;
    for (int number = 1; number <= 4; ++number) {
        crashed += site.engine(number).process->exitCode() ? 1 : 0;
    }
    EXPECT_LE(crashed, 2) << site.logs();
    EXPECT_EQ(last->outcome(), "quarantined") << last->describe();
    const auto innocent = site.startQuote(site.entry(2), 30);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return innocent->ended(); })) << site.logs();
    EXPECT_TRUE(innocent->isWhole()) << innocent->describe() << site.logs();
}

// Callers that are told "not run" were not run: no engine's execution log has their request. One engine refuses all work,
// the other has few slots and the queue is short, so that most of a burst is refused.
TEST(StreamFailureTests, whatWasRefusedAsNotRunWasNotRun)
{
    SmallSite site({ .engines = 2, .concurrency = 4, .queueLength = 6 });
    site.control(site.engine(1), { { "refuse", true } });
    const auto calls = site.startQuotes(site.entry(1), 40, 30);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return allEnded(calls); }, 2 * LongWait)) << site.logs();
    std::size_t notRun = 0;
    for (const auto &call : calls) {
        EXPECT_TRUE(endedHonestly(*call)) << call->describe();
        if (call->outcome() == "not-run") {
            ++notRun;
            EXPECT_EQ(site.countExecutions(SmallSite::answerOf(*call)), 0U) << call->describe();
        }
    }
    EXPECT_GT(notRun, 0U);
    EXPECT_LT(notRun, calls.size());
}

// Every caller of an engine that died sees its whole answer, the neighbours of each other's crash too.
TEST(StreamFailureTests, allAnswersOfADeadEngineAreResumed)
{
    SmallSite site({});
    const auto calls = site.startQuotes(site.entry(1), 12, 200);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return allTold(calls, 10); })) << site.logs();
    site.engine(1).process->signal(SIGKILL);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return allEnded(calls); })) << site.logs();
    for (const auto &call : calls) {
        EXPECT_TRUE(call->isWhole()) << call->describe() << site.logs();
    }
}

// Callers see a pause and then the rest: all connections to engines that are open go silent for good, while new ones
// work. Each stream is given up after the progress timeout and resumed on a new connection.
TEST(StreamFailureTests, connectionsThatGoSilentCostNoAnswer)
{
    SmallSite site({});
    const auto calls = site.startQuotes(site.entry(1), 6, 200);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return allTold(calls, 10); })) << site.logs();
    for (int number = 1; number <= 3; ++number) {
        site.control(site.engine(number), { { "silence_open", true } });
    }
    ASSERT_TRUE(site.caller.waitUntil([&]() { return allEnded(calls); })) << site.logs();
    for (const auto &call : calls) {
        EXPECT_TRUE(call->isWhole()) << call->describe() << site.logs();
    }
}
