#include "core/routing/router.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::routing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Entries = 3;
constexpr std::uint32_t Slots = 9;
constexpr std::uint32_t OpenLimit = 6;

struct Entry {
    RouterStatePointer router;
    std::vector<AttemptId> running;
    std::uint64_t requests = 0;
    std::uint32_t refused = 0;
};

auto makeDocument() -> std::shared_ptr<configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = 1;
    auto &document = adopted->document;
    document.models = { { .name = "quote-7b", .versions = { "1" } } };
    document.classes = { { .name = "quote", .tier = 0, .models = { { .model = "quote-7b" } } } };
    document.workspaces = { { .name = "free", .classes = { "quote" } }, { .name = "limited", .classes = { "quote" }, .concurrency = OpenLimit } };
    document.backendServers = { { .name = "gpu-1", .address = "127.0.0.1:1", .models = { { .model = "quote-7b", .version = "1" } }, .concurrency = Slots } };
    return adopted;
}

auto take(Entry &entry, const Event &event, TimePoint now) -> void
{
    for (const auto &action : step(*entry.router, event, now)) {
        if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            entry.running.push_back(dispatch->attempt);
        }
        entry.refused += std::holds_alternative<Refuse>(action) ? 1 : 0;
    }
}

auto makeCell() -> std::vector<Entry>
{
    std::vector<Entry> cell(Entries);
    std::vector<std::string> names;
    for (std::uint32_t number = 0; number < Entries; ++number) {
        names.push_back("entry-" + std::to_string(number));
        cell.at(number).router = makeRouter({ .entry = names.back(), .seed = number });
    }
    for (auto &entry : cell) {
        take(entry, ConfigurationAdopted{ makeDocument() }, {});
        take(entry, CellChanged{ names }, {});
    }
    return cell;
}

auto exchange(std::vector<Entry> &cell, TimePoint now) -> void
{
    std::vector<PeerReported> reports;
    reports.reserve(cell.size());
    for (auto &entry : cell) {
        take(entry, Tick{}, now);
        reports.push_back(takeReport(*entry.router));
    }
    for (auto &entry : cell) {
        for (const auto &report : reports) {
            take(entry, report, now);
        }
    }
}

auto arrive(Entry &entry, const std::string &workspace, TimePoint now) -> void
{
    entry.requests += 1;
    take(entry, RequestArrived{ .request = static_cast<RequestId>(entry.requests), .workspace = workspace, .requestClass = "quote" }, now);
}

auto finishOne(Entry &entry, TimePoint now) -> void
{
    if (!entry.running.empty()) {
        const auto attempt = entry.running.front();
        entry.running.erase(entry.running.begin());
        take(entry, AttemptStarted{ attempt }, now);
        take(entry, AttemptFinished{ .attempt = attempt, .relayedTokens = 10 }, now);
    }
}

auto countRunning(const std::vector<Entry> &cell) -> std::uint32_t
{
    std::uint32_t running = 0;
    for (const auto &entry : cell) {
        running += static_cast<std::uint32_t>(entry.running.size());
    }
    return running;
}

} // namespace

// Three entries share one backend server and hear of each other four times a second. Demand is even, then all of it
// comes to one entry. What runs never exceeds what the server takes, and the entry that has all the demand gets to use
// most of the server.
TEST(CellTests, entriesShareABackendServerByReports)
{
    auto cell = makeCell();
    TimePoint now{};
    for (int round = 0; round < 200; ++round) {
        now += 250ms;
        const auto busy = round < 100 ? Entries : 1;
        for (std::uint32_t number = 0; number < Entries; ++number) {
            auto &entry = cell.at(number);
            for (std::uint32_t i = 0; number < busy && i < Slots; ++i) {
                arrive(entry, "free", now);
            }
            for (std::uint32_t i = 0; i < 2; ++i) {
                finishOne(entry, now);
            }
            EXPECT_LE(countRunning(cell), Slots) << "round " << round;
        }
        exchange(cell, now);
    }
    EXPECT_GE(cell.front().running.size(), Slots - Entries);
}

// A workspace may have six requests open over all entries. Its callers send through all three at once, then hang on.
TEST(CellTests, aWorkspaceLimitHoldsOverAllEntries)
{
    auto cell = makeCell();
    TimePoint now{};
    for (int round = 0; round < 20; ++round) {
        now += 250ms;
        for (auto &entry : cell) {
            arrive(entry, "limited", now);
        }
        exchange(cell, now);
    }
    std::uint64_t open = 0;
    for (const auto &entry : cell) {
        open += entry.requests - entry.refused;
    }
    EXPECT_EQ(open, OpenLimit);
}

// An entry leaves the cell with six requests open, and its last report comes late. The workspace gets its places back: the
// report of an entry that is gone counts for nothing.
TEST(CellTests, aLateReportOfAnEntryThatLeftCountsForNothing)
{
    auto cell = makeCell();
    auto &entry = cell.front();
    const TimePoint now{};
    const PeerReported report{ .entry = "entry-1", .workspaces = { { .workspace = "limited", .requests = OpenLimit, .inFlight = OpenLimit } } };
    take(entry, report, now);
    arrive(entry, "limited", now);
    EXPECT_EQ(entry.refused, 1U);
    take(entry, CellChanged{ { "entry-0", "entry-2" } }, now);
    take(entry, report, now);
    arrive(entry, "limited", now);
    EXPECT_EQ(entry.refused, 1U);
}
