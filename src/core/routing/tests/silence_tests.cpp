#include "core/routing/router.h"
#include "core/routing/tests/world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::routing;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Deadline = 30s;

struct Options {
    int servers = 2;
    bool canResume = true;
    bool repeatable = true;
    bool stream = true;
    std::uint32_t concurrency = 1;
    Fingerprint fingerprint{}; ///< of all requests
};

template <typename Wanted>
auto find(const Actions &actions) -> const Wanted *
{
    for (const auto &action : actions) {
        if (const auto *wanted = std::get_if<Wanted>(&action)) {
            return wanted;
        }
    }
    return nullptr;
}

struct Site {
    RouterStatePointer router = makeRouter({ .entry = "entry-1" });
    TimePoint now;
    Options options;
    int sent = 0;                  ///< attempts
    std::set<std::string> servers; ///< that got them

    explicit Site(Options wanted = {})
        : options(wanted)
    {
        auto adopted = std::make_shared<configuration::AdoptedDocument>();
        adopted->version = 1;
        auto &document = adopted->document;
        document.models = { { .name = "quote-7b", .versions = { "1" } } };
        document.classes = { { .name = "quote", .models = { { .model = "quote-7b" } }, .firstTokenTarget = Deadline, .answerTarget = Deadline } };
        document.workspaces = { { .name = "karoo", .classes = { "quote" } } };
        for (int i = 1; i <= options.servers; ++i) {
            const auto name = "gpu-" + std::to_string(i);
            document.backendServers.push_back({ .name = name,
                                                .address = name + ":80",
                                                .models = { { .model = "quote-7b", .version = "1" } },
                                                .concurrency = options.concurrency,
                                                .canResume = options.canResume });
        }
        take(ConfigurationAdopted{ adopted });
    }

    auto take(const Event &event) -> Actions
    {
        now += 1ms;
        auto actions = step(*router, event, now);
        for (const auto &action : actions) {
            if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
                sent += 1;
                servers.insert(dispatch->backend);
            }
        }
        return actions;
    }

    auto arrive(int id) -> Actions
    {
        return take(RequestArrived{ .request = static_cast<RequestId>(id),
                                    .workspace = "karoo",
                                    .requestClass = "quote",
                                    .repeatable = options.repeatable,
                                    .fingerprint = options.fingerprint,
                                    .stream = options.stream });
    }

    auto fallSilent(int attempt, std::uint32_t relayed = 0) -> Actions
    {
        const auto timeout = relayed > 0 ? Failure::ProgressTimeout : Failure::FirstTokenTimeout;
        return take(AttemptSilent{ .attempt = static_cast<AttemptId>(attempt), .timeout = timeout, .relayedTokens = relayed });
    }

    auto crash(int attempt) -> Actions
    {
        return take(AttemptFailed{ .attempt = static_cast<AttemptId>(attempt), .failure = Failure::BrokenBeforeFirstByte });
    }

    /// The attempt is silent until the request is sent again. \return the actions of that moment
    auto staySilent(int attempt) -> Actions
    {
        constexpr int MostReports = 200;
        for (int report = 0; report < MostReports; ++report) {
            now += 100ms;
            auto actions = fallSilent(attempt);
            if (find<Dispatch>(actions) != nullptr) {
                return actions;
            }
        }
        return {};
    }

    auto start(int attempt) -> Actions
    {
        return take(AttemptStarted{ static_cast<AttemptId>(attempt) });
    }

    auto progress(int attempt, std::uint32_t relayed) -> Actions
    {
        return take(AttemptProgress{ .attempt = static_cast<AttemptId>(attempt), .relayedTokens = relayed });
    }

    auto finish(int attempt, std::uint32_t relayed = 10) -> Actions
    {
        return take(AttemptFinished{ .attempt = static_cast<AttemptId>(attempt), .relayedTokens = relayed });
    }
};

auto endsOrSends(const Actions &actions) -> bool
{
    return find<Refuse>(actions) != nullptr || find<CancelAttempt>(actions) != nullptr || find<Dispatch>(actions) != nullptr;
}

} // namespace

/// Guards against a request that is refused because its only server pauses.
TEST(SilenceTests, anAttemptIsKeptWhenNoOtherServerMayTakeTheRequest)
{
    Site site({ .servers = 1 });
    site.arrive(1);
    for (int report = 0; report < 20; ++report) {
        EXPECT_FALSE(endsOrSends(site.fallSilent(1)));
    }
    EXPECT_NE(find<CommitAttempt>(site.start(1)), nullptr);
    EXPECT_NE(find<Completed>(site.finish(1)), nullptr);
}

/// Guards against a stream that is broken off when its server pauses and the others can't go on with it.
TEST(SilenceTests, aStreamIsKeptWhenNoServerCanResumeIt)
{
    Site site({ .canResume = false });
    site.arrive(1);
    site.start(1);
    EXPECT_FALSE(endsOrSends(site.fallSilent(1, 5)));
    EXPECT_NE(find<Completed>(site.finish(1)), nullptr);
}

/// Guards against a request that runs twice, or is given up as one that may have run, because its server pauses.
TEST(SilenceTests, aRequestThatMayNotBeRepeatedStaysWithItsAttempt)
{
    Site site({ .repeatable = false });
    site.arrive(1);
    EXPECT_FALSE(endsOrSends(site.fallSilent(1)));
    EXPECT_NE(find<CommitAttempt>(site.start(1)), nullptr);
}

/// Guards against requests that are refused for the retry budget though their servers go on.
TEST(SilenceTests, attemptsAreKeptWhenTheRetryBudgetIsUsedUp)
{
    constexpr int Requests = 40;
    Site site({ .concurrency = Requests });
    for (int id = 1; id <= Requests; ++id) {
        site.arrive(id);
    }
    int sent = 0;
    for (int id = 1; id <= Requests; ++id) {
        const auto actions = site.fallSilent(id);
        EXPECT_EQ(find<Refuse>(actions), nullptr);
        EXPECT_EQ(find<CancelAttempt>(actions), nullptr);
        sent += find<Dispatch>(actions) != nullptr ? 1 : 0;
    }
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, Requests);
    for (int id = 1; id <= Requests; ++id) {
        site.start(id);
        EXPECT_NE(find<Completed>(site.finish(id)), nullptr);
    }
}

/// Guards against a response that is given up for one that may come to nothing.
TEST(SilenceTests, theFirstAttemptThatGoesOnServesTheRequest)
{
    Site site;
    site.arrive(1);
    const auto sent = site.fallSilent(1);
    ASSERT_NE(find<Dispatch>(sent), nullptr);
    EXPECT_NE(find<Retried>(sent), nullptr);
    EXPECT_EQ(find<CancelAttempt>(sent), nullptr);
    const auto went = site.start(1);
    EXPECT_EQ(find<CommitAttempt>(went)->attempt, AttemptId{ 1 });
    EXPECT_EQ(find<CancelAttempt>(went)->attempt, AttemptId{ 2 });
}

/// Guards against a caller that waits for a server that is gone.
TEST(SilenceTests, aStreamGoesOnAtAnotherServerWhereItStopped)
{
    Site site;
    site.arrive(1);
    site.start(1);
    EXPECT_EQ(find<Dispatch>(site.fallSilent(1, 5))->resumeOffset, 5U);
    const auto went = site.start(2);
    EXPECT_EQ(find<CommitAttempt>(went)->attempt, AttemptId{ 2 });
    EXPECT_EQ(find<CommitAttempt>(went)->relayedTokens, 5U);
    EXPECT_EQ(find<CancelAttempt>(went)->attempt, AttemptId{ 1 });
    EXPECT_NE(find<Completed>(site.finish(2)), nullptr);
}

/// Guards against a stream that moves though its server goes on.
TEST(SilenceTests, aStreamThatGoesOnKeepsItsAttempt)
{
    Site site;
    site.arrive(1);
    site.start(1);
    ASSERT_NE(find<Dispatch>(site.fallSilent(1, 5)), nullptr);
    EXPECT_EQ(find<CancelAttempt>(site.progress(1, 6))->attempt, AttemptId{ 2 });
    EXPECT_EQ(find<CommitAttempt>(site.start(2)), nullptr);
}

/// Guards against a whole answer that waits for a server that is gone because no other one can resume it: the caller has seen nothing.
TEST(SilenceTests, aWholeAnswerBeginsAnewBesideTheSilentAttempt)
{
    Site site({ .canResume = false, .stream = false });
    site.arrive(1);
    site.start(1);
    EXPECT_EQ(find<Dispatch>(site.fallSilent(1, 5))->resumeOffset, 0U);
    EXPECT_EQ(find<CommitAttempt>(site.start(2))->relayedTokens, 0U);
    EXPECT_NE(find<Completed>(site.finish(2)), nullptr);
}

/// Guards against a caller that waits for a server that is gone under full load, where no slot is free at the moment of the timeout.
TEST(SilenceTests, theNextFreeSlotGoesToTheRequestOfASilentAttempt)
{
    Site site;
    site.arrive(1);
    site.arrive(2);
    EXPECT_FALSE(endsOrSends(site.fallSilent(1)));
    site.arrive(3);
    EXPECT_EQ(find<Dispatch>(site.finish(2))->request, RequestId{ 1 });
}

/// Guards against a second attempt for a request whose server went on while it waited for a slot.
TEST(SilenceTests, aRequestWhoseAttemptGoesOnWaitsNoLonger)
{
    Site site;
    site.arrive(1);
    site.arrive(2);
    site.fallSilent(1);
    site.start(1);
    EXPECT_EQ(find<Dispatch>(site.finish(2)), nullptr);
    EXPECT_NE(find<Completed>(site.finish(1)), nullptr);
}

/// Guards against a retry that is counted twice, or lost, when the silent attempt fails while the request waits for a slot.
TEST(SilenceTests, aSilentAttemptThatFailsWhileTheRequestWaitsIsRetriedOnce)
{
    Site site;
    site.arrive(1);
    site.arrive(2);
    EXPECT_NE(find<Retried>(site.fallSilent(1)), nullptr);
    const auto failed = site.take(AttemptFailed{ .attempt = AttemptId{ 1 }, .failure = Failure::BrokenBeforeFirstByte });
    EXPECT_EQ(find<Retried>(failed), nullptr);
    EXPECT_EQ(find<Refuse>(failed), nullptr);
    EXPECT_EQ(find<Dispatch>(site.finish(2))->request, RequestId{ 1 });
}

/// Guards against requests that go on to a silent server: its silence is one, however often it is reported, and it is probed.
TEST(SilenceTests, aSilentServerIsProbed)
{
    Site site({ .servers = 4 });
    const auto silent = find<Dispatch>(site.arrive(1))->backend;
    const auto isEjected = [&](const std::string &name) {
        const auto backends = statusOf(*site.router).backends;
        return std::any_of(backends.begin(), backends.end(), [&](const auto &server) { return server.backend == name && server.ejected; });
    };
    for (int report = 0; report < 20; ++report) {
        site.fallSilent(1);
    }
    EXPECT_FALSE(isEjected(silent));
    const auto ticked = site.take(Tick{});
    ASSERT_NE(find<ProbeBackend>(ticked), nullptr);
    EXPECT_EQ(find<ProbeBackend>(ticked)->backend, silent);
    site.take(ProbeSettled{ .backend = silent, .healthy = false });
    EXPECT_TRUE(isEjected(silent));
}

/// Guards against a caller that waits for ever for a silent server.
TEST(SilenceTests, aKeptAttemptEndsAtTheDeadline)
{
    Site site({ .servers = 1 });
    site.arrive(1);
    site.fallSilent(1);
    site.now += Deadline;
    const auto actions = site.take(Tick{});
    EXPECT_EQ(find<Refuse>(actions)->reason, Reason::DeadlinePassed);
    EXPECT_NE(find<CancelAttempt>(actions), nullptr);
}

/// Guards against a caller that waits for a server that is gone: its own attempt was taken for another copy of the request.
TEST(SilenceTests, aRequestWithAFingerprintIsSentToAnotherServer)
{
    Site site({ .fingerprint = Fingerprint{ 7 } });
    site.arrive(1);
    EXPECT_NE(find<Dispatch>(site.fallSilent(1)), nullptr);
    EXPECT_NE(find<CommitAttempt>(site.start(2)), nullptr);
}

/// Guards against unproven copies on more servers than two, and against copies that wait for each other on a server that is gone.
TEST(SilenceTests, equalRequestsOfASilentServerGoToOneOther)
{
    Site site({ .servers = 4, .concurrency = 4, .fingerprint = Fingerprint{ 7 } });
    const auto first = find<Dispatch>(site.arrive(1))->backend;
    EXPECT_EQ(find<Dispatch>(site.arrive(2))->backend, first);
    EXPECT_EQ(find<Dispatch>(site.fallSilent(1)), nullptr);
    const auto moved = site.fallSilent(2);
    ASSERT_NE(find<Dispatch>(moved), nullptr);
    const auto second = find<Dispatch>(moved)->backend;
    EXPECT_EQ(site.sent, 4);
    EXPECT_EQ(site.servers, (std::set{ first, second }));
    EXPECT_EQ(find<Dispatch>(site.arrive(3))->backend, second);
}

/// Guards against a suspect that runs on two servers at once, and against one that stays with a server that is gone.
TEST(SilenceTests, aSuspectLeavesItsSilentAttemptWhenItIsSentAgain)
{
    Site site({ .servers = 3, .fingerprint = Fingerprint{ 7 } });
    site.arrive(1);
    site.crash(1);
    site.now += 100ms;
    ASSERT_NE(find<Dispatch>(site.take(Tick{})), nullptr);
    const auto moved = site.staySilent(2);
    ASSERT_NE(find<Dispatch>(moved), nullptr);
    EXPECT_EQ(find<CancelAttempt>(moved)->attempt, AttemptId{ 2 });
    EXPECT_NE(find<CommitAttempt>(site.start(3)), nullptr);
}

/// Guards against requests that are quarantined with the one that crashes servers, beside which they ran on both.
TEST(SilenceTests, aSuspectWhoseSilentServerCrashesRunsAlone)
{
    Site site({ .servers = 3, .fingerprint = Fingerprint{ 7 } });
    site.arrive(1);
    ASSERT_NE(find<Dispatch>(site.fallSilent(1)), nullptr);
    const auto crashed = site.crash(1);
    EXPECT_EQ(find<CancelAttempt>(crashed)->attempt, AttemptId{ 2 });
    EXPECT_EQ(find<Dispatch>(crashed), nullptr);
    site.now += 100ms;
    EXPECT_NE(find<Dispatch>(site.take(Tick{})), nullptr);
}

/// Guards against a third crashed server: a request that has crashed two still runs on a silent one.
TEST(SilenceTests, aQuarantinedRequestLeavesItsSilentAttempt)
{
    Site site({ .servers = 4, .fingerprint = Fingerprint{ 7 } });
    site.arrive(1);
    site.fallSilent(1);
    site.fallSilent(2);
    ASSERT_EQ(site.sent, 3);
    site.crash(3);
    site.now += 1s;
    const auto second = site.crash(2);
    EXPECT_EQ(find<CancelAttempt>(second)->attempt, AttemptId{ 1 });
    EXPECT_EQ(find<Refuse>(second)->reason, Reason::Quarantined);
}

/// Guards against any broken promise of the router in drawn sessions where attempts fall silent and go on.
TEST(SilenceTests, thePromisesHoldWhileAttemptsFallSilentAndGoOn)
{
    constexpr std::uint32_t Sessions = 300;
    constexpr int Commands = 300;
    constexpr int Kinds = static_cast<int>(Happening::FallSilent) + 1;
    constexpr int More = 8; ///< arrivals and silences beyond an equal share
    for (std::uint32_t seed = 0; seed < Sessions; ++seed) {
        std::mt19937 generator(seed);
        auto world = makeWorld({});
        for (int i = 0; i < Commands; ++i) {
            const auto number = static_cast<int>(generator() % (Kinds + More));
            const auto extra = number % 2 == 0 ? Happening::Arrive : Happening::FallSilent;
            const auto happening = number < Kinds ? static_cast<Happening>(number) : extra;
            const auto which = static_cast<std::uint32_t>(generator());
            happen(world, { .happening = happening, .which = which, .how = static_cast<std::uint32_t>(generator()) });
        }
        wind(world);
        EXPECT_EQ(describe(world.broken), "") << "seed " << seed;
    }
}
