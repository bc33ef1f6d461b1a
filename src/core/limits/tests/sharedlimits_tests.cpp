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
constexpr Duration AddressLifetime = 5s; ///< time for which all callers of the workspace use the same entry
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

/// Requests of one tier of the workspace, with counts of their outcomes.
struct Flow {
    double perSecond = 0;
    bool clumped = false; ///< whether all requests go to the same entry during AddressLifetime, instead of each to a random entry
    double reserve = 0;   ///< see LimitRequest
    int admitted = 0;
    int refused = 0;
};

/// Entries whose reports are sent at different times and arrive with a delay.
struct Cell {
    explicit Cell(std::size_t count)
        : entries(count)
        , peersOpen(count)
    {
    }

    std::vector<WorkspaceUsage> entries;
    std::vector<std::uint32_t> peersOpen; ///< for each entry, the open requests in its last report
    std::deque<Report> reports;
    std::deque<Answer> answers;
    TimePoint now{};
    std::mt19937 generator{ 11 };
    std::size_t clumpEntry = 0; ///< the entry that clumped callers use
    std::uint32_t mostOpen = 0;
};

auto deliver(Cell &cell, const configuration::Workspace &limits, const Report &report) -> void
{
    for (std::size_t to = 0; to < cell.entries.size(); ++to) {
        if (to == report.from) {
            continue;
        }
        auto &usage = cell.entries[to];
        recordPeerDemand(usage, limits, report.demand, cell.now);
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

auto sendRequest(Cell &cell, const configuration::Workspace &limits, Flow &flow) -> void
{
    const auto entry = flow.clumped ? cell.clumpEntry : pickEntry(cell);
    if (admit(cell.entries[entry], limits, { .tokens = Tokens, .reserve = flow.reserve }, static_cast<std::uint32_t>(cell.entries.size()), cell.now)) {
        flow.refused += 1;
        return;
    }
    flow.admitted += 1;
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
        if (cell.now.time_since_epoch() % AddressLifetime == Duration::zero()) {
            cell.clumpEntry = pickEntry(cell);
        }
        for (auto &flow : flows) {
            for (auto count = arrivalsInStep(cell, flow.perSecond); count > 0; --count) {
                sendRequest(cell, limits, flow);
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

// Guards against refusing a workspace that is at a third of its limits. Its callers keep one address for seconds, so its requests arrive in
// clumps at one entry after another. That entry counts its own demand only from its next report on and that of its peers only after their
// reports, so its share would be close to zero although no other entry uses the rest.
TEST(SharedLimitsTests, aWorkspaceFarBelowItsLimitsIsNeverRefused)
{
    for (const std::size_t entries : { 1, 3, 8, 12 }) {
        for (const bool clumped : { true, false }) {
            for (const auto reserve : { 0.0, MaxReserve }) {
                Cell cell(entries);
                std::vector<Flow> flows{ { .perSecond = 2.8, .clumped = clumped, .reserve = reserve } };
                run(cell, smallWorkspace(), flows, 600s);
                EXPECT_EQ(flows[0].refused, 0) << entries << " entries, clumped " << clumped << ", reserve " << reserve;
                EXPECT_GT(flows[0].admitted, 1500);
            }
        }
    }
}

// A workspace demands five times its rate, at one entry after another or at all of them. All entries together admit its rate and, once, its
// burst or a quarter of it at each entry, whichever is more. If the callers move together, each entry needs a second after they arrive until
// it is left the whole rate: the workspace may lose part of its rate, but no more than a quarter.
TEST(SharedLimitsTests, rateLimitHoldsOverAllEntries)
{
    constexpr int Rate = 8;
    constexpr int Burst = 24;
    constexpr int Time = 120;
    for (const int entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(static_cast<std::size_t>(entries));
            std::vector<Flow> flows{ { .perSecond = 5 * Rate, .clumped = clumped } };
            run(cell, { .requestsPerSecond = Rate, .requestBurst = Burst }, flows, std::chrono::seconds(Time));
            EXPECT_LE(flows[0].admitted, Rate * Time * 1.1 + std::max(Burst, entries * Burst / 4)) << entries << " entries, clumped " << clumped;
            EXPECT_GE(flows[0].admitted, Rate * Time * (clumped ? 0.75 : 0.95)) << entries << " entries, clumped " << clumped;
        }
    }
}

// The same for concurrent requests: together the entries stay within the limit, or within the quarter of it that each entry may open before
// it receives reports of the others, plus two requests for each entry. Most of the places must be used.
TEST(SharedLimitsTests, concurrencyLimitHoldsOverAllEntries)
{
    constexpr int Concurrency = 24;
    for (const int entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(static_cast<std::size_t>(entries));
            std::vector<Flow> flows{ { .perSecond = 5 * Concurrency, .clumped = clumped } };
            run(cell, { .concurrency = Concurrency }, flows, 60s);
            EXPECT_LE(cell.mostOpen, std::max(Concurrency, entries * Concurrency / 4) + 2 * entries) << entries << " entries, clumped " << clumped;
            EXPECT_GE(flows[0].admitted, Concurrency * 60 * 0.7) << entries << " entries, clumped " << clumped;
        }
    }
}

// Guards against refusing the highest tier because of a flood of a lower one. For a minute, the lower tier demands twenty times the limits of
// the workspace, while the highest tier uses a quarter of them. If each request could take what is left, the buckets would be empty and all
// places in use whenever a request of the highest tier arrives.
TEST(SharedLimitsTests, aFloodOfALowerTierLeavesTheReserveToTheHighest)
{
    for (const std::size_t entries : { 1, 3, 8 }) {
        for (const bool clumped : { true, false }) {
            Cell cell(entries);
            std::vector<Flow> flows{ { .perSecond = 15, .clumped = clumped }, { .perSecond = 1200, .reserve = MaxReserve } };
            run(cell, largeWorkspace(), flows, 60s);
            EXPECT_EQ(flows[0].refused, 0) << entries << " entries, clumped " << clumped << ", of " << flows[0].admitted;
            EXPECT_GT(flows[1].admitted, 30 * 60) << entries << " entries, clumped " << clumped;
        }
    }
}

// Guards against starving the lower tiers. The highest tier demands ten times the limits for a minute; for each ten of its admitted
// requests, one of the lower tiers may compete on equal terms.
TEST(SharedLimitsTests, aFloodOfTheHighestTierDoesNotStarveALowerOne)
{
    for (const std::size_t entries : { 1, 3, 8 }) {
        Cell cell(entries);
        std::vector<Flow> flows{ { .perSecond = 600 }, { .perSecond = 60, .reserve = MaxReserve } };
        run(cell, largeWorkspace(), flows, 60s);
        EXPECT_GT(flows[1].admitted, 60) << entries << " entries";
        EXPECT_GT(flows[0].admitted, flows[1].admitted * 9) << entries << " entries";
    }
}
