#include "core/membership/membership.h"
#include "core/membership/tests/fakenetwork.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::membership;
using namespace auburnspread::membership::testing;
using std::chrono::seconds;

namespace
{

constexpr int Entries = 8;
constexpr int Callers = 4000;

auto nameOf(int entry) -> std::string
{
    return "e" + std::to_string(entry);
}

auto startEight(FakeNetwork &network) -> void
{
    for (int i = 0; i < Entries; ++i) {
        network.start(nameOf(i), "domain-" + std::to_string(i % 3), 1000 + static_cast<std::uint64_t>(i));
    }
    network.run(seconds(30));
}

auto ask(FakeNetwork &network, const std::string &observer, int caller) -> std::vector<std::string>
{
    const EntriesQuery query{
        .workspace = "w" + std::to_string(caller % 10), .requestClass = "quote", .model = "quote-7b", .caller = "10.0.0." + std::to_string(caller)
    };
    return entriesAnswer(*network.entry(observer).state, query, TimePoint()).addresses;
}

auto askAll(FakeNetwork &network, const std::string &observer) -> std::vector<std::string>
{
    std::vector<std::string> firsts;
    firsts.reserve(Callers);
    for (int caller = 0; caller < Callers; ++caller) {
        firsts.push_back(ask(network, observer, caller).front());
    }
    return firsts;
}

auto countCallers(const std::vector<std::string> &firsts, int entry) -> int
{
    return static_cast<int>(std::count(firsts.begin(), firsts.end(), nameOf(entry) + ":1"));
}

} // namespace

TEST(EntriesAnswerTests, callersAreSpreadEvenlyWhicheverEntryTheyAsk)
{
    // Thousands of callers keep the answers that they got from different entries at different times. Together they
    // must load each entry alike, so every entry gives the same caller the same answer.
    FakeNetwork network;
    startEight(network);
    const auto firsts = askAll(network, nameOf(0));
    EXPECT_EQ(firsts, askAll(network, nameOf(5)));
    for (int entry = 0; entry < Entries; ++entry) {
        EXPECT_GT(countCallers(firsts, entry), Callers / Entries * 85 / 100);
        EXPECT_LT(countCallers(firsts, entry), Callers / Entries * 115 / 100);
    }
}

TEST(EntriesAnswerTests, theSecondAddressIsInAnotherFailureDomain)
{
    // A failure domain goes down with a caller's first address. The caller takes the next one; if that were in the
    // same failure domain it would wait for a second timeout.
    FakeNetwork network;
    startEight(network);
    for (int caller = 0; caller < 200; ++caller) {
        const auto addresses = ask(network, nameOf(0), caller);
        ASSERT_EQ(addresses.size(), static_cast<std::size_t>(Entries));
        EXPECT_NE((addresses[0][1] - '0') % 3, (addresses[1][1] - '0') % 3);
    }
}

TEST(EntriesAnswerTests, oneLeaveMovesOnlyTheCallersOfThatEntry)
{
    // An entry leaves. Its callers must find another entry in their next answer, spread over all that remain; all
    // other callers keep their connections, or each replaced VM would shake the whole site.
    FakeNetwork network;
    startEight(network);
    const auto before = askAll(network, nameOf(0));
    network.send(nameOf(3), DrainStarted{});
    network.run(seconds(1));
    const auto after = askAll(network, nameOf(0));
    EXPECT_EQ(countCallers(after, 3), 0);
    for (int caller = 0; caller < Callers; ++caller) {
        const auto index = static_cast<std::size_t>(caller);
        EXPECT_TRUE(before[index] == after[index] || before[index] == "e3:1");
    }
    for (int entry = 0; entry < Entries; ++entry) {
        EXPECT_LT(countCallers(after, entry), Callers / (Entries - 1) * 115 / 100);
    }
}

TEST(EntriesAnswerTests, aSuspectEntryIsNamedLast)
{
    // An entry can't be reached by a peer but has not been given up. Callers are sent elsewhere first, and still have
    // its address if everything else fails.
    FakeNetwork network;
    startEight(network);
    auto suspect = network.recordOf(nameOf(0), nameOf(2));
    suspect.state = MemberState::Suspect;
    network.send(nameOf(0), RecordsReceived{ .from = nameOf(1), .records = { suspect }, .digest = {} });
    for (int caller = 0; caller < 100; ++caller) {
        EXPECT_EQ(ask(network, nameOf(0), caller).back(), "e2:1");
    }
}

TEST(EntriesAnswerTests, callersWithOldAnswersDoNotSlosh)
{
    // One entry's requests last twice as long, so its load is twice the mean. Reports come late and callers keep their
    // answers for five seconds. Callers must move away from it, and must not swing back and forth: an entry that is
    // emptied and flooded in turn would miss its targets all the time.
    constexpr int SlowEntry = 2;
    constexpr std::size_t ReportDelay = 3;
    constexpr int KeepSeconds = 5;
    constexpr int SettleSeconds = 300;
    FakeNetwork network;
    startEight(network);
    auto firsts = askAll(network, nameOf(0));
    const auto loadOf = [&](int entry) { return countCallers(firsts, entry) * (entry == SlowEntry ? 2 : 1) / 10; };
    std::deque<std::vector<int>> reports;
    std::vector<int> fewest(Entries, Callers);
    std::vector<int> most(Entries, 0);
    for (int second = 0; second < 2 * SettleSeconds; ++second) {
        for (int caller = second % KeepSeconds; caller < Callers; caller += KeepSeconds) {
            firsts[static_cast<std::size_t>(caller)] = ask(network, nameOf(0), caller).front();
        }
        auto &report = reports.emplace_back();
        for (int entry = 0; entry < Entries; ++entry) {
            report.push_back(loadOf(entry));
            const auto index = static_cast<std::size_t>(entry);
            fewest[index] = second < SettleSeconds ? fewest[index] : std::min(fewest[index], countCallers(firsts, entry));
            most[index] = second < SettleSeconds ? most[index] : std::max(most[index], countCallers(firsts, entry));
        }
        if (reports.size() > ReportDelay) {
            for (int entry = 0; entry < Entries; ++entry) {
                const auto openRequests = reports.front()[static_cast<std::size_t>(entry)];
                network.send(nameOf(0), LoadHeard{ .name = nameOf(entry), .openRequests = static_cast<std::uint32_t>(openRequests) });
            }
            reports.pop_front();
        }
        network.run(seconds(1));
    }
    EXPECT_LT(countCallers(firsts, SlowEntry), Callers / Entries * 3 / 4);
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        EXPECT_LE(most[entry] - fewest[entry], Callers / Entries / 10) << "entry " << entry << " swings";
    }
}
