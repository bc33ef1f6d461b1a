#include "wire/http/tests/exchange.h"
#include "wire/platform/settledwrite.h"
#include "wire/platform/tests/fakestore.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

using namespace auburnspread;
using http::tests::runUntil;
using platform::Verdict;
using platform::tests::Fault;

namespace
{

constexpr platform::BackoffOptions ShortPauses{ .least = std::chrono::milliseconds(2), .most = std::chrono::milliseconds(20) };

class SettledWriteTests : public testing::Test
{
protected:
    auto write(const std::string &value, std::uint64_t index = 0, Duration limit = std::chrono::seconds(20)) -> platform::SettledResult
    {
        platform::Settler settler(loop_, store_, { .limit = limit, .backoff = ShortPauses });
        return resultOf([&](auto onSettled) { settler.write("key", value, index, onSettled); });
    }

    auto acquire(const std::string &session) -> platform::SettledResult
    {
        platform::Settler settler(loop_, store_, { .backoff = ShortPauses });
        return resultOf([&](auto onSettled) { settler.acquire("lock", "holder", session, onSettled); });
    }

    template <typename StartWrite>
    auto resultOf(StartWrite startWrite) -> platform::SettledResult
    {
        std::optional<platform::SettledResult> result;
        startWrite([&](platform::SettledResult got) { result = std::move(got); });
        EXPECT_TRUE(runUntil(loop_, [&]() { return result.has_value(); }));
        return result.value_or(platform::SettledResult{});
    }

    task::EventLoop loop_;
    platform::tests::FakeStore service_{ loop_ };
    platform::Store store_{ loop_, { .address = service_.address(), .timeout = std::chrono::seconds(20) } };
};

} // namespace

// The writer learns that its write took effect although no reply said so.
// 1. The service applies the write and the connection ends without a reply. 2. The first attempt to read back fails as well.
// 3. The value read at last carries the writer's nonce, so the write is its own. It is not written twice.
TEST_F(SettledWriteTests, aLostReplyIsSettledByReadingBack)
{
    service_.strike(Fault::LoseReply);
    service_.strikeReads(Fault::Limit);
    EXPECT_EQ(write("mine-1").verdict, Verdict::Applied);
    EXPECT_EQ(service_.writes(), 1);
}

// The writer's first try never reached the service's state. Reading back finds the key as it was, so the write is repeated.
TEST_F(SettledWriteTests, aLostRequestIsWrittenAgain)
{
    service_.strike(Fault::LoseRequest, 2);
    EXPECT_EQ(write("mine-1").verdict, Verdict::Applied);
    ASSERT_NE(service_.find("key"), nullptr);
    EXPECT_EQ(service_.find("key")->value, "mine-1");
}

// Two writers race. The first one's reply is lost, its read-back comes after the second one's success.
// The writer is told of a conflict and never takes the other's value for its own.
TEST_F(SettledWriteTests, anotherWritersValueIsAConflict)
{
    service_.strike(Fault::LoseRequest);
    service_.set("key", "theirs");
    const auto result = write("mine-1");
    EXPECT_EQ(result.verdict, Verdict::Conflict);
    EXPECT_EQ(result.entry.value().value, "theirs");
}

// The write is under way for so long that reading back finds the key as it was, and the writer writes again.
// The first write takes effect just before the second, which therefore meets a conflict: with the writer's own value.
// The writer reads back once more and learns that it succeeded, once.
TEST_F(SettledWriteTests, aConflictWithOurOwnLateWriteIsNoConflict)
{
    service_.strike(Fault::Late);
    const auto result = write("mine-1");
    EXPECT_EQ(result.verdict, Verdict::Applied);
    EXPECT_EQ(service_.find("key")->modifyIndex, result.entry.value().modifyIndex);
}

TEST_F(SettledWriteTests, theRateLimitIsWaitedOut)
{
    service_.strike(Fault::Limit, 3);
    EXPECT_EQ(write("mine-1").verdict, Verdict::Applied);
}

TEST_F(SettledWriteTests, theTimeIsBoundedAndAnOpenOutcomeIsNeverCalledARefusal)
{
    constexpr auto Limit = std::chrono::milliseconds(50);
    service_.strike(Fault::Limit, 1000);
    EXPECT_EQ(write("mine-1", 0, Limit).verdict, Verdict::Unavailable);
    service_.strike(Fault::LoseReply);
    service_.strikeReads(Fault::LoseRequest, 1000);
    EXPECT_EQ(write("mine-2", 0, Limit).verdict, Verdict::Unknown);
}

// Two holders ask for one lock; the first one's reply is lost. Only one of them gets it, with a fencing number above all before.
TEST_F(SettledWriteTests, aLockGoesToOneSessionWithItsFencingNumber)
{
    service_.set("lock", "free");
    const auto before = service_.find("lock")->modifyIndex;
    service_.strike(Fault::LoseReply);
    const auto first = acquire("session-a");
    EXPECT_EQ(first.verdict, Verdict::Applied);
    EXPECT_GT(first.entry.value().modifyIndex, before);
    EXPECT_EQ(acquire("session-b").verdict, Verdict::Conflict);
}
