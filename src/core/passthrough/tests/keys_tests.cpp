#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

TEST(KeyTests, theRequestCarriesTheWorkspaceOfItsKey)
{
    RouterHarness harness;
    const auto sent = find<Send>(harness.arrive(FetchPath));
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->workspace, "roofers");
}

TEST(KeyTests, unknownKeysAndRoutesAreRefusedPermanently)
{
    RouterHarness harness;
    EXPECT_EQ(find<Refuse>(harness.arrive(FetchPath, "stolen"))->status, 401);
    EXPECT_EQ(find<Refuse>(harness.arrive("/nowhere/1"))->status, 404);
}

/// Guards against work for a withdrawn key. The entry is cut off from the store just before the key is withdrawn, so it does not learn
/// of it. After the freshness limit no key may be admitted, and the refusal states that nothing ran.
TEST(KeyTests, anEntryThatCannotConfirmItsConfigurationAdmitsNoKey)
{
    RouterHarness harness;
    harness.advanceSilently(std::chrono::milliseconds(4400));
    EXPECT_TRUE(find<Send>(harness.arrive(FetchPath)));
    harness.advanceSilently(std::chrono::milliseconds(200));
    const auto refused = find<Refuse>(harness.arrive(FetchPath));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason, Reason::StaleConfiguration);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
}

/// Guards against a final 404 or 401 for a valid request. The entry is cut off from the store and does not know the newest routes and
/// keys, so it must refuse the request with a temporary status.
TEST(KeyTests, anEntryThatCannotConfirmItsConfigurationRefusesTemporarily)
{
    RouterHarness harness;
    harness.advanceSilently(std::chrono::seconds(6));
    EXPECT_EQ(find<Refuse>(harness.arrive(FetchPath, "new-key"))->status, 503);
    EXPECT_EQ(find<Refuse>(harness.arrive("/new-route/1"))->status, 503);
}

/// Guards against work for a withdrawn key of a queued request. The key is withdrawn while the request waits for a free slot; when a
/// slot becomes free, the request must not be sent.
TEST(KeyTests, aQueuedRequestWithAWithdrawnKeyIsNotSent)
{
    RouterHarness harness;
    std::vector<AttemptId> attempts;
    std::optional<Refuse> refused;
    for (auto i = 0; i < 40; ++i) {
        if (const auto sent = find<Send>(harness.arrive(NoticePath))) {
            attempts.push_back(sent->attempt);
        }
    }
    ASSERT_LT(attempts.size(), 40U) << "some requests must stay queued";
    auto without = makeConfiguration(2);
    without.workspaces.front().keys = { "key-2" };
    harness.apply(ConfigurationAdopted{ without });
    const auto actions = harness.apply(AttemptAnswered{ .attempt = attempts.front(), .status = 200 });
    EXPECT_EQ(count<Send>(actions), 0U);
    EXPECT_EQ(find<Refuse>(actions)->reason, Reason::UnknownKey);
}

/// Guards against a new route that disappears again. A superseded read, or another entry, delivers an older version after a newer one;
/// it must be ignored.
TEST(KeyTests, anOlderConfigurationIsIgnored)
{
    RouterHarness harness;
    auto newer = makeConfiguration(5);
    newer.routes.push_back(makeRoute("/added/", Repeatability::Idempotent, 1));
    harness.apply(ConfigurationAdopted{ newer });
    harness.apply(ConfigurationAdopted{ makeConfiguration(4) });
    EXPECT_TRUE(find<Send>(harness.arrive("/added/1")));
    EXPECT_EQ(statusOf(harness.router(), harness.now()).configurationVersion, 5U);
}

TEST(KeyTests, anEntryWithoutAConfigurationRefusesTemporarily)
{
    const auto router = makeRouter({ .entry = "entry-1" });
    const auto actions = step(*router, RequestArrived{ .host = "quotes.example", .path = FetchPath }, TimePoint(std::chrono::hours(1)));
    EXPECT_EQ(find<Refuse>(actions)->status, 503);
    EXPECT_EQ(find<Refuse>(actions)->reason, Reason::NoConfiguration);
}

/// Guards against requests to the old service of a moved route. The entry knows of the newer configuration but can't fetch it. After the
/// tolerated time it must refuse all requests, with or without a key, with a retry delay, since other entries have the new version.
TEST(KeyTests, anEntryWhoseConfigurationIsOverdueAdmitsNothing)
{
    RouterHarness harness;
    auto open = makeConfiguration(2);
    open.routes.push_back(makeRoute("/open/", Repeatability::Idempotent, 1));
    open.routes.back().needsKey = false;
    harness.apply(ConfigurationAdopted{ open });
    harness.apply(ConfigurationOutdated{ .since = harness.now() });
    harness.advance(std::chrono::milliseconds(1100));
    EXPECT_TRUE(find<Send>(harness.arrive("/open/1", "")));
    harness.advance(std::chrono::milliseconds(200));
    for (const auto &[path, key] : { std::pair("/open/1", ""), std::pair(FetchPath, "key-1") }) {
        const auto refused = find<Refuse>(harness.arrive(path, key));
        ASSERT_TRUE(refused) << path;
        EXPECT_EQ(refused->reason, Reason::StaleConfiguration);
        EXPECT_EQ(refused->outcome, Outcome::NotRun);
        EXPECT_TRUE(refused->retryAfter);
    }
    harness.apply(ConfigurationOutdated{});
    EXPECT_TRUE(find<Send>(harness.arrive("/open/1", "")));
}

/// Guards against a final refusal for a route or key that was just added. The entry knows of the newer configuration and is about to
/// fetch it; until then it must refuse temporarily.
TEST(KeyTests, anEntryThatIsAboutToFetchAConfigurationRefusesTemporarily)
{
    RouterHarness harness;
    harness.apply(ConfigurationOutdated{ .since = harness.now() });
    EXPECT_EQ(find<Refuse>(harness.arrive(FetchPath, "new-key"))->status, 503);
    EXPECT_EQ(find<Refuse>(harness.arrive("/new-route/1"))->status, 503);
}
