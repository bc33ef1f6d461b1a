/// \file
/// The account of a process: when connections wait, go on and are closed.

#include "runtime/memory/account.h"

#include "standins/testing/waiting.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::memory;

namespace
{

constexpr Limits TestLimits{ .bytes = 1000, .ordinaryBytes = 10, .patience = std::chrono::milliseconds(1) };

/// A connection that records what the account tells it.
struct Member {
    explicit Member(Account &account)
        : share(account.open({ .setPaused = [this](bool paused) { isPaused = paused; },
                               .close =
                                   [this](CloseCause why) {
                                       cause = why;
                                       share = {};
                                   },
                               .describe = []() { return std::string("caller 127.0.0.1:1"); } }))
    {
    }

    bool isPaused = false;
    std::optional<CloseCause> cause;
    Share share;
};

} // namespace

TEST(AccountTests, heldBytesEndWithTheirShare)
{
    task::EventLoop loop;
    Account account(loop, TestLimits);
    {
        Member member(account);
        member.share.hold(300);
        member.share.hold(200);
        EXPECT_EQ(account.heldBytes(), 200U);
    }
    EXPECT_EQ(account.heldBytes(), 0U);
}

/// Guards against a message that stays paused after the room that it waited for is free.
TEST(AccountTests, aPausedMessageGoesOnWhenOthersHaveEnded)
{
    task::EventLoop loop;
    Account account(loop, { .bytes = 1000, .ordinaryBytes = 10, .patience = std::chrono::hours(1) });
    Member waiting(account);
    std::optional<Member> large;
    large.emplace(account);
    large->share.begin(Purpose::Work);
    large->share.hold(600);
    waiting.share.begin(Purpose::Receive);
    waiting.share.hold(100, 500);
    EXPECT_TRUE(standins::runUntil(loop, [&]() { return waiting.isPaused; }));
    large.reset();
    EXPECT_TRUE(standins::runUntil(loop, [&]() { return !waiting.isPaused; }));
    EXPECT_EQ(account.pauses(), 1U);
}

/// Guards against bytes of closed connections that stay in the account.
TEST(AccountTests, theLimitIsKeptByClosingAndCounted)
{
    task::EventLoop loop;
    Account account(loop, TestLimits);
    Member one(account);
    Member other(account);
    one.share.begin(Purpose::Send);
    one.share.hold(900);
    other.share.begin(Purpose::Send);
    other.share.hold(500);
    EXPECT_TRUE(standins::runUntil(loop, [&]() { return one.cause.has_value() || other.cause.has_value(); }));
    EXPECT_LE(account.heldBytes(), TestLimits.bytes);
    EXPECT_EQ(account.closed(CloseCause::TooLarge), 1U);
}

/// Guards against a crowd whose connections all fill their sockets at once, and grow far beyond the limit within one turn of the loop.
TEST(AccountTests, theLimitIsKeptWithinATurnOfTheLoop)
{
    constexpr std::size_t Members = 100;
    constexpr std::size_t Each = 200;
    task::EventLoop loop;
    Account account(loop, TestLimits);
    std::deque<Member> members;
    std::vector<task::Watch> arrivals;
    std::size_t most = 0;
    for (std::size_t i = 0; i < Members; ++i) {
        auto &member = members.emplace_back(account);
        arrivals.push_back(loop.inThisTurn([&]() {
            member.share.begin(Purpose::Receive);
            member.share.hold(Each, Each);
            most = std::max(most, account.heldBytes());
        }));
    }
    EXPECT_TRUE(standins::runUntil(loop, [&]() { return members.back().isPaused || members.back().cause; }));
    EXPECT_LE(most, TestLimits.bytes + Each);
}

/// Guards against a share that outlives its account, as connections of a server may.
TEST(AccountTests, aShareMayOutliveItsAccount)
{
    task::EventLoop loop;
    Share share;
    {
        Account account(loop, TestLimits);
        share = account.open({ .setPaused = [](bool) {}, .close = [](CloseCause) {}, .describe = []() { return std::string(); } });
        share.hold(10);
    }
    share.hold(20);
}
