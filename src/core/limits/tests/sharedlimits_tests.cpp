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

/// Requests of one tier of the workspace, and what became of them.
struct Flow {
    double perSecond = 0;
    bool clumped = false; ///< all at one entry while its address is kept, or else each at any entry
    double reserve = 0;   ///< see Ask
    int taken = 0;
    int refused = 0;
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

auto pickEntry(Cell &cell) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, cell.entries.size() - 1)(cell.generator);
}

auto ask(Cell &cell, const configuration::Workspace &limits, Flow &flow) -> void
{
    const auto entry = flow.clumped ? cell.busy : pickEntry(cell);
    if (takeIn(cell.entries[entry], limits, { .tokens = Tokens, .reserve = flow.reserve }, static_cast<std::uint32_t>(cell.entries.size()), cell.now)) {
        flow.refused += 1;
        return;
    }
    flow.taken += 1;
    cell.answers.push_back({ .ends = cell.now + AnswerTime, .entry = entry });
    std::uint32_t open = 0;
    for (const auto &usage : cell.entries) {
        open += usage.open;
    }
    cell.mostOpen = std::max(cell.mostOpen, open);
}

auto arrivalsInStep(Cell &cell, double perSecond) -> int
{
    const auto mean = perSecond * std::chrono::duration<double>(TimeStep).count();
    return std::poisson_distribution<int>(mean)(cell.generator);
}

auto run(Cell &cell, const configuration::Workspace &limits, std::vector<Flow> &flows, Duration time) -> void
{
    const auto end = cell.now + time;
    for (; cell.now < end; cell.now += TimeStep) {
        endAnswers(cell);
        exchange(cell, limits);
        if (cell.now.time_since_epoch() % AddressKept == Duration::zero()) {
            cell.busy = pickEntry(cell);
        }
        for (auto &flow : flows) {
            for (auto count = arrivalsInStep(cell, flow.perSecond); count > 0; --count) {
                ask(cell, limits, flow);
            }
        }
    }
}

auto smallWorkspace() -> configuration::Workspace
{
    return { .requestsPerSecond = 8, .requestBurst = 24, .tokensPerSecond = 1500, .tokenBurst = 9000, .concurrency = 24 };
}

auto largeWorkspace() -> configuration::Workspace
{
    return { .requestsPerSecond = 60, .requestBurst = 180, .tokensPerSecond = 12000, .tokenBurst = 60000, .concurrency = 200 };
}

} // namespace

// A workspace at a third of its limits is refused. Its callers keep one address for seconds, so that its requests come
// in clumps to one entry after the other, while that entry knows its own demand only from its next report and its peers'
// from theirs. Its share then seems next to nothing, although nobody uses the rest.
TEST(SharedLimitsTests, aWorkspaceFarBelowItsLimitsIsNeverRefused)
{
    for (const std::size_t entries : { 1, 3, 8, 12 }) {
        for (const bool clumped : { true, false }) {
            for (const auto reserve : { 0.0, LargestReserve }) {
                Cell cell(entries);
                std::vector<Flow> flows{ { .perSecond = 2.8, .clumped = clumped, .reserve = reserve } };
                run(cell, smallWorkspace(), flows, 600s);
                EXPECT_EQ(flows[0].refused, 0) << entries << " entries, clumped " << clumped << ", reserve " << reserve;
                EXPECT_GT(flows[0].taken, 1500);
            }
        }
    }
}

// A workspace asks for five times its rate, at one entry after the other or at all of them. All entries together take
// its rate and, once, its burst or a quarter of it at each, whichever is more. Where the callers move together, each
// entry that they reach needs a second to be left the rate: the workspace loses part of it, but no more than a quarter.
TEST(SharedLimitsTests, aWorkspaceOverItsLimitIsHeldToItOverAllEntries)
{
    constexpr int Rate = 8;
    constexpr int Burst = 24;
    constexpr int Time = 120;
    for (const int entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(static_cast<std::size_t>(entries));
            std::vector<Flow> flows{ { .perSecond = 5 * Rate, .clumped = clumped } };
            run(cell, { .requestsPerSecond = Rate, .requestBurst = Burst }, flows, std::chrono::seconds(Time));
            EXPECT_LE(flows[0].taken, Rate * Time * 1.1 + std::max(Burst, entries * Burst / 4)) << entries << " entries, clumped " << clumped;
            EXPECT_GE(flows[0].taken, Rate * Time * (clumped ? 0.75 : 0.95)) << entries << " entries, clumped " << clumped;
        }
    }
}

// The same with requests open: together they stay within the limit, or the quarter of it that each entry may open before
// it hears of the others, and two requests for each entry. Open places are not left unused meanwhile.
TEST(SharedLimitsTests, concurrencyIsHeldOverAllEntries)
{
    constexpr int Concurrency = 24;
    for (const int entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(static_cast<std::size_t>(entries));
            std::vector<Flow> flows{ { .perSecond = 5 * Concurrency, .clumped = clumped } };
            run(cell, { .concurrency = Concurrency }, flows, 60s);
            EXPECT_LE(cell.mostOpen, std::max(Concurrency, entries * Concurrency / 4) + 2 * entries) << entries << " entries, clumped " << clumped;
            EXPECT_GE(flows[0].taken, Concurrency * 60 * 0.7) << entries << " entries, clumped " << clumped;
        }
    }
}

// A lower tier of a workspace asks for twenty times its limits, for a minute, while the highest tier goes on at a quarter
// of them. Did each request take what is left, the bucket would be empty and every place open when the next of the
// highest tier comes, and it would be refused for the sake of lower ones.
TEST(SharedLimitsTests, aFloodOfALowerTierLeavesTheHighestItsPart)
{
    for (const std::size_t entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(entries);
            std::vector<Flow> flows{ { .perSecond = 15, .clumped = clumped }, { .perSecond = 1200, .reserve = LargestReserve } };
            run(cell, largeWorkspace(), flows, 60s);
            EXPECT_EQ(flows[0].refused, 0) << entries << " entries, clumped " << clumped << ", of " << flows[0].taken;
            EXPECT_GT(flows[1].taken, 30 * 60) << entries << " entries, clumped " << clumped;
        }
    }
}

// The highest tier alone asks for ten times the limits for a minute. Its lower tiers must not starve meanwhile: what the
// highest takes lets one request of the lower ones compete on equal terms for each ten of its own.
TEST(SharedLimitsTests, aFloodOfTheHighestTierDoesNotStarveALowerOne)
{
    for (const std::size_t entries : { 1, 3, 8 }) {
        Cell cell(entries);
        std::vector<Flow> flows{ { .perSecond = 600 }, { .perSecond = 60, .reserve = LargestReserve } };
        run(cell, largeWorkspace(), flows, 60s);
        EXPECT_GT(flows[1].taken, 60) << entries << " entries";
        EXPECT_GT(flows[0].taken, flows[1].taken * 9) << entries << " entries";
    }
}
