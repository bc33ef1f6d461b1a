/// \file
/// What becomes of the requests that an entry still has when it exits.

#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

class ExitingEntry
{
public:
    /// The requests of all routes may take 15 s.
    ExitingEntry()
    {
        auto configuration = makeConfiguration(2);
        for (auto &route : configuration.routes) {
            route.timeout = std::chrono::seconds(15);
        }
        harness.apply(ConfigurationAdopted{ configuration });
        harness.apply(LeavingStarted{ .lateFrom = harness.now() + std::chrono::milliseconds(2800), .exitAt = harness.now() + std::chrono::milliseconds(7700) });
    }

    auto loseServers() -> void
    {
        harness.apply(ServersListed{ .servers = {}, .asOf = harness.now() });
    }

    RouterHarness harness;
};

} // namespace

/// Guards against requests that wait for a server until the entry exits and get no response.
TEST(ExitingTests, aRequestThatWaitsIsRefusedAsNotRunWhenTheEntryCloses)
{
    ExitingEntry entry;
    entry.loseServers();
    ASSERT_TRUE(entry.harness.arrive(FetchPath).empty());
    const auto refused = find<Refuse>(entry.harness.apply(ClosingStarted{}));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason, Reason::Draining);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->retryAfter);
}

/// Guards against a refusal of requests that end before the exit whatever happens.
TEST(ExitingTests, aRequestThatWaitsGoesOnWaitingIfItsTimeEndsBeforeTheExit)
{
    ExitingEntry entry;
    entry.loseServers();
    auto call = entry.harness.request(FetchPath);
    call.deadline = std::chrono::seconds(7);
    ASSERT_TRUE(entry.harness.apply(call).empty());
    EXPECT_FALSE(find<Refuse>(entry.harness.apply(ClosingStarted{})));
}

/// Guards against requests that begin to wait after the entry has closed, because their server was lost.
TEST(ExitingTests, aRequestThatLosesItsServerAfterTheEntryClosedIsNotLeftWaiting)
{
    ExitingEntry entry;
    const auto sent = find<Send>(entry.harness.arrive(FetchPath));
    ASSERT_TRUE(sent);
    entry.harness.apply(ClosingStarted{});
    entry.loseServers();
    entry.harness.apply(AttemptFailed{ .attempt = sent->attempt, .failure = Failure::ConnectFailed });
    const auto refused = find<Refuse>(entry.harness.apply(Tick{}));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
}

/// Guards against closed connections without a response, and against a promise that a request did not run which a server works on.
TEST(ExitingTests, aRequestWithoutAResponseGetsOneBeforeTheExit)
{
    for (const auto *path : { FetchPath, NoticePath, CheckPath }) {
        ExitingEntry entry;
        const auto sent = find<Send>(entry.harness.arrive(path));
        ASSERT_TRUE(sent) << path;
        const auto actions = entry.harness.apply(ExitStarted{});
        EXPECT_TRUE(find<Cancel>(actions)) << path;
        const auto refused = find<Refuse>(actions);
        ASSERT_TRUE(refused) << path;
        EXPECT_EQ(refused->outcome, Outcome::MayHaveRun) << path;
        EXPECT_EQ(refused->status, 502) << path;
        EXPECT_FALSE(refused->retryAfter) << path;
    }
}

/// Guards against streams that are broken off before they have to be.
TEST(ExitingTests, aBegunStreamGoesOnUntilTheExit)
{
    ExitingEntry entry;
    const auto sent = find<Send>(entry.harness.arrive(CheckPath));
    ASSERT_TRUE(sent);
    entry.harness.apply(AttemptStarted{ .attempt = sent->attempt, .isForwarded = true });
    EXPECT_TRUE(entry.harness.apply(ExitStarted{}).empty());
    EXPECT_TRUE(find<Complete>(entry.harness.apply(AttemptFinished{ .attempt = sent->attempt })));
}
