#include "wire/http/tests/exchange.h"
#include "wire/platform/lease.h"
#include "wire/platform/tests/fakestore.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

using namespace auburnspread;
using http::tests::runUntil;
using platform::tests::Fault;

namespace
{

constexpr auto LongLifetime = std::chrono::seconds(60);
constexpr auto Margin = std::chrono::milliseconds(50);

class LeaseTests : public testing::Test
{
protected:
    auto makeLease(Duration lifetime) -> std::unique_ptr<platform::Lease>
    {
        const platform::LeaseOptions options{ .name = "test",
                                              .lifetime = lifetime,
                                              .margin = Margin,
                                              .renewalsPerLifetime = static_cast<int>(lifetime / std::chrono::milliseconds(20)),
                                              .backoff = { .least = std::chrono::milliseconds(2), .most = std::chrono::milliseconds(20) } };
        return std::make_unique<platform::Lease>(loop_,
                                                 store_,
                                                 options,
                                                 platform::LeaseCallbacks{ .onHeld = [this]() { events_.emplace_back("held"); },
                                                                           .onLapsed = [this]() { events_.emplace_back("lapsed"); },
                                                                           .onLost = [this]() { events_.emplace_back("lost"); } });
    }

    auto waitFor(const std::string &event) -> bool
    {
        return runUntil(loop_, [&]() { return !events_.empty() && events_.back() == event; });
    }

    task::EventLoop loop_;
    platform::tests::FakeStore service_{ loop_ };
    platform::Store store_{ loop_, { .address = service_.address(), .timeout = std::chrono::seconds(20) } };
    std::vector<std::string> events_;
};

} // namespace

TEST_F(LeaseTests, renewalsMoveTheEndOfTheLeaseUntilItIsReleased)
{
    const auto lease = makeLease(LongLifetime);
    ASSERT_TRUE(waitFor("held"));
    const auto first = lease->heldUntil();
    EXPECT_TRUE(runUntil(loop_, [&]() { return lease->heldUntil() > first; }));
    EXPECT_TRUE(lease->isHeld(task::monotonicNow()));
    bool isReleased = false;
    lease->release([&](const platform::WriteResult &) { isReleased = true; });
    EXPECT_FALSE(lease->isHeld(task::monotonicNow()));
    EXPECT_TRUE(runUntil(loop_, [&]() { return isReleased; }));
}

// The holder is paused for longer than its lease and wakes up believing nothing has happened: no timer has fired yet.
// Before it acts it asks isHeld() with the time of now, which says no, although the last it heard is that it holds the lease.
TEST_F(LeaseTests, aPausedHolderSeesThatItsLeaseHasLapsed)
{
    const auto lease = makeLease(LongLifetime);
    ASSERT_TRUE(waitFor("held"));
    const auto wakeUp = lease->heldUntil();
    EXPECT_TRUE(lease->isHeld(wakeUp - Duration(1)));
    EXPECT_FALSE(lease->isHeld(wakeUp));
}

// The answer to a renewal is slow on its way. The service counts from when it got the call, so the time that the answer
// travelled is not ours: the lease counts from before the call was sent.
TEST_F(LeaseTests, theTimeCountsFromBeforeTheCallWasSent)
{
    service_.strike(Fault::Silence);
    const auto lease = makeLease(LongLifetime);
    ASSERT_TRUE(runUntil(loop_, [&]() { return service_.silencedCalls() == 1; }));
    const auto answeredAt = task::monotonicNow();
    service_.answerSilenced();
    ASSERT_TRUE(waitFor("held"));
    EXPECT_LT(lease->heldUntil(), answeredAt + LongLifetime - Margin);
}

// The service is out for longer than the lease. The lease lapses by our own clock; when the service answers again and still
// knows the session, the lease is held again under the same session, because nobody else can have had its keys.
TEST_F(LeaseTests, anOutageLapsesTheLeaseAndTheSameSessionIsHeldAfterIt)
{
    const auto lease = makeLease(std::chrono::milliseconds(200));
    ASSERT_TRUE(waitFor("held"));
    const auto session = lease->session();
    service_.strike(Fault::LoseRequest, 1'000'000);
    ASSERT_TRUE(waitFor("lapsed"));
    EXPECT_FALSE(lease->isHeld(task::monotonicNow()));
    service_.strike(Fault::None, 0);
    ASSERT_TRUE(waitFor("held"));
    EXPECT_EQ(lease->session(), session);
}

// The service ended the session. The holder hears of the loss before it holds anything again, under a new session.
TEST_F(LeaseTests, aLostSessionIsReplacedByANewOne)
{
    const auto lease = makeLease(LongLifetime);
    ASSERT_TRUE(waitFor("held"));
    const auto session = lease->session();
    service_.expireSessions();
    ASSERT_TRUE(runUntil(loop_, [&]() { return events_.size() == 3; }));
    EXPECT_EQ(events_, (std::vector<std::string>{ "held", "lost", "held" }));
    EXPECT_NE(lease->session(), session);
}
