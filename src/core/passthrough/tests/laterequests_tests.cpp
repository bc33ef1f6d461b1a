/// \file
/// Which requests an entry that is leaving accepts shortly before it exits.

#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr auto SlowService = "slow-engines";
constexpr auto SlowServer = "s1";
constexpr Duration RouteTimeout = std::chrono::seconds(15);
constexpr Duration Short = std::chrono::milliseconds(300);
constexpr Duration LongerThanLeft = std::chrono::seconds(6);
constexpr Duration ExitAfter = std::chrono::milliseconds(7700);
constexpr Duration JudgedAfter = std::chrono::seconds(3);
constexpr Duration TimeLeft = ExitAfter - JudgedAfter;

auto configurationWith(std::uint64_t version, const std::vector<Share> &shares, Duration timeout = RouteTimeout) -> Configuration
{
    auto configuration = makeConfiguration(version);
    configuration.services.push_back({ .name = SlowService, .batchSlots = 2000, .cacheTokens = 292'000 });
    for (auto &route : configuration.routes) {
        route.timeout = timeout;
        if (route.name == "/check/") {
            route.shares = shares;
        }
    }
    return configuration;
}

class LeavingEntry
{
public:
    explicit LeavingEntry(const std::vector<Share> &shares = { { .service = "engines" } }, Duration timeout = RouteTimeout)
    {
        auto servers = makeServers();
        servers.push_back(makeServer(SlowServer, SlowService, 2000));
        std::for_each(servers.begin(), servers.end(), [](Server &each) { each.slots = 2000; });
        harness.apply(ConfigurationAdopted{ configurationWith(2, shares, timeout) });
        harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
    }

    auto request() -> RequestArrived
    {
        auto call = harness.request(CheckPath);
        call.callerId = "attempt-" + std::to_string(static_cast<std::uint64_t>(call.request));
        return call;
    }

    auto begin(const RequestArrived &call) -> std::optional<Send>
    {
        auto sent = find<Send>(harness.apply(call));
        if (sent) {
            harness.apply(AttemptStarted{ .attempt = sent->attempt, .isForwarded = true });
        }
        return sent;
    }

    auto finish(const std::vector<Send> &sends) -> void
    {
        for (const auto &sent : sends) {
            harness.apply(AttemptFinished{ .attempt = sent.attempt });
        }
    }

    auto serve(std::size_t requests, Duration time) -> void
    {
        std::vector<Send> sends;
        for (std::size_t i = 0; i < requests; ++i) {
            sends.push_back(*begin(request()));
        }
        harness.advance(time);
        finish(sends);
    }

    /// Serves the streams of the slow server in a longer time than the others.
    /// \return the last of the slow streams
    auto serveSplit(std::size_t requests) -> std::string
    {
        std::string lastSlow;
        std::vector<Send> fast;
        std::vector<Send> slow;
        for (std::size_t i = 0; i < requests; ++i) {
            const auto call = request();
            const auto sent = *begin(call);
            lastSlow = sent.server == SlowServer ? call.callerId : lastSlow;
            (sent.server == SlowServer ? slow : fast).push_back(sent);
        }
        harness.advance(Short);
        finish(fast);
        harness.advance(LongerThanLeft - Short);
        finish(slow);
        return lastSlow;
    }

    auto receiveSignal() -> void
    {
        harness.apply(LeavingStarted{ .lateFrom = harness.now() + std::chrono::milliseconds(2800), .exitAt = harness.now() + ExitAfter });
    }

    /// Gets the termination signal, and comes to the time from which late requests are judged.
    auto leave() -> void
    {
        receiveSignal();
        harness.advance(JudgedAfter);
    }

    RouterHarness harness;
};

auto splitShares() -> std::vector<Share>
{
    return { { .service = "engines" }, { .service = SlowService } };
}

} // namespace

/// Guards against late requests that are refused although they end before the exit whatever their server does.
TEST(LateRequestsTests, aRequestWhoseTimeLimitEndsBeforeTheExitIsAccepted)
{
    LeavingEntry entry;
    entry.leave();
    auto call = entry.request();
    call.deadline = TimeLeft;
    EXPECT_TRUE(entry.begin(call));
}

/// Guards against requests that are taken late and cut off without an answer at the exit, those among them that may run once: their servers are
/// slower than what is left.
RC_GTEST_PROP(LateRequestsTests, eachLateRequestGetsAnAnswerBeforeTheExitThoughItsServerIsSilent, ())
{
    LeavingEntry entry;
    const auto exitAt = entry.harness.now() + ExitAfter;
    entry.receiveSignal();
    entry.harness.advance(std::chrono::milliseconds(*rc::gen::inRange(2800, 7650)));
    auto call = entry.harness.request(*rc::gen::element<std::string>(NoticePath, FetchPath, CheckPath, QuotePath));
    call.deadline = std::chrono::milliseconds(*rc::gen::inRange(20, 16'000));
    auto actions = entry.harness.apply(call);
    while (count<Refuse>(actions) == 0 && entry.harness.now() < exitAt) {
        actions = entry.harness.advance(std::chrono::milliseconds(20));
    }
    RC_ASSERT(count<Refuse>(actions) == 1U);
    RC_ASSERT(find<Refuse>(actions)->request == call.request);
}

/// Guards against streams that are cut off because servers slow down after a request was accepted by the time of those before it.
TEST(LateRequestsTests, aRequestWhoseTimeLimitEndsAfterTheExitIsRefusedHoweverShortItsRouteWas)
{
    LeavingEntry entry;
    entry.serve(100, Short);
    entry.harness.advance(LongerThanLeft);
    entry.leave();
    auto call = entry.request();
    call.deadline = TimeLeft + std::chrono::milliseconds(1);
    EXPECT_FALSE(entry.begin(call));
}

/// Guards against responses that are cut off at callers whose own entry is not leaving: it forwards the request to an entry that is.
TEST(LateRequestsTests, aForwardedRequestIsRefusedFromTheSignalOnUnlessItsTimeEndsBeforeTheExit)
{
    LeavingEntry entry;
    entry.receiveSignal();
    auto call = entry.request();
    call.forwardedSends = 0;
    const auto refused = find<Refuse>(entry.harness.apply(call));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason, Reason::Draining);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    auto shortCall = entry.request();
    shortCall.forwardedSends = 0;
    shortCall.deadline = ExitAfter;
    EXPECT_TRUE(entry.begin(shortCall));
    EXPECT_TRUE(entry.begin(entry.request())) << "a caller that holds the address of the entry";
}

/// Guards against a split route of which one service refuses what arrives late, although its time limit ends before the exit.
TEST(LateRequestsTests, lateRequestsOfASplitRouteKeepTheSharesOfItsServices)
{
    LeavingEntry entry(splitShares());
    entry.serveSplit(400);
    entry.leave();
    auto toSlowService = 0;
    for (auto i = 0; i < 100; ++i) {
        auto call = entry.request();
        call.deadline = TimeLeft;
        const auto sent = entry.begin(call);
        ASSERT_TRUE(sent);
        toSlowService += sent->server == SlowServer ? 1 : 0;
    }
    EXPECT_GE(toSlowService, 30);
    EXPECT_LE(toSlowService, 70);
}

/// Guards against resumed streams that are cut off because they are judged by another service than the one that goes on with them.
TEST(LateRequestsTests, aResumedStreamIsJudgedByTheServiceThatItBeganAt)
{
    LeavingEntry entry(splitShares());
    const auto slowStream = entry.serveSplit(400);
    entry.leave();
    for (auto i = 0; i < 10; ++i) {
        auto call = entry.request();
        call.lastEventId = "1";
        call.resumedAttempt = slowStream;
        EXPECT_FALSE(entry.begin(call));
    }
}

/// Guards against streams that are cut off because only the rests of resumed ones are known.
TEST(LateRequestsTests, resumedStreamsDoNotShowHowLongAWholeOneTakes)
{
    LeavingEntry entry;
    std::vector<Send> sends;
    for (auto i = 0; i < 100; ++i) {
        auto call = entry.request();
        call.lastEventId = "1";
        call.origin = StreamOrigin{ .service = "engines" };
        call.forwardedSends = 1;
        sends.push_back(*entry.begin(call));
    }
    entry.harness.advance(Short);
    entry.finish(sends);
    entry.harness.advance(LongerThanLeft);
    entry.leave();
    EXPECT_FALSE(entry.begin(entry.request()));
}

/// Guards against streams that are cut off because quick rejections by their service were taken for short responses.
TEST(LateRequestsTests, rejectionsDoNotShowHowLongStreamsTake)
{
    LeavingEntry entry;
    for (auto i = 0; i < 100; ++i) {
        const auto sent = find<Send>(entry.harness.apply(entry.request()));
        entry.harness.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 404 });
    }
    entry.harness.advance(LongerThanLeft);
    entry.leave();
    EXPECT_FALSE(entry.begin(entry.request()));
}

/// Guards against streams that are cut off because those before them were ended at a shorter timeout of the route.
TEST(LateRequestsTests, responsesThatRanOutOfTimeDoNotShowHowLongOnesTakeWithMoreTime)
{
    LeavingEntry entry({ { .service = "engines" } }, std::chrono::seconds(2));
    for (auto i = 0; i < 30; ++i) {
        entry.begin(entry.request()); // runs until its deadline
    }
    entry.serve(100, Short);
    entry.harness.advance(LongerThanLeft);
    entry.harness.apply(ConfigurationAdopted{ configurationWith(3, { { .service = "engines" } }) });
    entry.leave();
    EXPECT_FALSE(entry.begin(entry.request()));
}

/// Guards against streams that are cut off because those before them were ended at the shorter deadline of their callers.
TEST(LateRequestsTests, shortDeadlinesOfOtherCallersDoNotShowHowLongResponsesTake)
{
    LeavingEntry entry;
    for (auto i = 0; i < 30; ++i) {
        auto call = entry.request();
        call.deadline = std::chrono::seconds(2);
        entry.begin(call); // runs until its deadline
    }
    entry.serve(100, Short);
    entry.harness.advance(LongerThanLeft);
    entry.leave();
    EXPECT_FALSE(entry.begin(entry.request()));
}
