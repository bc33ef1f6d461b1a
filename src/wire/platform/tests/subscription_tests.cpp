#include "wire/http/tests/exchange.h"
#include "wire/platform/subscription.h"
#include "wire/platform/tests/fakestore.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace auburnspread;
using http::tests::runUntil;
using platform::tests::Fault;

namespace
{

class SubscriptionTests : public testing::Test
{
protected:
    auto subscribe() -> platform::KeySubscription
    {
        return platform::subscribeToKey(loop_, store_, "key", options_, [this](const platform::Snapshot &snapshot) {
            seen_.push_back(snapshot.entries.empty() ? "absent" : snapshot.entries.front().value);
        });
    }

    task::EventLoop loop_;
    platform::tests::FakeStore service_{ loop_ };
    platform::Store store_{ loop_, { .address = service_.address(), .timeout = std::chrono::seconds(20) } };
    platform::SubscriptionOptions options_{ .wait = std::chrono::seconds(1),
                                            .backoff = { .least = std::chrono::milliseconds(2), .most = std::chrono::milliseconds(20) } };
    std::vector<std::string> seen_;
};

} // namespace

TEST_F(SubscriptionTests, theFirstStateAndEveryChangeAreSeenWithOneWaitingCall)
{
    const auto subscription = subscribe();
    ASSERT_TRUE(runUntil(loop_, [&]() { return service_.waitingCalls() == 1; }));
    service_.set("key", "1");
    ASSERT_TRUE(runUntil(loop_, [&]() { return seen_.size() == 2 && service_.waitingCalls() == 1; }));
    service_.set("key", "2");
    ASSERT_TRUE(runUntil(loop_, [&]() { return seen_.size() == 3 && service_.waitingCalls() == 1; }));
    EXPECT_EQ(seen_, (std::vector<std::string>{ "absent", "1", "2" }));
    EXPECT_TRUE(subscription->lastAnswer());
}

// The service is out for a while. The subscriber keeps what it saw, asks again after growing pauses,
// and sees the change that was made meanwhile.
TEST_F(SubscriptionTests, anOutageIsBridgedAndTheChangeSeenAfterIt)
{
    service_.set("key", "1");
    const auto subscription = subscribe();
    ASSERT_TRUE(runUntil(loop_, [&]() { return service_.waitingCalls() == 1; }));
    service_.strikeReads(Fault::LoseReply, 5);
    service_.set("key", "2"); // answers the waiting call; the next ones fail
    ASSERT_TRUE(runUntil(loop_, [&]() { return subscription->lastFailure().has_value(); }));
    EXPECT_EQ(seen_.back(), "2");
    service_.set("key", "3");
    ASSERT_TRUE(runUntil(loop_, [&]() { return seen_.back() == "3"; }));
    EXPECT_FALSE(subscription->lastFailure());
}

TEST_F(SubscriptionTests, anEndedSubscriptionIsNotHeardOfAgain)
{
    auto subscription = subscribe();
    ASSERT_TRUE(runUntil(loop_, [&]() { return service_.waitingCalls() == 1; }));
    subscription.reset();
    service_.set("key", "1");
    const auto vms = platform::subscribeToVms(loop_, store_, options_, [&](const platform::VmList &list) { seen_.push_back(list.vms.front().name); });
    ASSERT_TRUE(runUntil(loop_, [&]() { return seen_.size() == 2; }));
    EXPECT_EQ(seen_, (std::vector<std::string>{ "absent", "vm-1" }));
}
