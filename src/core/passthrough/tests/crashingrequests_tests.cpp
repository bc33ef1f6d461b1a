#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr std::uint32_t Engines = 12;
/// Servers that one request may crash before no entry sends it any more.
constexpr std::size_t MaxCrashes = 3;

auto makeEngines(const std::set<std::string> &absent = {}) -> std::vector<Server>
{
    std::vector<Server> servers;
    for (std::uint32_t i = 0; i < Engines; ++i) {
        const auto id = "e" + std::to_string(i);
        if (!absent.contains(id)) {
            servers.push_back(makeServer(id, "engines", 32));
        }
    }
    return servers;
}

/// Part of a response that arrives before the connection ends.
enum class Part {
    Nothing,
    Head,
    Events,
};

/// Sends an event that the attempt failed because the connection ended after this part of the response.
auto breakAfter(RouterHarness &harness, AttemptId attempt, Part part) -> Actions
{
    if (part == Part::Events) {
        harness.apply(AttemptStarted{ .attempt = attempt, .isForwarded = true });
        harness.apply(AttemptProgress{ .attempt = attempt, .events = 3 });
    }
    return harness.apply(AttemptFailed{
        .attempt = attempt,
        .failure = part == Part::Nothing ? Failure::BrokenBeforeFirstByte : Failure::BrokenStream,
        .answerBegun = part == Part::Events,
        .lastEventId = part == Part::Events ? "3" : "",
    });
}

/// A caller repeats a request that crashes each server that runs it, after this part of the response. The crashed servers leave the list.
/// \return the crashed servers
auto crashRepeatedly(RouterHarness &harness, const RequestArrived &request, Part part) -> std::set<std::string>
{
    constexpr int Repetitions = 10;
    std::set<std::string> crashed;
    for (auto i = 0; i < Repetitions; ++i) {
        auto repetition = request;
        repetition.request = RequestId{ 1000U + static_cast<unsigned>(i) };
        auto sent = find<Send>(harness.apply(repetition));
        while (sent) {
            crashed.insert(sent->server);
            sent = find<Send>(breakAfter(harness, sent->attempt, part));
        }
        harness.advance(std::chrono::seconds(1));
        harness.apply(ServersListed{ .servers = makeEngines(crashed), .asOf = harness.now() });
    }
    return crashed;
}

} // namespace

/// Guards against a request that crashes one server after the other because its servers end after the head of the response, or in the
/// middle of a stream, and its caller repeats it.
TEST(CrashingRequestTests, aRequestIsWithheldInWhateverPartOfTheResponseItsServersCrash)
{
    for (const auto *path : { CheckPath, QuotePath }) {
        for (const auto part : { Part::Nothing, Part::Head, Part::Events }) {
            RouterHarness harness;
            harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
            EXPECT_LE(crashRepeatedly(harness, harness.request(path), part).size(), MaxCrashes) << path << " part " << static_cast<int>(part);
        }
    }
}

/// Guards against an error response of a failing server that clears a count of crashes. Such a server has not run the request.
TEST(CrashingRequestTests, anErrorResponseDoesNotClearTheCount)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
    const auto request = harness.request(QuotePath);
    std::size_t crashes = 0;
    for (unsigned i = 0; i < 10; ++i) {
        auto repetition = request;
        repetition.request = RequestId{ 1000U + i };
        const auto sent = find<Send>(harness.apply(repetition));
        if (!sent) {
            continue;
        }
        if (i % 2 == 0) {
            breakAfter(harness, sent->attempt, Part::Nothing);
            crashes += 1;
        } else {
            harness.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 500 });
        }
    }
    EXPECT_LE(crashes, MaxCrashes);
}

/// Guards against the refusal of a sound request. Its connections broke for another reason: the servers are still listed long after a
/// crashed server would have left the list.
TEST(CrashingRequestTests, aRequestWhoseServersLiveOnIsFreed)
{
    constexpr Duration LongAfter = std::chrono::seconds(8);
    for (const auto part : { Part::Nothing, Part::Head, Part::Events }) {
        RouterHarness harness;
        harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
        const auto request = harness.request(QuotePath);
        for (unsigned i = 0; i < 4; ++i) {
            auto repetition = request;
            repetition.request = RequestId{ 1000U + i };
            if (const auto sent = find<Send>(harness.apply(repetition))) {
                breakAfter(harness, sent->attempt, part);
            }
        }
        harness.advance(LongAfter);
        harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
        harness.advance(std::chrono::seconds(1));
        auto later = request;
        later.request = RequestId{ 2000 };
        EXPECT_TRUE(find<Send>(harness.apply(later))) << static_cast<int>(part);
    }
}

/// Guards against the refusal of a request that many callers send with success, because several of the servers that run copies of it end
/// at the same time for a reason of their own.
TEST(CrashingRequestTests, aRequestThatUsuallySucceedsSurvivesTwoCrashesAtOnce)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
    auto request = harness.request(CheckPath);
    const auto send = [&](unsigned id) {
        request.request = RequestId{ id };
        return find<Send>(harness.apply(request));
    };
    const auto first = send(1000);
    ASSERT_TRUE(first);
    harness.apply(AttemptStarted{ .attempt = first->attempt, .isForwarded = true });
    harness.apply(AttemptFinished{ .attempt = first->attempt });
    for (unsigned i = 1; i <= 2; ++i) {
        const auto sent = send(1000 + i);
        ASSERT_TRUE(sent);
        breakAfter(harness, sent->attempt, Part::Head);
        harness.apply(CallerGone{ .request = request.request });
    }
    EXPECT_TRUE(send(2000));
}

/// Guards against a request that counts as crashing servers because the servers that ran it were stopped as planned.
TEST(CrashingRequestTests, theEndOfALeavingServerIsNoCrash)
{
    RouterHarness harness;
    auto servers = makeEngines();
    harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
    const auto request = harness.request(QuotePath);
    for (unsigned i = 0; i < 4; ++i) {
        auto repetition = request;
        repetition.request = RequestId{ 1000U + i };
        const auto sent = find<Send>(harness.apply(repetition));
        ASSERT_TRUE(sent) << i;
        std::find_if(servers.begin(), servers.end(), [&](const Server &each) { return each.id == sent->server; })->isLeaving = true;
        harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
        breakAfter(harness, sent->attempt, Part::Events);
    }
}
