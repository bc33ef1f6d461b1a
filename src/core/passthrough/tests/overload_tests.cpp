#include "core/passthrough/peerreports.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

auto makeQuote(RouterHarness &harness, Duration deadline) -> RequestArrived
{
    auto quote = harness.request(QuotePath);
    quote.prompt
        = { .tokens = 9000, .maxAnswerTokens = 50, .parts = { { .id = 1, .tokens = 2500 }, { .id = 7, .tokens = 3700 }, { .id = 0, .tokens = 2800 } } };
    quote.deadline = deadline;
    return quote;
}

/// Reports that both engines have this many prompt tokens to process.
auto fillEngines(RouterHarness &harness, std::uint32_t unreadTokens) -> void
{
    PeerReported report{ .entry = "entry-2" };
    for (const auto *engine : { "e1", "e2" }) {
        report.uses.push_back({ .server = engine, .inFlight = 5, .unreadTokens = unreadTokens, .heldTokens = 40'000 });
    }
    harness.apply(report);
}

} // namespace

/// Guards against a caller that waits for seconds and is then refused. No engine can start its response by the target, so it must be
/// refused well before it gives up, as not run and with a retry delay.
TEST(OverloadTests, requestsThatCannotStartOnTimeAreRefusedEarly)
{
    RouterHarness harness;
    fillEngines(harness, 60'000);
    EXPECT_EQ(harness.apply(makeQuote(harness, std::chrono::seconds(5))).size(), 0U);
    std::optional<Refuse> refused;
    for (auto waited = 0; waited < 300 && !refused; waited += 20) {
        fillEngines(harness, 60'000);
        refused = find<Refuse>(harness.advance(std::chrono::milliseconds(20)));
    }
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_GE(refused->retryAfter, std::chrono::milliseconds(400));
}

/// Guards against urgent requests that find no engine while much larger, less urgent ones are sent. Prompts with a target of seconds
/// would be allowed to fill the engines up to that target, so the work ahead of a less urgent prompt must be limited whatever its target.
TEST(OverloadTests, lessUrgentPromptsLeaveRoomForMoreUrgentOnes)
{
    RouterHarness harness;
    auto configuration = makeConfiguration(2);
    configuration.routes[0].target = std::chrono::milliseconds(2500);
    configuration.routes[1].target = std::chrono::milliseconds(800);
    harness.apply(ConfigurationAdopted{ configuration });
    constexpr std::uint32_t Unread = 16'000; // about 0.3 s
    fillEngines(harness, Unread);
    EXPECT_FALSE(find<Send>(harness.apply(makeQuote(harness, std::chrono::seconds(5)))));
    fillEngines(harness, Unread);
    auto check = makeQuote(harness, std::chrono::seconds(5));
    check.path = CheckPath;
    EXPECT_TRUE(find<Send>(harness.apply(check)));
}

/// Guards against urgent requests that are refused while many much larger, less urgent ones are queued. Queued requests are released at
/// random in proportion to the free capacity; a more urgent prompt must not depend on that.
TEST(OverloadTests, moreUrgentPromptsAreNotReleasedAtRandom)
{
    RouterHarness harness;
    PeerReported report{ .entry = "entry-2" };
    for (const auto *engine : { "e1", "e2" }) {
        report.uses.push_back({ .server = engine, .inFlight = 5, .unreadTokens = 4000, .heldTokens = 40'000, .waitingTokens = 5'000'000 });
    }
    for (auto i = 0; i < 10; ++i) {
        harness.apply(report);
        EXPECT_FALSE(find<Send>(harness.apply(makeQuote(harness, std::chrono::seconds(5)))));
        harness.apply(report);
        EXPECT_TRUE(find<Send>(harness.arrive(CheckPath)));
    }
}

TEST(OverloadTests, refusedCallersGetDifferentRetryDelays)
{
    RouterHarness harness;
    fillEngines(harness, 60'000);
    std::set<Duration> times;
    for (auto i = 0; i < 20; ++i) {
        harness.apply(makeQuote(harness, std::chrono::seconds(5)));
    }
    for (const auto &action : harness.advance(std::chrono::milliseconds(400))) {
        if (const auto *refused = std::get_if<Refuse>(&action)) {
            times.insert(*refused->retryAfter);
        }
    }
    EXPECT_GE(times.size(), 15U);
}

/// Guards against a long burst in which no request is on time, because retries of refused callers take the place of new requests. A
/// retry has less time left than a first try, and must be queued behind it.
TEST(OverloadTests, retriesOfRefusedCallersGoBehindFirstTries)
{
    RouterHarness harness;
    const auto earlier = find<Send>(harness.apply(makeQuote(harness, std::chrono::seconds(5))));
    harness.apply(AttemptStarted{ .attempt = earlier->attempt }); // its prompt was processed
    fillEngines(harness, 8000);                                   // some of these tokens are processed by the time the report arrives
    EXPECT_EQ(count<Send>(harness.apply(makeQuote(harness, std::chrono::milliseconds(3500)))), 0U) << "a retry by its caller";
    EXPECT_EQ(count<Send>(harness.apply(makeQuote(harness, std::chrono::seconds(5)))), 1U) << "a first try";
}

/// Guards against short prompts that are refused while long prompts fill the fleet. Engines process short prompts first, so the work
/// ahead of long prompts on other engines must not hold them back.
TEST(OverloadTests, shortPromptsAreServedWhileLongOnesWait)
{
    RouterHarness harness;
    fillEngines(harness, 60'000);
    PeerReported shortPrompts{ .entry = "entry-3", .uses = { { .server = "e1", .inFlight = 4, .shortPrompts = 4 } } };
    harness.apply(shortPrompts);
    harness.advance(std::chrono::milliseconds(20));
    PeerReported calm{ .entry = "entry-2", .uses = { { .server = "e2", .inFlight = 5, .unreadTokens = 60'000, .heldTokens = 40'000 } } };
    calm.uses.push_back({ .server = "e1", .inFlight = 4, .shortPrompts = 4 });
    harness.apply(calm);
    EXPECT_EQ(count<Send>(harness.arrive(CheckPath)), 1U);
}

/// Guards against entries that estimate twice the load of the fleet, or none. An aggregate of all entries includes the requests of the
/// receiving entry; they must not be counted twice, also if they have ended in the meantime.
TEST(ReportTests, anAggregateReportDoesNotCountOwnRequestsTwice)
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
    EXPECT_EQ(totalLoad(server).inFlight, 1U) << "an expired aggregate is ignored";
}

namespace
{

auto makeAggregate(ReportScope scope, const std::string &domain, std::uint32_t entries, std::uint32_t inFlight) -> PeerReported
{
    return { .entry = "hub", .failureDomain = domain, .scope = scope, .entries = entries, .uses = { { .server = "e1", .inFlight = inFlight } } };
}

struct PeerReportFixture {
    PeerReportFixture()
    {
        table.failureDomain = "a";
        applyServerList(table, { .servers = makeServers() }, now);
    }

    [[nodiscard]] auto estimatedInFlight() const -> std::uint32_t
    {
        return totalLoad(*findServer(table, "e1")).inFlight;
    }

    const TimePoint now{ std::chrono::hours(1) };
    ServerTable table;
};

} // namespace

/// Guards against requests to full engines. A hub that is cut off from most entries sends its aggregate last. It must be used only after
/// no larger aggregate has arrived for a while, because the other entries may be gone by then.
TEST(ReportTests, anAggregateOfFewEntriesDoesNotReplaceOneOfMany)
{
    PeerReportFixture fixture;
    applyPeerReport(fixture.table, makeAggregate(ReportScope::Fleet, "a", 60, 12), fixture.now);
    applyPeerReport(fixture.table, makeAggregate(ReportScope::Fleet, "a", 20, 4), fixture.now + std::chrono::milliseconds(50));
    EXPECT_EQ(fixture.estimatedInFlight(), 12U);
    applyPeerReport(fixture.table, makeAggregate(ReportScope::Fleet, "a", 20, 4), fixture.now + std::chrono::milliseconds(500));
    EXPECT_EQ(fixture.estimatedInFlight(), 4U);
}

/// Guards against requests to full engines. Some entries take this one for a hub and send it their reports; the fleet aggregate includes
/// these and many more.
TEST(ReportTests, singleReportsDoNotReplaceTheFleetAggregate)
{
    PeerReportFixture fixture;
    applyPeerReport(fixture.table, makeAggregate(ReportScope::Fleet, "a", 60, 12), fixture.now);
    applyPeerReport(fixture.table, makeAggregate(ReportScope::Entry, "a", 1, 2), fixture.now);
    EXPECT_EQ(fixture.estimatedInFlight(), 12U);
}

/// An entry of another failure domain that reports to this one directly is also included in the aggregate of its domain.
TEST(ReportTests, anEntryInTheAggregateOfItsFailureDomainCountsOnce)
{
    PeerReportFixture fixture;
    applyPeerReport(fixture.table, makeAggregate(ReportScope::Entry, "b", 1, 2), fixture.now);
    EXPECT_EQ(fixture.estimatedInFlight(), 2U);
    applyPeerReport(fixture.table, makeAggregate(ReportScope::FailureDomain, "b", 13, 7), fixture.now);
    EXPECT_EQ(fixture.estimatedInFlight(), 7U);
    applyPeerReport(fixture.table, makeAggregate(ReportScope::Entry, "a", 1, 3), fixture.now);
    EXPECT_EQ(fixture.estimatedInFlight(), 10U);
    EXPECT_EQ(makeAggregateReport(fixture.table, "self", ReportScope::FailureDomain, fixture.now).uses.at(0).inFlight, 3U);
    EXPECT_EQ(makeAggregateReport(fixture.table, "self", ReportScope::Fleet, fixture.now).entries, 15U);
}

/// Guards against datagrams that grow until the links are full. A prompt part that one failure domain reported came back to it as that of
/// another domain, was reported again, and circulated forever.
TEST(ReportTests, promptPartsOfAnotherFailureDomainAreNotReportedAsOwn)
{
    PeerReportFixture fixture;
    auto sum = makeAggregate(ReportScope::FailureDomain, "b", 13, 7);
    sum.uses[0].sent = { { .id = 77, .tokens = 5000 } };
    applyPeerReport(fixture.table, sum, fixture.now);
    EXPECT_TRUE(makeAggregateReport(fixture.table, "self", ReportScope::FailureDomain, fixture.now).uses.empty());
    EXPECT_EQ(makeAggregateReport(fixture.table, "self", ReportScope::Fleet, fixture.now).uses.at(0).sent.size(), 1U);
}
