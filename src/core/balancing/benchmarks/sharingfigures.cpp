/// \file
/// Prints the table of docs/measurements/sharing.md: the ways to share servers, in virtual time.

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

} // namespace

auto main() -> int
{
    std::printf("| load | offered | way | in flight | spread | most over | over %% | idle while waiting %% | wait ms | 99th wait ms | jump | served |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const Load load : Loads) {
        for (const double offered : Offered) {
            for (const Way way : allWays()) {
                printRow({ .way = way, .load = load, .offered = offered });
            }
        }
    }
    return 0;
}
