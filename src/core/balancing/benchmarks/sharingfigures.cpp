/// \file
/// Prints the tables of docs/measurements/sharing.md: the ways to share servers, in virtual time.

#include "core/balancing/tests/sharingsimulation.h"

#include <array>
#include <cstdio>
#include <string>

using namespace auburnspread::balancing::tests;

namespace
{

constexpr std::array Loads{ Load::Even, Load::OneBursts, Load::MovingBurst };
constexpr std::array Offered{ 0.7, 0.95, 1.3 };

auto printRow(const SimulationOptions &options) -> void
{
    const SimulationResult result = simulate(options);
    std::printf("| %s | %.2f | %s | %.2f | %.2f | %u | %.2f | %.2f | %.1f | %.1f | %.2f | %llu |\n",
                std::string(loadName(options.load)).c_str(),
                options.offered,
                std::string(wayName(options.way)).c_str(),
                result.meanInFlight,
                result.spread,
                result.mostOver,
                result.overPercent,
                result.idlePercent,
                result.meanWaitMs,
                result.longWaitMs,
                result.jumps,
                static_cast<unsigned long long>(result.served));
}

auto printHeading(const char *title) -> void
{
    std::printf("\n%s\n\n", title);
    std::printf("| load | offered | way | in flight | spread | most over | over %% | idle while waiting %% | wait ms | 99th wait ms | jump | served |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

auto printWays() -> void
{
    printHeading("8 entries, 18 servers of 8 slots, reports every 250 ms");
    for (const Load load : Loads) {
        for (const double offered : Offered) {
            for (const Way way : allWays()) {
                printRow({ .way = way, .load = load, .offered = offered });
            }
        }
    }
}

auto printIntervals() -> void
{
    for (const int milliseconds : { 100, 250, 500, 1000, 1900 }) {
        const std::string title = "The same by exchanged vectors, reports every " + std::to_string(milliseconds) + " ms";
        printHeading(title.c_str());
        for (const Load load : Loads) {
            printRow({ .load = load, .offered = 0.95, .reportInterval = std::chrono::milliseconds(milliseconds) });
        }
    }
}

auto printShapes() -> void
{
    printHeading("12 entries, 40 servers of 8 slots");
    for (const Load load : Loads) {
        printRow({ .load = load, .offered = 0.95, .entries = 12, .servers = 40 });
    }
    printHeading("8 entries, 3 servers of 8 slots");
    for (const Load load : Loads) {
        printRow({ .load = load, .offered = 0.95, .servers = 3 });
    }
    printHeading("12 entries, 2 servers of 4 slots");
    for (const Load load : Loads) {
        printRow({ .load = load, .offered = 0.95, .entries = 12, .servers = 2, .concurrency = 4 });
    }
}

} // namespace

auto main() -> int
{
    printWays();
    printIntervals();
    printShapes();
    return 0;
}
