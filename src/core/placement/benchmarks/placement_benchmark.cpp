// Cost of the placer's decisions by the number of backend servers: a step in a fleet that has its wanted state, and the
// memory of the state. Run by hand; docs/CAPACITY.md has the figures.

#include "core/placement/tests/world.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace auburnspread;
using namespace auburnspread::placement;
using namespace auburnspread::placement::testing;

namespace
{

constexpr int Models = 16;

auto makeFleet(std::uint64_t version, int servers) -> std::shared_ptr<const configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = version;
    auto &document = adopted->document;
    configuration::RequestClass requestClass{ .name = "quote", .tier = 0 };
    for (int number = 0; number < Models; ++number) {
        const auto name = "model-" + std::to_string(number);
        document.models.push_back({ .name = name, .versions = { "1", "2" }, .adapters = { "tile", "truss" } });
        requestClass.models.push_back({ .model = name });
    }
    document.classes.push_back(requestClass);
    for (int number = 0; number < servers; ++number) {
        const auto name = "engine-" + std::to_string(number);
        const configuration::ServedModel served{ .model = "model-" + std::to_string(number % Models), .version = "1", .adapters = { "tile", "truss" } };
        document.backendServers.push_back({ .name = name, .address = "10.0.0.1:9000", .models = { served }, .checksFencing = true });
    }
    return adopted;
}

/// A world with one placer that has read and told every backend server.
auto settle(World &world, int servers) -> void
{
    world.document = makeFleet(1, servers);
    placeAll(world, world.document->document);
    world.addPlacer("a");
    world.run(std::chrono::minutes(10));
}

auto stepOfTick(benchmark::State &state) -> void
{
    World world;
    settle(world, static_cast<int>(state.range(0)));
    auto &placer = world.nodes["a"].state;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(step(placer, Tick{}, world.now));
    }
}

auto stepOfRead(benchmark::State &state) -> void
{
    World world;
    settle(world, static_cast<int>(state.range(0)));
    auto &placer = world.nodes["a"].state;
    auto &view = placer.servers["engine-0"];
    const auto report = world.engines["engine-0"].report(world.now);
    while (state.KeepRunning()) {
        view.read = PendingCall{ .call = CallId{ 1 }, .sentAt = world.now };
        benchmark::DoNotOptimize(step(placer, ServerRead{ .call = CallId{ 1 }, .backend = "engine-0", .report = report }, world.now));
    }
}

/// A pass over all backend servers: after each change, and once a second without one.
auto stepOfPass(benchmark::State &state) -> void
{
    World world;
    settle(world, static_cast<int>(state.range(0)));
    auto &placer = world.nodes["a"].state;
    while (state.KeepRunning()) {
        placer.changed = true;
        benchmark::DoNotOptimize(step(placer, Tick{}, world.now));
    }
}

auto memoryOfState(benchmark::State &state) -> void
{
    World world;
    settle(world, static_cast<int>(state.range(0)));
    while (state.KeepRunning()) {
        const auto before = ::mallinfo2().uordblks;
        const auto copy = world.nodes["a"].state;
        benchmark::DoNotOptimize(copy);
        const auto after = ::mallinfo2().uordblks;
        state.counters["bytes"] = static_cast<double>(after - before);
    }
}

BENCHMARK(stepOfTick)->Arg(60)->Arg(300)->Arg(600);
BENCHMARK(stepOfRead)->Arg(60)->Arg(300)->Arg(600);
BENCHMARK(stepOfPass)->Arg(60)->Arg(300)->Arg(600);
BENCHMARK(memoryOfState)->Arg(60)->Arg(300)->Arg(600)->Iterations(3);

} // namespace

BENCHMARK_MAIN();
