#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

TEST(KeyTests, theWorkspaceOfTheKeyGoesWithTheRequest)
{
    World world;
    const auto sent = find<Send>(world.arrive(FetchPath));
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->workspace, "roofers");
}

TEST(KeyTests, unknownKeysAndRoutesAreRefusedForGood)
{
    World world;
    EXPECT_EQ(find<Refuse>(world.arrive(FetchPath, "stolen"))->status, 401);
    EXPECT_EQ(find<Refuse>(world.arrive("/nowhere/1"))->status, 404);
}

/// What an operator sees: a key that was taken away still runs work. The entry is cut off from the store just before the
/// key goes, so it never hears of it. Past the freshness bound no key may pass, and the caller is told that nothing ran.
TEST(KeyTests, anEntryThatCannotConfirmItsConfigurationAdmitsNoKey)
{
    World world;
    world.passSilently(std::chrono::milliseconds(4400));
    EXPECT_TRUE(find<Send>(world.arrive(FetchPath)));
    world.passSilently(std::chrono::milliseconds(200));
    const auto refused = find<Refuse>(world.arrive(FetchPath));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason, Reason::StaleConfiguration);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
}

/// What a caller sees: a proper request is answered 404 or 401 for good. The entry is cut off from the store and does not
/// know the newest routes and keys; it must say "later", not "never".
TEST(KeyTests, anEntryThatCannotConfirmItsConfigurationDoesNotDenyForGood)
{
    World world;
    world.passSilently(std::chrono::seconds(6));
    EXPECT_EQ(find<Refuse>(world.arrive(FetchPath, "new-key"))->status, 503);
    EXPECT_EQ(find<Refuse>(world.arrive("/new-route/1"))->status, 503);
}

/// What an operator sees: a key that was taken away runs work that had waited. A request waits for a place while its key
/// goes; when a place becomes free it must not be sent.
TEST(KeyTests, aWaitingRequestWhoseKeyIsTakenAwayIsNotSent)
{
    World world;
    std::vector<AttemptId> attempts;
    std::optional<Refuse> refused;
    for (auto i = 0; i < 40; ++i) {
        if (const auto sent = find<Send>(world.arrive(NoticePath))) {
            attempts.push_back(sent->attempt);
        }
    }
    ASSERT_LT(attempts.size(), 40U) << "some must wait";
    auto without = makeConfiguration(2);
    without.workspaces.front().keys = { "key-2" };
    world.apply(ConfigurationAdopted{ without });
    const auto actions = world.apply(AttemptAnswered{ .attempt = attempts.front(), .status = 200 });
    EXPECT_EQ(count<Send>(actions), 0U);
    EXPECT_EQ(find<Refuse>(actions)->reason, Reason::UnknownKey);
}

/// What a caller sees: a route that was there a moment ago is gone again. A read that was overtaken, or another entry,
/// delivers an older version after a newer one; it must change nothing.
TEST(KeyTests, anOlderConfigurationNeverComesBack)
{
    World world;
    auto newer = makeConfiguration(5);
    newer.routes.push_back(makeRoute("/added/", Repeatability::Idempotent, 1));
    world.apply(ConfigurationAdopted{ newer });
    world.apply(ConfigurationAdopted{ makeConfiguration(4) });
    EXPECT_TRUE(find<Send>(world.arrive("/added/1")));
    EXPECT_EQ(statusOf(world.router(), world.now()).configurationVersion, 5U);
}

TEST(KeyTests, anEntryWithoutAConfigurationRefusesForNow)
{
    const auto router = makeRouter({ .entry = "entry-1" });
    const auto actions = step(*router, RequestArrived{ .host = "quotes.example", .path = FetchPath }, TimePoint(std::chrono::hours(1)));
    EXPECT_EQ(find<Refuse>(actions)->status, 503);
    EXPECT_EQ(find<Refuse>(actions)->reason, Reason::NoConfiguration);
}

/// What an operator sees: a route that was moved to another service is still served by the old one, at an entry that knows better. It
/// has heard of the newer configuration, and the document does not come. After its patience it routes nothing by the old one, with a key
/// or without, and tells callers to come back: the other entries have it.
TEST(KeyTests, anEntryWhoseConfigurationIsOverdueAdmitsNothing)
{
    World world;
    auto open = makeConfiguration(2);
    open.routes.push_back(makeRoute("/open/", Repeatability::Idempotent, 1));
    open.routes.back().needsKey = false;
    world.apply(ConfigurationAdopted{ open });
    world.apply(ConfigurationOutdated{ .since = world.now() });
    world.pass(std::chrono::milliseconds(1100));
    EXPECT_TRUE(find<Send>(world.arrive("/open/1", "")));
    world.pass(std::chrono::milliseconds(200));
    for (const auto &[path, key] : { std::pair("/open/1", ""), std::pair(FetchPath, "key-1") }) {
        const auto refused = find<Refuse>(world.arrive(path, key));
        ASSERT_TRUE(refused) << path;
        EXPECT_EQ(refused->reason, Reason::StaleConfiguration);
        EXPECT_EQ(refused->outcome, Outcome::NotRun);
        EXPECT_TRUE(refused->retryAfter);
    }
    world.apply(ConfigurationOutdated{});
    EXPECT_TRUE(find<Send>(world.arrive("/open/1", "")));
}

/// What a caller sees: a route or a key that was added a moment ago is denied for good. The entry has heard of the configuration that
/// has it and is about to fetch it; until then it says "later".
TEST(KeyTests, anEntryThatIsAboutToFetchAConfigurationDoesNotDenyForGood)
{
    World world;
    world.apply(ConfigurationOutdated{ .since = world.now() });
    EXPECT_EQ(find<Refuse>(world.arrive(FetchPath, "new-key"))->status, 503);
    EXPECT_EQ(find<Refuse>(world.arrive("/new-route/1"))->status, 503);
}
