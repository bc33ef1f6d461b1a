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

/// Answers until the server is suspected so much that it is taken out of use; nothing: it never was.
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

TEST(EjectionTests, aServerThatOnlyFailsIsKnownAfterAFewAnswers)
{
    constexpr auto AFew = 3;
    constexpr auto WhereManyFailAnyway = 8;
    EXPECT_LE(answersUntilConclusive(1, 0.02, 1, 10).value(), AFew);
    EXPECT_LE(answersUntilConclusive(1, 0.14, 1, 10).value(), WhereManyFailAnyway);
}

TEST(EjectionTests, aServerThatFailsEachSecondRequestIsKnownToo)
{
    constexpr auto Most = 30;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        EXPECT_LE(answersUntilConclusive(0.5, 0.02, seed, 100).value(), Most) << "seed " << seed;
    }
}

/// Guards against healthy servers taken out of use for requests that fail everywhere.
TEST(EjectionTests, errorsThatBelongToTheRequestsConvinceOfNothing)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        EXPECT_FALSE(answersUntilConclusive(0.14, 0.14, seed, 1000)) << "seed " << seed;
    }
}

TEST(EjectionTests, atMostHalfOfAServiceIsOutOfUseForItsErrors)
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

TEST(EjectionTests, otherEntriesHearOfItAndAServerIsBackWithinTwoSeconds)
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

/// Guards against an entry with a bad link that takes servers away from all others.
TEST(EjectionTests, brokenConnectionsAreNotHeldAgainstAServerByOthers)
{
    auto table = makeTable(4);
    eject(table, *table.byId.at("e1"), false, Now);
    EXPECT_TRUE(makeEntryReport(table, "entry-1", Now).uses.empty());
    EXPECT_FALSE(isUsable(*table.byId.at("e1"), Now));
}

/// Guards against a server that has just come back from its pause, fails at once and is the only one with room.
TEST(EjectionTests, aServerThatComesBackGetsOneRequestAtATime)
{
    World world;
    PeerReported report{ .entry = "entry-2" };
    report.uses.push_back({ .server = "e1", .ejectedFor = std::chrono::seconds(1) });
    world.apply(report);
    EXPECT_EQ(find<Send>(world.arrive(CheckPath))->server, "e2");
    world.pass(std::chrono::milliseconds(2100));
    auto onTrial = 0;
    for (auto i = 0; i < 30; ++i) {
        const auto sent = find<Send>(world.arrive(CheckPath));
        onTrial += sent && sent->server == "e1" ? 1 : 0;
    }
    EXPECT_EQ(onTrial, 1);
}
