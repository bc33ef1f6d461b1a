#include "core/balancing/tests/deployment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::balancing;
using namespace auburnspread::balancing::tests;

namespace
{

constexpr auto Faulty = ServerIndex{ 0 };

auto fail(State &state, Failure failure, int times, TimePoint now) -> void
{
    for (int time = 0; time < times; ++time) {
        const AttemptId attempt{ 1000 + static_cast<std::uint64_t>(time) };
        noteDispatched(state, attempt, Faulty, Quote, now);
        noteFailed(state, attempt, failure, now);
    }
}

auto answer(State &state, ServerIndex server, Duration firstToken, Duration pace, TimePoint now) -> void
{
    constexpr std::uint32_t Tokens = 20;
    const AttemptId attempt{ 5000 };
    noteDispatched(state, attempt, server, Quote, now);
    noteFirstToken(state, attempt, now + firstToken);
    noteFinished(state, attempt, Tokens + 1, now + firstToken + (pace * Tokens));
}

auto healthOf(const State &state, ServerIndex server) -> Health
{
    return viewServer(state, server).health;
}

} // namespace

// A server's process dies. After one refused connection callers' requests go elsewhere; probes find it back, it gets one
// request at a time until three were answered, then its share as before.
TEST(HealthTests, aDeadServerIsEjectedProbedAndReturnsByProbation)
{
    const auto state = makeBalancing({ .servers = 6, .concurrency = 4 });
    fail(*state, Failure::ConnectFailed, 1, Start);
    EXPECT_EQ(healthOf(*state, Faulty), Health::Ejected);
    EXPECT_EQ(countServers(*state, Quote), 5U);
    EXPECT_EQ(takeProbesDue(*state, Start), std::vector{ Faulty });
    EXPECT_TRUE(takeProbesDue(*state, Start).empty());
    noteProbe(*state, serverName(0), false, Start + std::chrono::seconds(5));
    advance(*state, Start + std::chrono::seconds(10));
    EXPECT_EQ(healthOf(*state, Faulty), Health::Ejected);
    const TimePoint back = Start + std::chrono::seconds(11);
    noteProbe(*state, serverName(0), true, back);
    EXPECT_EQ(healthOf(*state, Faulty), Health::Probation);
    EXPECT_EQ(viewServer(*state, Faulty).limit, 1U);
    for (int time = 0; time < 3; ++time) {
        answer(*state, Faulty, std::chrono::milliseconds(100), std::chrono::milliseconds(20), back);
    }
    EXPECT_EQ(healthOf(*state, Faulty), Health::Healthy);
    EXPECT_EQ(viewServer(*state, Faulty).limit, 4U);
}

// A connection goes silent because something in between lost track of it; the server is well. A probe on a new
// connection says so, and the server keeps its work. Where the probe fails too, the server is ejected at once.
TEST(HealthTests, aSilentConnectionIsProbedBeforeTheServerIsBlamed)
{
    const auto state = makeBalancing({ .servers = 6, .concurrency = 4 });
    fail(*state, Failure::ProgressTimeout, 4, Start);
    EXPECT_EQ(healthOf(*state, Faulty), Health::Suspect);
    EXPECT_EQ(takeProbesDue(*state, Start), std::vector{ Faulty });
    noteProbe(*state, serverName(0), true, Start);
    EXPECT_EQ(healthOf(*state, Faulty), Health::Healthy);
    EXPECT_EQ(freeSlots(*state, Quote), 24U);
    fail(*state, Failure::FirstTokenTimeout, 1, Start);
    noteProbe(*state, serverName(0), false, Start);
    EXPECT_EQ(healthOf(*state, Faulty), Health::Ejected);
}

// A stream breaks. The retry, and whatever else comes, goes to other servers until a probe on a new connection has said
// whether the process died; it did not, and the server has its work again at once.
TEST(HealthTests, aServerWhoseConnectionBrokeGetsNoWorkUntilItIsProbed)
{
    const auto state = makeBalancing({ .servers = 6, .concurrency = 4 });
    fail(*state, Failure::BrokenStream, 1, Start);
    EXPECT_EQ(viewServer(*state, Faulty).limit, 0U);
    EXPECT_EQ(takeProbesDue(*state, Start), std::vector{ Faulty });
    noteProbe(*state, serverName(0), true, Start);
    EXPECT_EQ(viewServer(*state, Faulty).limit, 4U);
    fail(*state, Failure::BrokenStream, 1, Start);
    advance(*state, Start + std::chrono::milliseconds(600));
    EXPECT_EQ(viewServer(*state, Faulty).limit, 4U);
}

// The only server of a model refuses connections. It may not be ejected, and is not tried with each request either.
TEST(HealthTests, anUnreachableServerThatMayNotBeEjectedIsTriedNowAndThen)
{
    const auto state = makeBalancing({ .servers = 1 });
    fail(*state, Failure::ConnectFailed, 1, Start);
    EXPECT_EQ(countServers(*state, Quote), 1U);
    EXPECT_FALSE(chooseServer(*state, Quote, Start));
    advance(*state, Start + std::chrono::milliseconds(1100));
    EXPECT_TRUE(chooseServer(*state, Quote, Start + std::chrono::milliseconds(1100)));
}

// A server answers its probes and no request: after six timeouts without an answer between them it is ejected.
TEST(HealthTests, aServerThatOnlyAnswersProbesIsEjected)
{
    const auto state = makeBalancing({ .servers = 6 });
    for (int time = 0; time < 6; ++time) {
        fail(*state, Failure::FirstTokenTimeout, 1, Start);
        noteProbe(*state, serverName(0), true, Start);
    }
    EXPECT_EQ(healthOf(*state, Faulty), Health::Ejected);
}

// The entry's own network fails, so every server seems dead. At most a third is ejected; the rest stays in probation,
// so that work goes on as soon as the network is back.
TEST(HealthTests, atMostTheConfiguredShareIsEjected)
{
    const auto state = makeBalancing({ .servers = 9 });
    for (const auto server : listServers(*state)) {
        for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
            noteDispatched(*state, AttemptId{ attempt }, server, Quote, Start);
            noteFailed(*state, AttemptId{ attempt }, Failure::ConnectFailed, Start);
        }
    }
    const auto servers = listServers(*state);
    const auto ejected = std::count_if(servers.begin(), servers.end(), [&](ServerIndex server) { return healthOf(*state, server) == Health::Ejected; });
    EXPECT_EQ(ejected, 3);
    EXPECT_EQ(countServers(*state, Quote), 6U);
}

// One server is three times slower than the others that serve the model, then ten times: first it gets fewer slots in
// proportion, then it is ejected. Load reports play no part.
TEST(HealthTests, aStragglerGetsFewerSlotsAndAnOutlierNone)
{
    const auto state = makeBalancing({ .servers = 6, .concurrency = 9 });
    const auto answerAll = [&](int slowness, TimePoint now) {
        for (int time = 0; time < 30; ++time) {
            for (const auto server : listServers(*state)) {
                answer(*state, server, std::chrono::milliseconds(200), std::chrono::milliseconds(server == Faulty ? 20 * slowness : 20), now);
            }
        }
        advance(*state, now + std::chrono::seconds(1));
    };
    answerAll(3, Start);
    advance(*state, Start + std::chrono::seconds(3));
    EXPECT_EQ(viewServer(*state, Faulty).limit, 3U);
    EXPECT_EQ(viewServer(*state, ServerIndex{ 1 }).limit, 9U);
    answerAll(10, Start + std::chrono::seconds(10));
    EXPECT_EQ(healthOf(*state, Faulty), Health::Ejected);
}

// An engine still loads the model and refuses to start requests. It is not blamed and gets none for a moment.
TEST(HealthTests, aRefusalToStartHoldsWorkBackForAMomentOnly)
{
    const auto state = makeBalancing({ .servers = 1 });
    fail(*state, Failure::NotStarted, 1, Start);
    EXPECT_FALSE(chooseServer(*state, Quote, Start));
    EXPECT_EQ(healthOf(*state, Faulty), Health::Healthy);
    advance(*state, Start + std::chrono::milliseconds(150));
    EXPECT_TRUE(chooseServer(*state, Quote, Start + std::chrono::milliseconds(150)));
}

// A server's VM is marked as leaving: no new work from that moment, what is in flight goes on. The mark is taken back:
// a live mark is no proof of life, so the server returns by probation.
TEST(HealthTests, aLeavingServerGetsNoNewWorkAtOnce)
{
    const auto state = makeBalancing({ .servers = 2, .concurrency = 4 });
    noteDispatched(*state, AttemptId{ 1 }, Faulty, Quote, Start);
    noteLeaving(*state, serverName(0), true, Start);
    EXPECT_EQ(freeSlots(*state, Quote), 4U);
    EXPECT_EQ(countServers(*state, Quote), 1U);
    noteFinished(*state, AttemptId{ 1 }, 10, Start);
    EXPECT_EQ(freeSlots(*state, Quote), 4U);
    noteLeaving(*state, serverName(0), false, Start);
    EXPECT_EQ(healthOf(*state, Faulty), Health::Probation);
}
