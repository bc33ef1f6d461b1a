#include "core/passthrough/strain.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));
constexpr Duration Second = std::chrono::seconds(1);

auto makePace(std::uint32_t events, std::uint32_t expectedEvents) -> AnswerPace
{
    return { .startedAt = Start, .events = events, .expectedEvents = expectedEvents, .deadline = Start + 8 * Second };
}

/// Lets requests with equally long prompts arrive while the engines have capacity for some of the waiting ones, and counts those that
/// are sent.
auto countSent(RouterHarness &harness, int requests) -> int
{
    auto sent = 0;
    for (auto i = 0; i < requests; ++i) {
        PeerReported report{ .entry = "entry-2" };
        for (const auto *engine : { "e1", "e2" }) {
            report.uses.push_back({ .server = engine, .inFlight = 5, .heldTokens = 40'000, .waitingTokens = 20'000 });
        }
        harness.apply(report);
        auto quote = harness.request(QuotePath);
        quote.prompt = { .tokens = 3000, .maxAnswerTokens = 50, .parts = { { .id = 10'000 + static_cast<std::uint64_t>(i), .tokens = 3000 } } };
        const auto send = find<Send>(harness.apply(quote));
        sent += send ? 1 : 0;
        if (send) {
            harness.apply(AttemptFailed{ .attempt = send->attempt, .failure = Failure::NotStarted });
        } else {
            harness.apply(CallerGone{ .request = quote.request });
        }
    }
    return sent;
}

/// Relays one answer with this time between its events; the caller estimates a hundred tokens and waits for five seconds.
auto relayAnswer(RouterHarness &harness, Duration interval) -> void
{
    constexpr auto Events = 40;
    auto quote = harness.request(QuotePath);
    quote.prompt = { .tokens = 3000, .maxAnswerTokens = 200, .expectedAnswerTokens = 100, .parts = { { .id = 9, .tokens = 3000 } } };
    const auto send = find<Send>(harness.apply(quote));
    ASSERT_TRUE(send);
    harness.apply(AttemptStarted{ .attempt = send->attempt, .isForwarded = true });
    for (auto i = 0; i < Events; ++i) {
        harness.advance(interval);
        harness.apply(AttemptProgress{ .attempt = send->attempt });
    }
    harness.apply(AttemptFinished{ .attempt = send->attempt });
}

} // namespace

TEST(StrainTests, anAnswerIsStrainedIfItWillMissItsDeadlineAtItsPace)
{
    EXPECT_FALSE(isStrained(makePace(0, 20), Start + Second)) << "nothing is known yet";
    EXPECT_FALSE(isStrained(makePace(4, 20), Start + Second)) << "ends after five seconds";
    EXPECT_TRUE(isStrained(makePace(2, 20), Start + Second)) << "would end after ten";
    EXPECT_FALSE(isStrained(makePace(2, 0), Start + Second)) << "its length is not estimated";
}

TEST(StrainTests, anAnswerIsStrainedIfItPausesTooLong)
{
    auto pace = makePace(4, 0);
    pace.longestPause = std::chrono::milliseconds(200);
    EXPECT_TRUE(isStrained(pace, Start + Second));
    pace.longestPause = std::chrono::milliseconds(300);
    EXPECT_FALSE(isStrained(pace, Start + Second));
}

TEST(StrainTests, strainDecaysWithFurtherEvents)
{
    Strain strain{ .share = 1 };
    EXPECT_LT(releaseFactor(strain), 0.6);
    EXPECT_LT(queuedWorkFactor(strain), 0.5);
    recordEvents(strain, 300, false);
    EXPECT_GT(releaseFactor(strain), 2.8);
    EXPECT_GT(queuedWorkFactor(strain), 0.98);
}

/// Guards against answers that start in time but are cut off at the caller's deadline, two in three in a burst. Engines with large
/// chunks process prompts continuously, and an answer gets a token only every tenth of a second. When the answers that this entry relays
/// are slow, fewer of the waiting requests must be released than when they are fast.
TEST(StrainTests, fewerRequestsAreReleasedWhenAnswersAreSlow)
{
    constexpr auto Requests = 60;
    RouterHarness fast;
    relayAnswer(fast, std::chrono::milliseconds(20));
    RouterHarness slow;
    relayAnswer(slow, std::chrono::milliseconds(100));
    const auto sentWhenFast = countSent(fast, Requests);
    const auto sentWhenSlow = countSent(slow, Requests);
    EXPECT_GT(sentWhenFast, 45);
    EXPECT_LT(sentWhenSlow, 2 * sentWhenFast / 3);
}
