// Guards against routing by a configuration that is known to be outdated. Operators wrote a configuration that moved a route to another
// service, and it was acknowledged. Sixty entries on narrow links learned at once that a newer configuration existed but could not fetch it.
// Seconds later they refused requests with a key, as their configuration was no longer confirmed, but kept sending requests without a key to
// the old service. An entry that receives nothing may be cut off from the store, and keeps serving by the configuration it has; these entries
// knew that theirs was outdated. Two requests without a key, 3.1 and 3.3 s after the acknowledgement, were routed by version 8 although
// version 10 was in force. The entries' log just before:
//
//     dependency-lost, ask-directory: receive 10.1.0.39:7180: timeout
//     readiness-changed, configuration not confirmed

#include "gateway/clock.h"
#include "gateway/tests/followingentry.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::gateway;
using gateway::tests::FollowingEntry;
using http::tests::runUntil;

namespace
{

/// Longer than the time within which a configuration has to be in force, 2 s, plus two queries without a response. The router's tests check
/// that time in virtual time; here the value only bounds how long a test observes that nothing happens.
constexpr Duration InForce = std::chrono::seconds(4);

} // namespace

TEST(OverdueConfigurationTests, anEntryThatKnowsOfANewerConfigurationStopsRoutingByTheOldOne)
{
    FollowingEntry entry;
    EXPECT_FALSE(entry.isOutOfDate());
    entry.offer(2);
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return entry.isOutOfDate(); }));
    const auto refused = entry.requestWithoutKey();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_TRUE(refused->retryAfter) << "another entry has it";

    entry.reader.sendsParts = true;
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return !entry.isOutOfDate(); }));
    EXPECT_EQ(passthrough::statusOf(*entry.router, now()).configurationVersion, 2U);
}

/// The store is unavailable and no entry knows of a newer configuration: requests that need no key are served, however long the outage lasts.
TEST(OverdueConfigurationTests, anEntryThatKnowsOfNoNewerConfigurationKeepsServing)
{
    FollowingEntry entry;
    EXPECT_FALSE(runUntil(
        entry.loop, [&]() { return entry.isOutOfDate(); }, InForce));
}

/// Operators wrote an older version again, and an entry that started afterwards has it in force. The others keep the newer version, as
/// versions never go back. They have read the offered document, so the offer does not make their configuration outdated.
TEST(OverdueConfigurationTests, anOlderVersionWrittenAgainStopsNoEntry)
{
    FollowingEntry entry(5);
    entry.reader.sendsParts = true;
    entry.offer(3);
    EXPECT_FALSE(runUntil(
        entry.loop, [&]() { return entry.isOutOfDate(); }, InForce));
    EXPECT_EQ(passthrough::statusOf(*entry.router, now()).configurationVersion, 5U);
}
