#include "core/balancing/tests/deployment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

using namespace auburnspread;
using namespace auburnspread::balancing;
using namespace auburnspread::balancing::tests;

namespace
{

/// Dispatches until no slot is free; returns how many went to each server.
auto fill(State &state, const Query &query, std::uint64_t firstAttempt = 1) -> std::map<std::string, std::uint32_t>
{
    std::map<std::string, std::uint32_t> dispatched;
    for (std::uint64_t attempt = firstAttempt;; ++attempt) {
        const auto server = chooseServer(state, query, Start);
        if (!server) {
            return dispatched;
        }
        noteDispatched(state, AttemptId{ attempt }, *server, query, Start);
        dispatched[viewServer(state, *server).name] += 1;
    }
}

} // namespace

TEST(ChoiceTests, aloneEntryFillsEveryServerAndNoMore)
{
    const auto state = makeBalancing({ .servers = 18, .concurrency = 8 });
    EXPECT_EQ(freeSlots(*state, Quote), 18U * 8U);
    const auto dispatched = fill(*state, Quote);
    EXPECT_EQ(dispatched.size(), 18U);
    for (const auto &[server, count] : dispatched) {
        EXPECT_EQ(count, 8U) << server;
    }
    EXPECT_EQ(freeSlots(*state, Quote), 0U);
    noteFinished(*state, AttemptId{ 5 }, 100, Start);
    noteFinished(*state, AttemptId{ 5 }, 100, Start);
    EXPECT_EQ(freeSlots(*state, Quote), 1U);
}

TEST(ChoiceTests, onlyServersOfTheModelVersionAndAdapterAreChosen)
{
    auto document = makeDocument({ .servers = 6 });
    document.backendServers[1].models = { { .model = "quote-7b", .version = "2", .adapters = {} } };
    document.backendServers[2].models = { { .model = "quote-7b", .version = "1", .adapters = { "slate" } } };
    document.services.push_back({ .name = "deposits", .servers = { { .name = "deposits-1", .address = "10.1.0.1:80", .concurrency = 2 } } });
    const auto state = makeState({ .entry = "entry-0" });
    adopt(*state, document, Start);
    const Query slate{ .model = "quote-7b", .version = "1", .adapter = "slate" };
    const Query deposits{ .service = "deposits" };
    EXPECT_EQ(countServers(*state, Quote), 5U);
    EXPECT_EQ(countServers(*state, { .model = "quote-7b", .version = "3" }), 0U);
    EXPECT_EQ(viewServer(*state, *chooseServer(*state, slate, Start)).name, serverName(2));
    EXPECT_EQ(viewServer(*state, *chooseServer(*state, deposits, Start)).name, "deposits-1");
    EXPECT_EQ(fill(*state, { .model = "quote-7b", .version = "2" }).begin()->first, serverName(1));
}

TEST(ChoiceTests, avoidedServersAreNeverChosenAndAvoidedDomainsOnlyForWantOfOthers)
{
    const auto state = makeBalancing({ .servers = 6, .concurrency = 2 });
    const std::array avoidServers{ *findServer(*state, serverName(0)) };
    const std::array<std::string_view, 1> avoidDomains{ "domain-1" };
    Query query = Quote;
    query.avoidServers = avoidServers;
    query.avoidFailureDomains = avoidDomains;
    for (std::uint64_t attempt = 1; attempt <= 6; ++attempt) {
        const auto server = chooseServer(*state, query, Start);
        EXPECT_NE(viewServer(*state, *server).failureDomain, "domain-1");
        noteDispatched(*state, AttemptId{ attempt }, *server, query, Start);
    }
    const auto rest = fill(*state, query, 7);
    EXPECT_EQ(rest.size(), 2U);
    EXPECT_FALSE(rest.contains(serverName(0)));
}

TEST(ChoiceTests, whatIsKnownOfAServerSurvivesAnotherDocument)
{
    const auto state = makeBalancing({ .servers = 4, .concurrency = 4 });
    fill(*state, Quote);
    const auto kept = *findServer(*state, serverName(3));
    auto document = makeDocument({ .servers = 40, .concurrency = 4 });
    document.backendServers.erase(document.backendServers.begin());
    document.backendServers[0].address = "10.9.9.9:8000";
    adopt(*state, document, Start);
    EXPECT_EQ(findServer(*state, serverName(3)), kept);
    EXPECT_EQ(viewServer(*state, kept).inFlight, 4U);
    EXPECT_FALSE(findServer(*state, serverName(0)));
    EXPECT_EQ(viewServer(*state, *findServer(*state, serverName(1))).inFlight, 0U);
    EXPECT_EQ(freeSlots(*state, Quote), 37U * 4U);
    for (std::uint64_t attempt = 1; attempt <= 16; ++attempt) {
        noteFinished(*state, AttemptId{ attempt }, 10, Start);
    }
    EXPECT_EQ(freeSlots(*state, Quote), 39U * 4U);
    EXPECT_EQ(fill(*state, Quote, 100).size(), 39U);
}

// An operator takes a server out of the document and puts it back while its requests still run: they count.
TEST(ChoiceTests, aServerThatReturnsStillHasItsRequests)
{
    const auto state = makeBalancing({ .servers = 1, .concurrency = 4 });
    noteDispatched(*state, AttemptId{ 1 }, ServerIndex{ 0 }, Quote, Start);
    adopt(*state, configuration::Document{}, Start);
    EXPECT_EQ(countServers(*state, Quote), 0U);
    adopt(*state, makeDocument({ .servers = 1, .concurrency = 4 }), Start);
    EXPECT_EQ(freeSlots(*state, Quote), 3U);
    noteFinished(*state, AttemptId{ 1 }, 10, Start);
    EXPECT_EQ(freeSlots(*state, Quote), 4U);
}

TEST(ChoiceTests, aPrefixStaysOnItsServerUntilThatIsMoreLoadedThanTheRest)
{
    const auto state = makeBalancing({ .servers = 10, .concurrency = 20 });
    Query query = Quote;
    query.prefixHash = 0xABCDEF;
    const auto home = *chooseServer(*state, query, Start);
    std::uint32_t atHome = 0;
    for (std::uint64_t attempt = 1; attempt <= 100; ++attempt) {
        const auto server = *chooseServer(*state, query, Start);
        atHome += server == home ? 1 : 0;
        noteDispatched(*state, AttemptId{ attempt }, server, query, Start);
    }
    std::uint32_t most = 0;
    for (const auto server : listServers(*state)) {
        most = std::max(most, viewServer(*state, server).inFlight);
    }
    EXPECT_GE(atHome, 10U);
    EXPECT_LE(most, 14U); // 1.25 times the mean of 10, rounded up, and one drawn by chance
}

TEST(ChoiceTests, prefixesKeepTheirServersWhenOneServerJoins)
{
    const auto state = makeBalancing({ .servers = 20 });
    std::vector<std::string> homes;
    const auto homeOf = [&](std::uint64_t prefix) {
        Query query = Quote;
        query.prefixHash = prefix;
        return viewServer(*state, *chooseServer(*state, query, Start)).name;
    };
    constexpr std::uint64_t Prefixes = 1000;
    for (std::uint64_t prefix = 1; prefix <= Prefixes; ++prefix) {
        homes.push_back(homeOf(prefix));
    }
    adopt(*state, makeDocument({ .servers = 21 }), Start);
    std::uint64_t moved = 0;
    for (std::uint64_t prefix = 1; prefix <= Prefixes; ++prefix) {
        moved += homeOf(prefix) == homes[prefix - 1] ? 0 : 1;
    }
    EXPECT_LT(moved, Prefixes / 10);
    EXPECT_GT(std::set<std::string>(homes.begin(), homes.end()).size(), 15U);
}

TEST(ChoiceTests, aSuspectRequestGetsAQuietServerForItself)
{
    const auto state = makeBalancing({ .servers = 2, .concurrency = 4 });
    Query suspect = Quote;
    suspect.quietOnly = true;
    for (std::uint64_t attempt = 1; attempt <= 8; ++attempt) {
        noteDispatched(*state, AttemptId{ attempt }, ServerIndex{ attempt <= 4 ? 0U : 1U }, Quote, Start);
    }
    EXPECT_FALSE(chooseServer(*state, suspect, Start));
    noteFinished(*state, AttemptId{ 1 }, 10, Start);
    noteFinished(*state, AttemptId{ 2 }, 10, Start);
    const auto quiet = chooseServer(*state, suspect, Start);
    ASSERT_EQ(quiet, ServerIndex{ 0 });
    noteDispatched(*state, AttemptId{ 20 }, *quiet, suspect, Start);
    EXPECT_FALSE(chooseServer(*state, Quote, Start));
    noteFailed(*state, AttemptId{ 20 }, Failure::BrokenStream, Start);
    EXPECT_EQ(freeSlots(*state, Quote), 0U);
    noteProbe(*state, serverName(0), true, Start);
    EXPECT_EQ(freeSlots(*state, Quote), 2U);
}

// A crash leaves suspects at several entries, and all retry them at the same moment. No two entries choose the same
// server, so that the killer's second crash finds no other suspect of the first one beside it.
TEST(ChoiceTests, suspectsOfTwoEntriesNeverShareAServer)
{
    constexpr std::size_t Entries = 4;
    std::map<std::string, std::size_t> entriesAt;
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        const auto state = makeBalancing({ .servers = 10, .concurrency = 8 }, entryName(entry));
        noteCell(*state, entryNames(Entries), Start);
        Query suspect = Quote;
        suspect.quietOnly = true;
        std::set<std::string> own;
        for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
            const auto server = chooseServer(*state, suspect, Start);
            if (server) {
                noteDispatched(*state, AttemptId{ attempt }, *server, suspect, Start);
                EXPECT_TRUE(own.insert(viewServer(*state, *server).name).second);
            }
        }
        EXPECT_GE(own.size(), 2U);
        for (const auto &name : own) {
            EXPECT_EQ(++entriesAt[name], 1U) << name;
        }
    }
}

TEST(ChoiceTests, reportsRaiseButNeverLowerWhatIsKnown)
{
    const auto state = makeBalancing({ .servers = 2, .concurrency = 10, .failureDomains = 1 });
    noteLoadReport(*state, serverName(0), { .running = 10, .waiting = 20 }, Start);
    std::map<std::string, std::uint32_t> chosen;
    for (std::uint64_t attempt = 1; attempt <= 6; ++attempt) {
        const auto server = *chooseServer(*state, Quote, Start);
        noteDispatched(*state, AttemptId{ attempt }, server, Quote, Start);
        chosen[viewServer(*state, server).name] += 1;
    }
    EXPECT_GT(chosen[serverName(1)], chosen[serverName(0)]);
    noteLoadReport(*state, serverName(0), { .running = 0, .waiting = 0 }, Start);
    noteLoadReport(*state, serverName(1), { .running = 0, .waiting = 0 }, Start);
    EXPECT_EQ(freeSlots(*state, Quote), 14U);
}
