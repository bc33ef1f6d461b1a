/// \file
/// Time of one choice with its dispatch and end, and of one update of all shares, by the number of servers.

#include "core/balancing/tests/deployment.h"

#include <benchmark/benchmark.h>

using namespace auburnspread;
using namespace auburnspread::balancing;
using namespace auburnspread::balancing::tests;

namespace
{

constexpr std::size_t CellSize = 12;

/// Half of all slots in flight, so that a choice meets both free and full servers.
auto makeBusy(std::uint32_t servers) -> StatePointer
{
    auto state = makeBalancing({ .servers = servers, .concurrency = 8 });
    for (std::uint64_t attempt = 1; attempt <= std::uint64_t{ servers } * 4; ++attempt) {
        noteDispatched(*state, AttemptId{ attempt }, *chooseServer(*state, Quote, Start), Quote, Start);
    }
    return state;
}

auto runChoices(benchmark::State &run, const Query &query) -> void
{
    const auto state = makeBusy(static_cast<std::uint32_t>(run.range(0)));
    std::uint64_t attempt = 1'000'000;
    Query each = query;
    while (run.KeepRunning()) {
        each.prefixHash = query.prefixHash == 0 ? 0 : attempt;
        const auto server = chooseServer(*state, each, Start);
        noteDispatched(*state, AttemptId{ attempt }, *server, each, Start);
        noteFinished(*state, AttemptId{ attempt }, 100, Start);
        ++attempt;
    }
}

auto chooseByLoad(benchmark::State &run) -> void
{
    runChoices(run, Quote);
}

auto chooseByPrefix(benchmark::State &run) -> void
{
    Query query = Quote;
    query.prefixHash = 1;
    runChoices(run, query);
}

auto updateAllShares(benchmark::State &run) -> void
{
    const auto servers = static_cast<std::uint32_t>(run.range(0));
    const auto state = makeBusy(servers);
    noteCell(*state, entryNames(CellSize), Start);
    UseReport report{ .entry = entryName(1), .servers = {}, .demand = { { .pool = demandName(Quote), .waiting = 50 } } };
    for (std::uint32_t number = 0; number < servers; ++number) {
        report.servers.push_back({ .server = serverName(number), .inFlight = 1 });
    }
    TimePoint now = Start;
    while (run.KeepRunning()) {
        now += std::chrono::milliseconds(100);
        notePeerReport(*state, report, now);
        advance(*state, now);
    }
}

} // namespace

BENCHMARK(chooseByLoad)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Arg(1000);
BENCHMARK(chooseByPrefix)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Arg(1000);
BENCHMARK(updateAllShares)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Arg(1000);

BENCHMARK_MAIN();
