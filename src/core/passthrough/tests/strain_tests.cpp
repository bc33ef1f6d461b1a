#include "core/passthrough/strain.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr TimePoint Begun(std::chrono::hours(1));
constexpr Duration Second = std::chrono::seconds(1);

auto makePace(std::uint32_t events, std::uint32_t expectedEvents) -> AnswerPace
{
    return { .startedAt = Begun, .events = events, .expectedEvents = expectedEvents, .deadline = Begun + 8 * Second };
}

/// Requests of equal prompts that are sent while the engines have room for some of what waits.
auto sentOf(World &world, int requests) -> int
{
    auto sent = 0;
    for (auto i = 0; i < requests; ++i) {
        PeerReported report{ .entry = "entry-2" };
        for (const auto *engine : { "e1", "e2" }) {
            report.uses.push_back({ .server = engine, .inFlight = 5, .heldTokens = 40'000, .waitingTokens = 20'000 });
        }
        world.apply(report);
        auto quote = world.request(QuotePath);
        quote.prompt = { .tokens = 3000, .answerTokens = 50, .parts = { { .id = 10'000 + static_cast<std::uint64_t>(i), .tokens = 3000 } } };
        const auto send = find<Send>(world.apply(quote));
        sent += send ? 1 : 0;
        if (send) {
            world.apply(AttemptFailed{ .attempt = send->attempt, .failure = Failure::NotStarted });
        } else {
            world.apply(CallerGone{ .request = quote.request });
        }
    }
    return sent;
}

/// One answer whose events come at this pace; the caller guesses a hundred tokens and waits for five seconds.
auto relayAnswer(World &world, Duration pace) -> void
{
    constexpr auto Events = 40;
    auto quote = world.request(QuotePath);
    quote.prompt = { .tokens = 3000, .answerTokens = 200, .likelyTokens = 100, .parts = { { .id = 9, .tokens = 3000 } } };
    const auto send = find<Send>(world.apply(quote));
    ASSERT_TRUE(send);
    world.apply(AttemptStarted{ .attempt = send->attempt, .goesToCaller = true });
    for (auto i = 0; i < Events; ++i) {
        world.pass(pace);
        world.apply(AttemptProgress{ .attempt = send->attempt });
    }
    world.apply(AttemptFinished{ .attempt = send->attempt });
}

} // namespace

TEST(StrainTests, anAnswerIsStrainedIfItWillEndTooLateAtItsPace)
{
    EXPECT_FALSE(isStrained(makePace(0, 20), Begun + Second)) << "nothing is known yet";
    EXPECT_FALSE(isStrained(makePace(4, 20), Begun + Second)) << "ends after five seconds";
    EXPECT_TRUE(isStrained(makePace(2, 20), Begun + Second)) << "would end after ten";
    EXPECT_FALSE(isStrained(makePace(2, 0), Begun + Second)) << "nobody guessed its length";
}

TEST(StrainTests, anAnswerIsStrainedIfItPausesTooLong)
{
    auto pace = makePace(4, 0);
    pace.longestPause = std::chrono::milliseconds(200);
    EXPECT_TRUE(isStrained(pace, Begun + Second));
    pace.longestPause = std::chrono::milliseconds(300);
    EXPECT_FALSE(isStrained(pace, Begun + Second));
}

TEST(StrainTests, strainIsForgottenWithinSomeSixtyEvents)
{
    Strain strain{ .share = 1 };
    EXPECT_LT(releaseFactor(strain), 0.6);
    EXPECT_LT(queuedWorkFactor(strain), 0.5);
    recordEvents(strain, 300, false);
    EXPECT_GT(releaseFactor(strain), 2.8);
    EXPECT_GT(queuedWorkFactor(strain), 0.98);
}

/// What callers see: answers that begin in time and are cut at the caller's deadline, two in three of a burst. Engines with large
/// chunks read all the time, and a token comes each tenth of a second. Where the answers that this entry relays crawl, less of
/// what waits is released than where they run.
TEST(StrainTests, lessIsReleasedWhereAnswersCrawl)
{
    constexpr auto Requests = 60;
    World running;
    relayAnswer(running, std::chrono::milliseconds(20));
    World crawling;
    relayAnswer(crawling, std::chrono::milliseconds(100));
    const auto sentRunning = sentOf(running, Requests);
    const auto sentCrawling = sentOf(crawling, Requests);
    EXPECT_GT(sentRunning, 45);
    EXPECT_LT(sentCrawling, 2 * sentRunning / 3);
}
