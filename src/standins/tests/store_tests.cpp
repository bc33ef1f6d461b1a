#include "standins/platform/callrate.h"
#include "standins/platform/store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <stdexcept>

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

constexpr auto Ttl = std::chrono::seconds(10);

auto makeSession(Store &store) -> std::string
{
    return createSession(store, { .ttl = Ttl, .deletesKeys = true }, TimePoint());
}

} // namespace

RC_GTEST_PROP(StoreTests, ofConcurrentCasWritersExactlyOneWinsEachIndex, ())
{
    // Each writer read the key at some earlier time and writes with the index it saw. A write may succeed only if
    // nothing was written in between, so the number of versions is the number of successes.
    const auto writers = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    Store store;
    std::vector<std::uint64_t> seen = { 0 };
    for (const auto writer : writers) {
        const auto index = seen[writer % seen.size()];
        const bool isLatest = index == seen.back();
        RC_ASSERT(putValue(store, "key", "value", { .cas = index }) == isLatest);
        if (isLatest) {
            RC_ASSERT(findValue(store, "key")->modifyIndex > seen.back());
            seen.push_back(findValue(store, "key")->modifyIndex);
        }
    }
}

TEST(StoreTests, aTransactionWithOneFailedCheckChangesNothing)
{
    Store store;
    putValue(store, "a", "old", {});
    const auto before = store.index;
    const auto failed = runTransaction(store, { { .key = "a", .value = "new", .index = before }, { .key = "b", .value = "new", .index = before } });
    EXPECT_EQ(failed, std::vector<std::size_t>{ 1 });
    EXPECT_EQ(findValue(store, "a")->value, "old");
    EXPECT_EQ(findValue(store, "b"), nullptr);
    EXPECT_EQ(store.index, before);

    EXPECT_TRUE(runTransaction(store, { { .key = "a", .value = "new", .index = before }, { .key = "b", .value = "new", .index = 0 } }).empty());
    EXPECT_EQ(findValue(store, "a")->modifyIndex, findValue(store, "b")->modifyIndex);
}

TEST(StoreTests, aLockPassesOnlyWhenItsSessionEndsAndItsNumberOnlyGrows)
{
    // The first holder is paused: its session expires and its lock key goes. A second holder acquires the lock.
    // The first one wakes and still believes that it holds it: neither its renewal nor its release may succeed.
    Store store;
    const auto first = makeSession(store);
    const auto second = createSession(store, { .ttl = 3 * Ttl, .deletesKeys = true }, TimePoint());
    ASSERT_TRUE(putValue(store, "lock", "first", { .acquire = first }));
    const auto firstNumber = findValue(store, "lock")->modifyIndex;
    EXPECT_FALSE(putValue(store, "lock", "second", { .acquire = second }));

    expireSessions(store, TimePoint(Ttl));
    EXPECT_EQ(findValue(store, "lock"), nullptr);
    ASSERT_TRUE(putValue(store, "lock", "second", { .acquire = second }));
    EXPECT_GT(findValue(store, "lock")->modifyIndex, firstNumber);

    EXPECT_EQ(renewSession(store, first, TimePoint(Ttl)), nullptr);
    EXPECT_FALSE(putValue(store, "lock", "", { .release = first }));
    EXPECT_THROW(putValue(store, "lock", "first", { .acquire = first }), std::invalid_argument);
    EXPECT_EQ(findValue(store, "lock")->value, "second");
}

TEST(StoreTests, aRenewedSessionLivesOnFromItsRenewal)
{
    Store store;
    const auto session = makeSession(store);
    ASSERT_TRUE(putValue(store, "entry", "", { .acquire = session }));
    ASSERT_NE(renewSession(store, session, TimePoint(Ttl) - Duration(1)), nullptr);
    expireSessions(store, TimePoint(Ttl));
    EXPECT_NE(findValue(store, "entry"), nullptr);
    expireSessions(store, TimePoint(2 * Ttl));
    EXPECT_EQ(findValue(store, "entry"), nullptr);
}

TEST(StoreTests, aDeletionRaisesTheIndexOfItsKeyAndPrefix)
{
    Store store;
    putValue(store, "entries/a", "", {});
    const auto before = indexOfPrefix(store, "entries/");
    putValue(store, "other", "", {});
    EXPECT_EQ(indexOfPrefix(store, "entries/"), before);
    deleteValue(store, "entries/a", std::nullopt);
    EXPECT_GT(indexOfPrefix(store, "entries/"), before);
    EXPECT_GT(indexOfKey(store, "entries/a"), before);
}

TEST(CallRateTests, admitsTheRateAndOnceAQuarterOfASecondsCallsMore)
{
    CallRate rate{ .perSecond = 100 };
    const auto admitInSecond = [&](int second) {
        int admitted = 0;
        for (int millisecond = 0; millisecond < 1000; ++millisecond) {
            admitted += admitCall(rate, TimePoint(std::chrono::milliseconds(1000 * second + millisecond))) ? 1 : 0;
        }
        return admitted;
    };
    EXPECT_NEAR(admitInSecond(0), 125, 1);
    EXPECT_NEAR(admitInSecond(1), 100, 1);
}
