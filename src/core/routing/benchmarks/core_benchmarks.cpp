#include "core/routing/router.h"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::routing;

namespace
{

constexpr std::uint32_t Concurrency = 8;
constexpr std::uint32_t WorkspaceCount = 1000;
constexpr std::uint32_t FleetWorkspaceCount = 29000;
constexpr auto Far = std::chrono::hours(1000); ///< no target or deadline comes due
constexpr auto Between = std::chrono::microseconds(100);
constexpr auto Classes = std::to_array<const char *>({ "quote", "check", "ticket", "batch" });

auto workspaceName(std::uint32_t number) -> std::string
{
    return "workspace-" + std::to_string(number);
}

auto makeDocument(std::uint32_t servers, std::uint32_t workspaces) -> std::shared_ptr<configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = 1;
    auto &document = adopted->document;
    document.models = { { .name = "quote-7b", .versions = { "1" }, .adapters = { "tile" } } };
    int tier = 0;
    for (const auto *name : Classes) {
        document.classes.push_back({ .name = name,
                                     .tier = tier,
                                     .models = { { .model = "quote-7b" } },
                                     .firstTokenTarget = Far,
                                     .answerTarget = Far,
                                     .starvationBound = std::chrono::seconds(5) });
        tier += 2;
    }
    for (std::uint32_t number = 0; number < workspaces; ++number) {
        document.workspaces.push_back({ .name = workspaceName(number), .classes = { Classes.begin(), Classes.end() }, .requestsPerSecond = 1000000 });
    }
    for (std::uint32_t number = 0; number < servers; ++number) {
        const auto name = "gpu-" + std::to_string(number);
        document.backendServers.push_back({ .name = name,
                                            .address = name + ":80",
                                            .failureDomain = "domain-" + std::to_string(number % 3),
                                            .models = { { .model = "quote-7b", .version = "1", .adapters = { "tile" } } },
                                            .concurrency = Concurrency });
    }
    document.limits.queueLength = 1000000;
    return adopted;
}

/// A router under load: every slot taken, a queue behind it.
struct Load {
    RouterStatePointer router = makeRouter({ .entry = "entry-1", .failureDomain = "domain-0" });
    TimePoint now;
    std::uint64_t requests = 0;
    std::vector<AttemptId> running;
    std::size_t oldest = 0;
};

auto take(Load &load, const Event &event) -> void
{
    for (const auto &action : step(*load.router, event, load.now)) {
        if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            load.running.push_back(dispatch->attempt);
        }
    }
}

auto arrive(Load &load) -> void
{
    load.requests += 1;
    load.now += Between;
    take(load,
         RequestArrived{ .request = static_cast<RequestId>(load.requests),
                         .workspace = workspaceName(static_cast<std::uint32_t>(load.requests * 7919 % WorkspaceCount)),
                         .requestClass = Classes.at(load.requests % Classes.size()),
                         .adapter = load.requests % 3 == 0 ? "tile" : "",
                         .promptTokens = static_cast<std::uint32_t>(100 + load.requests % 400),
                         .fingerprint = static_cast<Fingerprint>(load.requests) });
}

auto finishOldest(Load &load) -> void
{
    const auto attempt = load.running.at(load.oldest);
    load.oldest += 1;
    load.now += Between;
    take(load, AttemptStarted{ attempt });
    load.now += Between;
    take(load, AttemptFinished{ .attempt = attempt, .relayedTokens = static_cast<std::uint32_t>(50 + load.oldest % 300) });
}

auto makeLoad(std::uint32_t servers, std::uint32_t queueLength) -> Load
{
    Load load;
    take(load, ConfigurationAdopted{ makeDocument(servers, WorkspaceCount) });
    for (std::uint32_t i = 0; i < servers * Concurrency + queueLength; ++i) {
        arrive(load);
    }
    return load;
}

/// One request in, one answered, the next one dispatched: three events. Arguments: servers, queue length.
auto benchmarkRequests(benchmark::State &state) -> void
{
    constexpr int EventsPerRound = 3;
    auto load = makeLoad(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    while (state.KeepRunning()) {
        finishOldest(load);
        arrive(load);
    }
    state.SetItemsProcessed(state.iterations() * EventsPerRound);
}

auto benchmarkTick(benchmark::State &state) -> void
{
    auto load = makeLoad(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    while (state.KeepRunning()) {
        load.now += std::chrono::milliseconds(20);
        take(load, Tick{});
    }
}

auto benchmarkReport(benchmark::State &state) -> void
{
    auto load = makeLoad(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    while (state.KeepRunning()) {
        load.now += std::chrono::milliseconds(250);
        take(load, Tick{});
        benchmark::DoNotOptimize(takeReport(*load.router));
    }
}

auto benchmarkConfiguration(benchmark::State &state) -> void
{
    auto load = makeLoad(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    const auto document = makeDocument(static_cast<std::uint32_t>(state.range(0)), FleetWorkspaceCount);
    std::uint64_t version = 1;
    while (state.KeepRunning()) {
        state.PauseTiming();
        auto adopted = std::make_shared<configuration::AdoptedDocument>(*document);
        version += 1;
        adopted->version = version;
        state.ResumeTiming();
        take(load, ConfigurationAdopted{ adopted });
    }
}

} // namespace

BENCHMARK(benchmarkRequests)
    ->ArgNames({ "servers", "queue" })
    ->Args({ 100, 10 })
    ->Args({ 100, 100 })
    ->Args({ 100, 1000 })
    ->Args({ 100, 10000 })
    ->Args({ 100, 100000 })
    ->Args({ 10, 1000 })
    ->Args({ 300, 1000 })
    ->Args({ 1000, 1000 });
BENCHMARK(benchmarkTick)->ArgNames({ "servers", "queue" })->Args({ 100, 1000 })->Args({ 1000, 1000 })->Args({ 100, 100000 });
BENCHMARK(benchmarkReport)->ArgNames({ "servers", "queue" })->Args({ 100, 1000 })->Args({ 1000, 1000 });
BENCHMARK(benchmarkConfiguration)->ArgNames({ "servers", "queue" })->Unit(benchmark::kMillisecond)->Args({ 100, 1000 })->Args({ 600, 1000 });

BENCHMARK_MAIN();
