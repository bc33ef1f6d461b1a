#include "core/passthrough/ejection.h"
#include "core/passthrough/errorevidence.h"
#include "core/passthrough/peerreports.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

#include <random>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr TimePoint Now(std::chrono::hours(1));

auto makeTable(int engines) -> ServerTable
{
    ServerTable table{ .failureDomain = "a" };
    std::vector<Server> records;
    records.reserve(static_cast<std::size_t>(engines));
    for (auto i = 0; i < engines; ++i) {
        records.push_back({ .id = "e" + std::to_string(i), .service = "engines", .slots = 16 });
    }
    applyServerList(table, { .servers = records, .asOf = Now }, Now);
    return table;
}

/// Number of answers until the evidence suffices to eject the server; nothing if it never does.
auto answersUntilConclusive(double errorRate, double baselineRate, std::uint32_t seed, int most) -> std::optional<int>
{
    std::mt19937_64 random(seed);
    std::bernoulli_distribution isError(errorRate);
    ErrorEvidence evidence;
    BaselineErrorRate baseline{ .rate = baselineRate };
    for (auto i = 1; i <= most; ++i) {
        recordAnswer(evidence, baseline, isError(random));
        if (isConclusive(evidence)) {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace

TEST(EjectionTests, aServerThatAlwaysFailsIsDetectedAfterAFewAnswers)
{
    constexpr auto MostAtLowBaseline = 3;
    constexpr auto MostAtHighBaseline = 8;
    EXPECT_LE(answersUntilConclusive(1, 0.02, 1, 10).value(), MostAtLowBaseline);
    EXPECT_LE(answersUntilConclusive(1, 0.14, 1, 10).value(), MostAtHighBaseline);
}

TEST(EjectionTests, aServerThatFailsHalfOfItsRequestsIsDetected)
{
    constexpr auto Most = 30;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        EXPECT_LE(answersUntilConclusive(0.5, 0.02, seed, 100).value(), Most) << "seed " << seed;
    }
}

/// Guards against ejecting healthy servers because of requests that fail at any server.
TEST(EjectionTests, errorsCausedByRequestsAreNotConclusive)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        EXPECT_FALSE(answersUntilConclusive(0.14, 0.14, seed, 1000)) << "seed " << seed;
    }
}

TEST(EjectionTests, atMostHalfOfAServiceIsEjected)
{
    auto table = makeTable(4);
    auto usable = 0;
    for (const auto &[id, server] : table.byId) {
        eject(table, *server, true, Now);
    }
    for (const auto &[id, server] : table.byId) {
        usable += isUsable(*server, Now + std::chrono::milliseconds(10)) ? 1 : 0;
    }
    EXPECT_EQ(usable, 2);
}

TEST(EjectionTests, anEjectionIsReportedToPeersAndEndsWithinTwoSeconds)
{
    auto table = makeTable(4);
    auto other = makeTable(4);
    eject(table, *table.byId.at("e1"), true, Now);
    auto report = makeEntryReport(table, "entry-1", Now + std::chrono::milliseconds(20));
    applyPeerReport(other, report, Now + std::chrono::milliseconds(21));
    const auto &server = *other.byId.at("e1");
    EXPECT_FALSE(isUsable(server, Now + std::chrono::milliseconds(900)));
    EXPECT_TRUE(isUsable(server, Now + std::chrono::milliseconds(2100)));
    EXPECT_TRUE(isSuspected(server.errorEvidence)) << "it is tried with one request at a time";
}

/// Guards against an entry with a faulty network link that ejects servers at all other entries.
TEST(EjectionTests, ejectionsForBrokenConnectionsAreNotReported)
{
    auto table = makeTable(4);
    eject(table, *table.byId.at("e1"), false, Now);
    EXPECT_TRUE(makeEntryReport(table, "entry-1", Now).uses.empty());
    EXPECT_FALSE(isUsable(*table.byId.at("e1"), Now));
}

/// Guards against sending all waiting requests to a server whose ejection has just ended, which still fails every request at once and
/// is therefore the only one with capacity.
TEST(EjectionTests, aServerGetsOneRequestAtATimeAfterItsEjection)
{
    RouterHarness harness;
    PeerReported report{ .entry = "entry-2" };
    report.uses.push_back({ .server = "e1", .ejectedFor = std::chrono::seconds(1) });
    harness.apply(report);
    EXPECT_EQ(find<Send>(harness.arrive(CheckPath))->server, "e2");
    harness.advance(std::chrono::milliseconds(2100));
    auto sentToReturned = 0;
    for (auto i = 0; i < 30; ++i) {
        const auto sent = find<Send>(harness.arrive(CheckPath));
        sentToReturned += sent && sent->server == "e1" ? 1 : 0;
    }
    EXPECT_EQ(sentToReturned, 1);
}
