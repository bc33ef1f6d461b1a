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
    applyServerList(table, { .servers = makeServers() }, now);
    auto &server = *findServer(table, "e1");
    const RequestLoad load{ .unreadTokens = 3000, .heldTokens = 9000 };
    recordSend(table, server, load, Duration::zero(), now);
    recordSend(table, server, load, Duration::zero(), now);
    makeEntryReport(table, "entry-1", {});
    applyPeerReport(
        table, { .entry = "reader", .scope = ReportScope::Fleet, .entries = 5, .uses = { { .server = "e1", .inFlight = 10, .unreadTokens = 30'000 } } }, now);
    EXPECT_EQ(totalLoad(server).inFlight, 10U);
    EXPECT_EQ(totalLoad(server).unreadTokens, 30'000U);
    recordPromptRead(server, load);
    recordAttemptEnd(server, load);
    EXPECT_EQ(totalLoad(server).inFlight, 9U);
    EXPECT_EQ(totalLoad(server).unreadTokens, 27'000U);
    expirePeerReports(table, now + std::chrono::seconds(2));
    EXPECT_EQ(totalLoad(server).inFlight, 1U) << "an old sum says nothing";
}

namespace
{

auto makeSum(ReportScope scope, const std::string &domain, std::uint32_t entries, std::uint32_t inFlight) -> PeerReported
{
    return { .entry = "hub", .failureDomain = domain, .scope = scope, .entries = entries, .uses = { { .server = "e1", .inFlight = inFlight } } };
}

struct Told {
    Told()
    {
        table.failureDomain = "a";
        applyServerList(table, { .servers = makeServers() }, now);
    }

    [[nodiscard]] auto believed() const -> std::uint32_t
    {
        return totalLoad(*findServer(table, "e1")).inFlight;
    }

    const TimePoint now{ std::chrono::hours(1) };
    ServerTable table;
};

} // namespace

/// What callers see: quotes on engines that are full. One of those that sum up was cut from most entries, and its sum comes last. It is
/// believed once nobody has told of more for a while, as the others may be gone.
TEST(ReportTests, aSumOfFewEntriesDoesNotReplaceOneOfMany)
{
    Told told;
    applyPeerReport(told.table, makeSum(ReportScope::Fleet, "a", 60, 12), told.now);
    applyPeerReport(told.table, makeSum(ReportScope::Fleet, "a", 20, 4), told.now + std::chrono::milliseconds(50));
    EXPECT_EQ(told.believed(), 12U);
    applyPeerReport(told.table, makeSum(ReportScope::Fleet, "a", 20, 4), told.now + std::chrono::milliseconds(500));
    EXPECT_EQ(told.believed(), 4U);
}

/// What callers see: the same. Some entries take this one for a hub and tell it what they have; the sum of all holds that and far more.
TEST(ReportTests, aFewReportsDoNotReplaceTheSumOfAll)
{
    Told told;
    applyPeerReport(told.table, makeSum(ReportScope::Fleet, "a", 60, 12), told.now);
    applyPeerReport(told.table, makeSum(ReportScope::Entry, "a", 1, 2), told.now);
    EXPECT_EQ(told.believed(), 12U);
}

/// An entry of another failure domain that tells this one directly stands in the sum of its domain too.
TEST(ReportTests, whoStandsInTheSumOfItsFailureDomainCountsOnce)
{
    Told told;
    applyPeerReport(told.table, makeSum(ReportScope::Entry, "b", 1, 2), told.now);
    EXPECT_EQ(told.believed(), 2U);
    applyPeerReport(told.table, makeSum(ReportScope::FailureDomain, "b", 13, 7), told.now);
    EXPECT_EQ(told.believed(), 7U);
    applyPeerReport(told.table, makeSum(ReportScope::Entry, "a", 1, 3), told.now);
    EXPECT_EQ(told.believed(), 10U);
    EXPECT_EQ(makeSumReport(told.table, "self", ReportScope::FailureDomain, told.now).uses.at(0).inFlight, 3U);
    EXPECT_EQ(makeSumReport(told.table, "self", ReportScope::Fleet, told.now).entries, 15U);
}

/// What operators see: datagrams that grow until links are full. A part that one failure domain told came back to it as another's, was
/// told again, and went round for ever.
TEST(ReportTests, partsOfAnotherFailureDomainAreNotToldAsOwnOnes)
{
    Told told;
    auto sum = makeSum(ReportScope::FailureDomain, "b", 13, 7);
    sum.uses[0].sent = { { .id = 77, .tokens = 5000 } };
    applyPeerReport(told.table, sum, told.now);
    EXPECT_TRUE(makeSumReport(told.table, "self", ReportScope::FailureDomain, told.now).uses.empty());
    EXPECT_EQ(makeSumReport(told.table, "self", ReportScope::Fleet, told.now).uses.at(0).sent.size(), 1U);
}
