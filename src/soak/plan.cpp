#include "soak/plan.h"

#include <algorithm>
#include <random>

namespace auburnspread::soak
{

namespace
{

constexpr Duration ShortestFault = std::chrono::milliseconds(100);
constexpr Duration LongestFault = std::chrono::seconds(4);

using Random = std::mt19937_64;

auto drawDuration(Random &random, Duration least, Duration most) -> Duration
{
    return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random));
}

/// A number below \p end.
auto drawBelow(Random &random, std::size_t end) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
}

auto drawKind(Random &random, bool onlyPlannedWork) -> FaultKind
{
    while (true) {
        const auto kind = FaultKinds.at(drawBelow(random, FaultKinds.size())).value;
        if (!onlyPlannedWork || isPlannedWork(kind)) {
            return kind;
        }
    }
}

auto isOfServer(FaultKind kind) -> bool
{
    return kind == FaultKind::ServerPath || kind == FaultKind::ServerCrashes || kind == FaultKind::ServerLeaves;
}

} // namespace

auto makePlan(const PlanOptions &options) -> std::vector<Fault>
{
    Random random(options.seed);
    const auto seconds = std::chrono::duration<double>(options.length).count();
    std::vector<Fault> plan(static_cast<std::size_t>(seconds * options.faultsPerSecond));
    for (auto &fault : plan) {
        fault.at = drawDuration(random, Duration::zero(), options.length);
        fault.length = drawDuration(random, ShortestFault, LongestFault);
        fault.kind = drawKind(random, options.onlyPlannedWork);
        fault.target = drawBelow(random, isOfServer(fault.kind) ? options.servers : options.entries);
        fault.path = PathFaults.at(1 + drawBelow(random, PathFaults.size() - 1)).value;
    }
    std::stable_sort(plan.begin(), plan.end(), [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return plan;
}

} // namespace auburnspread::soak
