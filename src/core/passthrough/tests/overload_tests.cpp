#include "core/passthrough/peerreports.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

auto makeQuote(World &world, Duration deadline) -> RequestArrived
{
    auto quote = world.request(QuotePath);
    quote.prompt = { .tokens = 9000, .answerTokens = 50, .parts = { { .id = 1, .tokens = 2500 }, { .id = 7, .tokens = 3700 }, { .id = 0, .tokens = 2800 } } };
    quote.deadline = deadline;
    return quote;
}

/// Reports that both engines have this much to read.
auto fillEngines(World &world, std::uint32_t unreadTokens) -> void
{
    PeerReported report{ .entry = "entry-2" };
    for (const auto *engine : { "e1", "e2" }) {
        report.uses.push_back({ .server = engine, .inFlight = 5, .unreadTokens = unreadTokens, .heldTokens = 40'000 });
    }
    world.apply(report);
}

} // namespace

/// What a caller sees: it is kept for seconds and then refused. No engine can begin its answer by the target; it is told
/// well before it gives up that nothing ran and when to come back.
TEST(OverloadTests, whatCannotBeginOnTimeIsRefusedSoon)
{
    World world;
    fillEngines(world, 60'000);
    EXPECT_EQ(world.apply(makeQuote(world, std::chrono::seconds(5))).size(), 0U);
    std::optional<Refuse> refused;
    for (auto waited = 0; waited < 300 && !refused; waited += 20) {
        fillEngines(world, 60'000);
        refused = find<Refuse>(world.pass(std::chrono::milliseconds(20)));
    }
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_GE(refused->retryAfter, std::chrono::milliseconds(400));
}

/// What callers see: a chat that gets nothing, while digests of many times its size begin. Digests may begin seconds later, so they
/// would be let to fill the engines until that time; a more urgent prompt with a shorter target then finds no engine. Less may lie
/// before a less urgent prompt, whatever its target.
TEST(OverloadTests, lessUrgentPromptsLeaveRoomForMoreUrgentOnes)
{
    World world;
    auto configuration = makeConfiguration(2);
    configuration.routes[0].target = std::chrono::milliseconds(2500);
    configuration.routes[1].target = std::chrono::milliseconds(800);
    world.apply(ConfigurationAdopted{ configuration });
    constexpr std::uint32_t Unread = 16'000; // about 0.3 s
    fillEngines(world, Unread);
    EXPECT_FALSE(find<Send>(world.apply(makeQuote(world, std::chrono::seconds(5)))));
    fillEngines(world, Unread);
    auto check = makeQuote(world, std::chrono::seconds(5));
    check.path = CheckPath;
    EXPECT_TRUE(find<Send>(world.apply(check)));
}

/// What callers see: chats refused by the dozen on a day that is calm for them, while digests of ten times their size begin. Many
/// digests wait, and what waits is released by chance; a more urgent prompt must not have to wait for its turn among them.
TEST(OverloadTests, moreUrgentPromptsAreNotReleasedByChance)
{
    World world;
    PeerReported report{ .entry = "entry-2" };
    for (const auto *engine : { "e1", "e2" }) {
        report.uses.push_back({ .server = engine, .inFlight = 5, .unreadTokens = 4000, .heldTokens = 40'000, .waitingTokens = 5'000'000 });
    }
    for (auto i = 0; i < 10; ++i) {
        world.apply(report);
        EXPECT_FALSE(find<Send>(world.apply(makeQuote(world, std::chrono::seconds(5)))));
        world.apply(report);
        EXPECT_TRUE(find<Send>(world.arrive(CheckPath)));
    }
}

TEST(OverloadTests, refusedCallersDoNotComeBackTogether)
{
    World world;
    fillEngines(world, 60'000);
    std::set<Duration> times;
    for (auto i = 0; i < 20; ++i) {
        world.apply(makeQuote(world, std::chrono::seconds(5)));
    }
    for (const auto &action : world.pass(std::chrono::milliseconds(400))) {
        if (const auto *refused = std::get_if<Refuse>(&action)) {
            times.insert(*refused->retryAfter);
        }
    }
    EXPECT_GE(times.size(), 15U);
}

/// What callers see: under a lasting burst nobody is on time, because those that were refused come back and take the
/// places of the new ones. A caller that comes back has less time left than others have at first; it goes behind.
TEST(OverloadTests, aCallerThatComesBackGoesBehindOneThatCanBeOnTime)
{
    World world;
    const auto earlier = find<Send>(world.apply(makeQuote(world, std::chrono::seconds(5))));
    world.apply(AttemptStarted{ .attempt = earlier->attempt }); // its prompt was read
    fillEngines(world, 8000);                                   // some of them were read by the time this is heard
    EXPECT_EQ(count<Send>(world.apply(makeQuote(world, std::chrono::milliseconds(3500)))), 0U) << "it came back";
    EXPECT_EQ(count<Send>(world.apply(makeQuote(world, std::chrono::seconds(5)))), 1U) << "it is new";
}

/// What callers see: a line check is refused while long prompts fill the fleet. Short prompts go first at the engines and
/// are not held back by what long ones have before them on other engines.
TEST(OverloadTests, shortPromptsAreServedWhileLongOnesWait)
{
    World world;
    fillEngines(world, 60'000);
    PeerReported shortPrompts{ .entry = "entry-3", .uses = { { .server = "e1", .inFlight = 4, .shortPrompts = 4 } } };
    world.apply(shortPrompts);
    world.pass(std::chrono::milliseconds(20));
    PeerReported calm{ .entry = "entry-2", .uses = { { .server = "e2", .inFlight = 5, .unreadTokens = 60'000, .heldTokens = 40'000 } } };
    calm.uses.push_back({ .server = "e1", .inFlight = 4, .shortPrompts = 4 });
    world.apply(calm);
    EXPECT_EQ(count<Send>(world.arrive(CheckPath)), 1U);
}

/// What callers see: entries that believe the fleet is twice as full as it is, or empty. A sum of all entries holds this
/// entry's own requests too; they must not count twice, also when they have ended meanwhile.
TEST(ReportTests, aSumDoesNotCountOwnRequestsTwice)
{
    ServerTable table;
    const TimePoint now(std::chrono::hours(1));
    adoptServers(table, { .servers = makeServers() }, now);
    auto &server = *findServer(table, "e1");
    const Load load{ .unreadTokens = 3000, .heldTokens = 9000 };
    noteSent(server, load, Duration::zero(), now);
    noteSent(server, load, Duration::zero(), now);
    takeReport(table, "entry-1", {});
    notePeerReport(
        table, { .entry = "reader", .scope = ReportScope::Fleet, .entries = 5, .uses = { { .server = "e1", .inFlight = 10, .unreadTokens = 30'000 } } }, now);
    EXPECT_EQ(totalWork(server).inFlight, 10U);
    EXPECT_EQ(totalWork(server).unreadTokens, 30'000U);
    noteRead(server, load);
    noteEnded(server, load);
    EXPECT_EQ(totalWork(server).inFlight, 9U);
    EXPECT_EQ(totalWork(server).unreadTokens, 27'000U);
    expirePeerReports(table, now + std::chrono::seconds(2));
    EXPECT_EQ(totalWork(server).inFlight, 1U) << "an old sum says nothing";
}
