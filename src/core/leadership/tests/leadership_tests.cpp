#include "core/base/tests/findaction.h"
#include "core/leadership/leadership.h"

#include <gtest/gtest.h>

#include <optional>

using namespace auburnspread;
using namespace auburnspread::leadership;
using auburnspread::tests::findAction;

namespace
{

using namespace std::chrono_literals;

/// One entry; the test supplies the answers of the store.
class Entry
{
public:
    auto apply(const Event &event) -> Actions
    {
        return step(state_, event, now_);
    }
    auto pass(Duration duration) -> Actions
    {
        now_ += duration;
        return apply(Tick{});
    }
    /// Makes the entry lead with \p token.
    auto lead(std::uint64_t token) -> void
    {
        auto actions = apply(EligibilityChanged{ .isEligible = true });
        actions = apply(ClaimRead{ .call = findAction<ReadClaim>(actions).value().call });
        actions = apply(LeaseAcquired{ .call = findAction<AcquireLease>(actions).value().call, .lease = 5, .lifetime = 3s });
        actions = apply(ClaimWritten{ .call = findAction<WriteClaim>(actions).value().call, .revision = { .number = token } });
        apply(LeaseRenewed{ .call = findAction<RenewLease>(actions).value().call });
    }
    [[nodiscard]] auto token() const -> std::optional<std::uint64_t>
    {
        return currentToken(state_, now_);
    }

private:
    State state_ = makeState({ .entry = "e1", .incarnation = 1 });
    TimePoint now_ = TimePoint(1h);
};

} // namespace

TEST(LeadershipTests, theRevisionOfTheClaimIsTheToken)
{
    Entry entry;
    EXPECT_FALSE(entry.token());
    entry.lead(17);
    EXPECT_EQ(entry.token(), 17U);
}

/// Guards against a leader that is suspended for longer than its lease and continues when it resumes.
TEST(LeadershipTests, aSuspendedLeaderDoesNotActAfterItsLease)
{
    Entry entry;
    entry.lead(17);
    entry.pass(100ms);
    EXPECT_TRUE(entry.token());
    const auto actions = entry.pass(4s);
    EXPECT_FALSE(entry.token());
    EXPECT_EQ(findAction<TermEnded>(actions).value().reason, TermEnd::LeaseEnded);
}

/// Guards against actions between the resumption of a suspended leader and its first tick.
TEST(LeadershipTests, thereIsNoTokenOnceTheLeaseMayHaveEnded)
{
    Entry entry;
    entry.lead(17);
    entry.pass(1s);
    EXPECT_TRUE(entry.token());
    entry.pass(1500ms);
    EXPECT_FALSE(entry.token()) << "the lease of 3 seconds was last renewed 2.5 seconds ago";
}

/// Guards against two entries that lead alternately (A, B, A): the cooldown after a term is longer than the others need to notice the next
/// leader.
TEST(LeadershipTests, anEntryWaitsForTheCooldownBeforeItLeadsAgain)
{
    Entry entry;
    entry.lead(17);
    EXPECT_TRUE(findAction<TermEnded>(entry.apply(TokenRefused{ .token = 17 })));
    EXPECT_TRUE(entry.pass(5900ms).empty());
    EXPECT_TRUE(findAction<ReadClaim>(entry.pass(200ms)));
}

TEST(LeadershipTests, aLeavingLeaderReleasesItsLeaseAtOnce)
{
    Entry entry;
    entry.lead(17);
    const auto actions = entry.apply(EligibilityChanged{ .isEligible = false });
    EXPECT_EQ(findAction<TermEnded>(actions).value().reason, TermEnd::Leaving);
    EXPECT_EQ(findAction<EndLease>(actions).value().lease, 5U);
}

/// Guards against a second token for one claim when the write was executed but its answer was lost.
TEST(LeadershipTests, aClaimWhoseAnswerWasLostIsFoundByReading)
{
    Entry entry;
    auto actions = entry.apply(EligibilityChanged{ .isEligible = true });
    actions = entry.apply(ClaimRead{ .call = findAction<ReadClaim>(actions).value().call });
    actions = entry.apply(LeaseAcquired{ .call = findAction<AcquireLease>(actions).value().call, .lease = 5, .lifetime = 3s });
    const auto write = findAction<WriteClaim>(actions).value();
    actions = entry.apply(CallFailed{ .call = write.call, .failure = CallFailure::Unknown });
    entry.apply(ClaimRead{
        .call = findAction<ReadClaim>(actions).value().call, .claim = write.claim, .claimRevision = { .number = 21 }, .storeRevision = { .number = 30 } });
    EXPECT_EQ(entry.token(), 21U);
}

/// Guards against an entry that treats the claim of its previous incarnation as its own.
TEST(LeadershipTests, aClaimOfAnEarlierIncarnationIsNotOwn)
{
    Entry entry;
    auto actions = entry.apply(EligibilityChanged{ .isEligible = true });
    const Claim earlier{ .entry = "e1", .incarnation = 0, .attempt = 1 };
    actions = entry.apply(ClaimRead{
        .call = findAction<ReadClaim>(actions).value().call, .claim = earlier, .claimRevision = { .number = 21 }, .storeRevision = { .number = 30 } });
    EXPECT_FALSE(entry.token());
    EXPECT_EQ(findAction<WatchClaim>(actions).value().revision.number, 30U);
}

TEST(LeadershipTests, anUnavailableStoreEndsATermAndGetsFewCalls)
{
    Entry entry;
    entry.lead(17);
    auto calls = 0;
    for (auto i = 0; i < 100; ++i) {
        for (const auto &action : entry.pass(100ms)) {
            if (const auto *renew = std::get_if<RenewLease>(&action)) {
                calls += 1;
                entry.apply(CallFailed{ .call = renew->call, .failure = CallFailure::Unknown });
            } else if (const auto *read = std::get_if<ReadClaim>(&action)) {
                calls += 1;
                entry.apply(CallFailed{ .call = read->call, .failure = CallFailure::Refused });
            }
        }
    }
    EXPECT_FALSE(entry.token());
    EXPECT_LE(calls, 20);
}
