/// \file
/// Who waits and who is closed while a process holds many bytes.

#include "core/memory/review.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

using namespace auburnspread;
using namespace auburnspread::memory;

namespace
{

constexpr std::size_t Kilobyte = 1024;
constexpr Limits TestLimits{ .bytes = 1000 * Kilobyte, .ordinaryBytes = 10 * Kilobyte };
constexpr auto Now = TimePoint(std::chrono::hours(1));

auto secondsAgo(int seconds) -> TimePoint
{
    return Now - std::chrono::seconds(seconds);
}

auto findDecision(const std::vector<Decision> &decisions, int id) -> const Decision *
{
    const auto found = std::find_if(decisions.begin(), decisions.end(), [id](const Decision &each) { return each.id == HoldingId(id); });
    return found == decisions.end() ? nullptr : &*found;
}

auto isClosed(const std::vector<Decision> &decisions, int id, CloseCause cause) -> bool
{
    const auto *decision = findDecision(decisions, id);
    return decision != nullptr && decision->action == Action::Close && decision->cause == cause;
}

} // namespace

TEST(ReviewTests, everythingIsReadWhileLittleIsHeld)
{
    const std::vector<Holding> holdings = {
        { .id = HoldingId(1), .purpose = Purpose::Receive, .bytes = 300 * Kilobyte, .mayGrowBy = 4000 * Kilobyte, .since = Now },
        { .id = HoldingId(2), .purpose = Purpose::Receive, .bytes = 100 * Kilobyte, .mayGrowBy = 4000 * Kilobyte, .since = Now, .pausedAt = secondsAgo(9) },
    };
    const auto decisions = review(holdings, TestLimits, Now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().id, HoldingId(2));
    EXPECT_EQ(decisions.front().action, Action::Resume);
}

/// Guards against messages that are all begun and none of which is finished.
TEST(ReviewTests, theOldestMessageGoesOnAndYoungerOnesWait)
{
    const std::vector<Holding> holdings = {
        { .id = HoldingId(1), .purpose = Purpose::Receive, .bytes = 200 * Kilobyte, .mayGrowBy = 300 * Kilobyte, .moved = 200 * Kilobyte, .since = Now },
        { .id = HoldingId(2),
          .purpose = Purpose::Receive,
          .bytes = 400 * Kilobyte,
          .mayGrowBy = 300 * Kilobyte,
          .moved = 400 * Kilobyte,
          .since = secondsAgo(1) },
    };
    const auto decisions = review(holdings, TestLimits, Now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().id, HoldingId(1));
    EXPECT_EQ(decisions.front().action, Action::Pause);
}

/// Guards against a process that is killed for what others send: the one that burdens it most is closed first, an ordinary one last.
TEST(ReviewTests, theLargestAndSlowestIsClosedAtTheLimit)
{
    const std::vector<Holding> holdings = {
        { .id = HoldingId(1), .purpose = Purpose::Send, .bytes = 500 * Kilobyte, .moved = 900 * Kilobyte, .since = secondsAgo(2) },
        { .id = HoldingId(2), .purpose = Purpose::Send, .bytes = 500 * Kilobyte, .since = secondsAgo(9) },
        { .id = HoldingId(3), .purpose = Purpose::Work, .bytes = 9 * Kilobyte, .since = secondsAgo(3000) },
    };
    const auto decisions = review(holdings, TestLimits, Now);
    EXPECT_TRUE(isClosed(decisions, 2, CloseCause::TooLarge));
    EXPECT_EQ(findDecision(decisions, 1), nullptr);
    EXPECT_EQ(findDecision(decisions, 3), nullptr);
}

/// Guards against a request that waits for ever, and against a slow one that keeps others waiting.
TEST(ReviewTests, waitingEndsByARefusalOfTheWaitingAndOfTheSlow)
{
    const std::vector<Holding> holdings = {
        { .id = HoldingId(1),
          .purpose = Purpose::Receive,
          .bytes = 600 * Kilobyte,
          .mayGrowBy = 300 * Kilobyte,
          .moved = 600 * Kilobyte,
          .since = secondsAgo(60) },
        { .id = HoldingId(2),
          .purpose = Purpose::Receive,
          .bytes = 90 * Kilobyte,
          .mayGrowBy = 900 * Kilobyte,
          .since = secondsAgo(2),
          .pausedAt = secondsAgo(1) },
        { .id = HoldingId(3), .purpose = Purpose::Receive, .bytes = 90 * Kilobyte, .mayGrowBy = 900 * Kilobyte, .since = Now, .pausedAt = Now },
        { .id = HoldingId(4), .purpose = Purpose::Send, .bytes = 9 * Kilobyte, .since = secondsAgo(60) },
    };
    const auto decisions = review(holdings, TestLimits, Now);
    EXPECT_TRUE(isClosed(decisions, 1, CloseCause::TooSlow));
    EXPECT_TRUE(isClosed(decisions, 2, CloseCause::NoRoom));
    EXPECT_EQ(findDecision(decisions, 4), nullptr);
}

/// Whatever is held: afterwards the limit is kept, also when all that may go on arrive completely, and no ordinary holding was closed for
/// another one that remains larger.
RC_GTEST_PROP(ReviewPropertyTests, theLimitHoldsAfterEveryReview, ())
{
    const auto count = *rc::gen::inRange(1, 30);
    std::vector<Holding> holdings;
    for (int id = 1; id <= count; ++id) {
        const auto purpose = *rc::gen::element(Purpose::Receive, Purpose::Work, Purpose::Send);
        holdings.push_back({
            .id = HoldingId(id),
            .purpose = purpose,
            .bytes = *rc::gen::inRange<std::size_t>(0, 400) * Kilobyte,
            .mayGrowBy = purpose == Purpose::Receive ? *rc::gen::inRange<std::size_t>(0, 500) * Kilobyte : 0,
            .moved = *rc::gen::inRange<std::size_t>(0, 500) * Kilobyte,
            .since = secondsAgo(*rc::gen::inRange(0, 20)),
            .pausedAt = purpose == Purpose::Receive && *rc::gen::arbitrary<bool>() ? std::optional(secondsAgo(*rc::gen::inRange(0, 3))) : std::nullopt,
        });
    }
    std::map<HoldingId, Decision> decisions;
    for (const auto &decision : review(holdings, TestLimits, Now)) {
        RC_ASSERT(decisions.emplace(decision.id, decision).second);
    }
    std::size_t total = 0;
    std::size_t ordinaryGrowth = 0;
    std::size_t grown = 0;
    bool isPressed = false;
    bool closedOrdinary = false;
    bool keptLarge = false;
    std::size_t before = 0;
    for (const auto &holding : holdings) {
        before += holding.bytes;
        const auto found = decisions.find(holding.id);
        const auto action = found == decisions.end() ? std::nullopt : std::optional(found->second.action);
        const auto isOrdinary = holding.bytes <= TestLimits.ordinaryBytes;
        if (action == Action::Close) {
            closedOrdinary = closedOrdinary || (isOrdinary && found->second.cause == CloseCause::TooLarge);
            continue;
        }
        keptLarge = keptLarge || !isOrdinary;
        total += holding.bytes;
        const auto isRead = action == Action::Resume || (!action && !holding.pausedAt);
        (isOrdinary ? ordinaryGrowth : grown) += isRead ? holding.mayGrowBy : 0;
    }
    isPressed = isUnderPressure(before, TestLimits);
    RC_ASSERT(total <= TestLimits.bytes);
    RC_ASSERT(!isPressed || total + grown <= TestLimits.bytes);
    RC_ASSERT(!(closedOrdinary && keptLarge));
}
