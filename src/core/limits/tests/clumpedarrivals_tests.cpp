#include "core/limits/workspacelimits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::limits;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TimeStep = 5ms;
constexpr Duration ReportInterval = 250ms;
constexpr Duration ReportDelay = 150ms;
constexpr Duration AddressKept = 5s; ///< how long all callers of the workspace keep to one entry
constexpr Duration AnswerTime = 1s;
constexpr std::uint32_t Tokens = 100;

struct Report {
    TimePoint arrives;
    std::size_t from = 0;
    Demand demand;
    std::uint32_t open = 0;
};

struct Answer {
    TimePoint ends;
    std::size_t entry = 0;
};

/// Entries whose reports are sent at different times and arrive late.
struct Cell {
    explicit Cell(std::size_t count)
        : entries(count)
        , peersOpen(count)
    {
    }

    std::vector<WorkspaceUsage> entries;
    std::vector<std::uint32_t> peersOpen; ///< by entry, as it last reported
    std::deque<Report> reports;
    std::deque<Answer> answers;
    TimePoint now{};
    std::mt19937 generator{ 11 };
    std::size_t busy = 0; ///< the entry that the callers keep to
    int taken = 0;
    int refused = 0;
    std::uint32_t mostOpen = 0;
};

auto deliver(Cell &cell, const configuration::Workspace &limits, const Report &report) -> void
{
    for (std::size_t to = 0; to < cell.entries.size(); ++to) {
        if (to == report.from) {
            continue;
        }
        auto &usage = cell.entries[to];
        notePeerDemand(usage, limits, report.demand, cell.now);
        usage.peersOpen = usage.peersOpen - cell.peersOpen[report.from] + report.open;
    }
    cell.peersOpen[report.from] = report.open;
}

auto exchange(Cell &cell, const configuration::Workspace &limits) -> void
{
    const auto phase = ReportInterval / TimeStep / static_cast<Duration::rep>(cell.entries.size());
    const auto tick = cell.now.time_since_epoch() / TimeStep;
    for (std::size_t entry = 0; entry < cell.entries.size(); ++entry) {
        if ((tick + phase * static_cast<Duration::rep>(entry)) % (ReportInterval / TimeStep) == 0) {
            auto &usage = cell.entries[entry];
            cell.reports.push_back({ .arrives = cell.now + ReportDelay, .from = entry, .demand = takeDemand(usage, cell.now), .open = usage.open });
        }
    }
    while (!cell.reports.empty() && cell.reports.front().arrives <= cell.now) {
        deliver(cell, limits, cell.reports.front());
        cell.reports.pop_front();
    }
}

auto endAnswers(Cell &cell) -> void
{
    while (!cell.answers.empty() && cell.answers.front().ends <= cell.now) {
        release(cell.entries[cell.answers.front().entry], Tokens, Tokens);
        cell.answers.pop_front();
    }
}

auto ask(Cell &cell, const configuration::Workspace &limits, std::size_t entry) -> void
{
    if (takeIn(cell.entries[entry], limits, Tokens, static_cast<std::uint32_t>(cell.entries.size()), cell.now)) {
        cell.refused += 1;
        return;
    }
    cell.taken += 1;
    cell.answers.push_back({ .ends = cell.now + AnswerTime, .entry = entry });
    std::uint32_t open = 0;
    for (const auto &usage : cell.entries) {
        open += usage.open;
    }
    cell.mostOpen = std::max(cell.mostOpen, open);
}

auto pickEntry(Cell &cell) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, cell.entries.size() - 1)(cell.generator);
}

auto arrivalsInStep(Cell &cell, double perSecond) -> int
{
    const auto mean = perSecond * std::chrono::duration<double>(TimeStep).count();
    return std::poisson_distribution<int>(mean)(cell.generator);
}

/// \p perSecond requests at random times, all at one entry while its address is kept, or else each at any entry.
auto run(Cell &cell, const configuration::Workspace &limits, double perSecond, bool clumped, Duration time) -> void
{
    const auto end = cell.now + time;
    for (; cell.now < end; cell.now += TimeStep) {
        endAnswers(cell);
        exchange(cell, limits);
        if (cell.now.time_since_epoch() % AddressKept == Duration::zero()) {
            cell.busy = pickEntry(cell);
        }
        for (auto count = arrivalsInStep(cell, perSecond); count > 0; --count) {
            ask(cell, limits, clumped ? cell.busy : pickEntry(cell));
        }
    }
}

auto smallWorkspace() -> configuration::Workspace
{
    return { .requestsPerSecond = 8, .requestBurst = 24, .tokensPerSecond = 1500, .tokenBurst = 9000, .concurrency = 24 };
}

} // namespace

// A workspace at a third of its limits is refused. Its callers keep one address for seconds, so that its requests come
// in clumps to one entry after the other, while that entry knows its own demand only from its next report and its peers'
// from theirs. Its share then seems next to nothing, although nobody uses the rest.
TEST(ClumpedArrivalsTests, aWorkspaceFarBelowItsLimitsIsNeverRefused)
{
    for (const std::size_t entries : { 1, 3, 8, 12 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(entries);
            run(cell, smallWorkspace(), 2.8, clumped, 600s);
            EXPECT_EQ(cell.refused, 0) << entries << " entries, clumped " << clumped;
            EXPECT_GT(cell.taken, 1500);
        }
    }
}

// A workspace asks for five times its rate, at one entry after the other or at all of them. All entries together take
// its rate and, once, its burst or a quarter of it at each, whichever is more. Where the callers move together, each
// entry that they reach needs a second to be left the rate: the workspace loses part of it, but no more than a quarter.
TEST(ClumpedArrivalsTests, aWorkspaceOverItsLimitIsHeldToItOverAllEntries)
{
    constexpr int Rate = 8;
    constexpr int Burst = 24;
    constexpr int Time = 120;
    for (const int entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(static_cast<std::size_t>(entries));
            run(cell, { .requestsPerSecond = Rate, .requestBurst = Burst }, 5 * Rate, clumped, std::chrono::seconds(Time));
            EXPECT_LE(cell.taken, Rate * Time * 1.1 + std::max(Burst, entries * Burst / 4)) << entries << " entries, clumped " << clumped;
            EXPECT_GE(cell.taken, Rate * Time * (clumped ? 0.75 : 0.95)) << entries << " entries, clumped " << clumped;
        }
    }
}

// The same with requests open: together they stay within the limit, or the quarter of it that each entry may open before
// it hears of the others, and two requests for each entry. Open places are not left unused meanwhile.
TEST(ClumpedArrivalsTests, concurrencyIsHeldOverAllEntries)
{
    constexpr int Concurrency = 24;
    for (const int entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(static_cast<std::size_t>(entries));
            run(cell, { .concurrency = Concurrency }, 5 * Concurrency, clumped, 60s);
            EXPECT_LE(cell.mostOpen, std::max(Concurrency, entries * Concurrency / 4) + 2 * entries) << entries << " entries, clumped " << clumped;
            EXPECT_GE(cell.taken, Concurrency * 60 * 0.7) << entries << " entries, clumped " << clumped;
        }
    }
}
