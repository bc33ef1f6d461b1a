#include "soak/plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>

namespace auburnspread::soak
{

namespace
{

constexpr Duration ShortestFault = std::chrono::milliseconds(100);
constexpr Duration LongestFault = std::chrono::seconds(4);
/// \name Of a limit of a backend server: long enough to be seen over several windows
/// @{
constexpr Duration ShortestLimit = std::chrono::seconds(6);
constexpr Duration LongestLimit = std::chrono::seconds(12);
constexpr double LeastRate = 0.3;
constexpr double MostRate = 6;
/// @}
/// \name Overload of a backend server, during which it asks for a backoff with each rejection
/// @{
constexpr Duration ShortestOverload = std::chrono::seconds(2);
constexpr Duration LongestOverload = std::chrono::seconds(8);
constexpr Duration ShortestBackoff = std::chrono::seconds(1);
constexpr Duration LongestBackoff = std::chrono::seconds(4);
/// @}
/// \name Silence of backend servers: on both sides of the timeouts of entries, which are about a second, and shorter than any deadline
/// @{
constexpr Duration ShortestSilence = std::chrono::milliseconds(300);
constexpr Duration LongestSilence = std::chrono::milliseconds(2500);
/// One silence in so many is one of all servers.
constexpr std::size_t SilencesOfAll = 3;
/// @}
/// \name Cuts of an entry from all backend servers: on both sides of the time after which it forwards requests
/// @{
constexpr Duration ShortestCut = std::chrono::seconds(1);
constexpr Duration LongestCut = std::chrono::seconds(8);
constexpr Duration ShortestAgain = std::chrono::milliseconds(400);
constexpr Duration LongestAgain = std::chrono::seconds(2);
/// @}
/// \name Brittle servers, and requests with a crashing part: long enough for the bounds on both
/// @{
constexpr Duration ShortestOfService = std::chrono::seconds(6);
constexpr Duration LongestOfService = std::chrono::seconds(10);
constexpr double MostRejections = 4;
/// @}

/// \name Slow backend servers: the exit of an entry that is leaving falls into it
/// @{
constexpr Duration ShortestSlowdown = std::chrono::seconds(3);
constexpr Duration LongestSlowdown = std::chrono::seconds(8);
constexpr double LeastSlowness = 2;
constexpr double MostSlowness = 10;
/// One slowdown in so many is one of all servers.
constexpr std::size_t SlowdownsOfAll = 2;
/// @}

/// Number of kinds that are drawn as faults. They come first in the table.
constexpr auto DrawnKinds = static_cast<std::size_t>(
    std::count_if(FaultKinds.begin(), FaultKinds.end(), [](const NamedValue<FaultKind> &each) { return !isDrawnSeparately(each.value); }));

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
        const auto kind = FaultKinds.at(drawBelow(random, DrawnKinds)).value;
        if (!onlyPlannedWork || isPlannedWork(kind)) {
            return kind;
        }
    }
}

auto isOfServer(FaultKind kind) -> bool
{
    return kind == FaultKind::ServerPath || kind == FaultKind::ServerCrashes || kind == FaultKind::ServerLeaves;
}

/// Adds what \p draw returns, \p perSecond times a second, drawn from numbers of their own, so that the other faults of a seed stay the same.
template <typename Draw>
auto addDrawn(std::vector<Fault> &plan, const PlanOptions &options, std::uint64_t otherSeed, double perSecond, Draw draw) -> void
{
    Random random(options.seed ^ otherSeed);
    const auto count = static_cast<std::size_t>(std::chrono::duration<double>(options.length).count() * perSecond);
    std::generate_n(std::back_inserter(plan), count, [&]() { return draw(random); });
}

auto addLimits(std::vector<Fault> &plan, const PlanOptions &options) -> void
{
    constexpr std::uint64_t OtherSeed = 0x6c696d6974ULL;
    addDrawn(plan, options, OtherSeed, options.limitsPerSecond, [&options](Random &random) -> Fault {
        return {
            .at = drawDuration(random, Duration::zero(), options.length),
            .length = drawDuration(random, ShortestLimit, LongestLimit),
            .kind = FaultKind::ServerLimit,
            .target = drawBelow(random, options.servers),
            .perSecond = std::uniform_real_distribution<double>(LeastRate, MostRate)(random),
        };
    });
}

auto addNotices(std::vector<Fault> &plan, const PlanOptions &options) -> void
{
    constexpr std::uint64_t OtherSeed = 0x6e6f74696365ULL;
    addDrawn(plan, options, OtherSeed, options.noticesPerSecond, [&options](Random &random) -> Fault {
        return {
            .at = drawDuration(random, Duration::zero(), options.length),
            .length = drawDuration(random, ShortestOverload, LongestOverload),
            .kind = drawBelow(random, 2) == 0 ? FaultKind::ServerBackoff : FaultKind::ServerSilentlyLeaves,
            .target = drawBelow(random, options.servers),
            .backoff = drawDuration(random, ShortestBackoff, LongestBackoff),
        };
    });
}

auto addSilences(std::vector<Fault> &plan, const PlanOptions &options) -> void
{
    constexpr std::uint64_t OtherSeed = 0x73696c656e6365ULL;
    addDrawn(plan, options, OtherSeed, options.silencesPerSecond, [&options](Random &random) -> Fault {
        const auto isOfAll = drawBelow(random, SilencesOfAll) == 0;
        return {
            .at = drawDuration(random, Duration::zero(), options.length),
            .length = drawDuration(random, ShortestSilence, LongestSilence),
            .kind = FaultKind::ServerSilent,
            .target = drawBelow(random, options.servers),
            .servers = isOfAll ? options.servers : 1 + drawBelow(random, options.servers),
        };
    });
}

auto addRestores(std::vector<Fault> &plan, const PlanOptions &options) -> void
{
    constexpr std::uint64_t OtherSeed = 0x726573746f7265ULL;
    addDrawn(plan, options, OtherSeed, options.restoresPerSecond, [&options](Random &random) -> Fault {
        return {
            .at = drawDuration(random, Duration::zero(), options.length),
            .length = drawDuration(random, ShortestFault, LongestFault),
            .kind = FaultKind::StoreRestored,
        };
    });
}

auto addCuts(std::vector<Fault> &plan, const PlanOptions &options) -> void
{
    constexpr std::uint64_t OtherSeed = 0x637574ULL;
    constexpr auto Paths = std::to_array<PathFault>({ PathFault::Cut, PathFault::CutThere, PathFault::CutBack, PathFault::Reset });
    addDrawn(plan, options, OtherSeed, options.cutsPerSecond, [&options, &Paths](Random &random) -> Fault {
        const auto isRecurring = drawBelow(random, 2) == 0;
        return {
            .at = drawDuration(random, Duration::zero(), options.length),
            .length = drawDuration(random, ShortestCut, LongestCut),
            .kind = FaultKind::EntryCutOff,
            .target = drawBelow(random, options.entries),
            .path = Paths.at(drawBelow(random, Paths.size())),
            .again = isRecurring ? drawDuration(random, ShortestAgain, LongestAgain) : Duration::zero(),
        };
    });
}

auto addSlowdowns(std::vector<Fault> &plan, const PlanOptions &options) -> void
{
    constexpr std::uint64_t OtherSeed = 0x736c6f77ULL;
    addDrawn(plan, options, OtherSeed, options.slowdownsPerSecond, [&options](Random &random) -> Fault {
        const auto isOfAll = drawBelow(random, SlowdownsOfAll) == 0;
        return {
            .at = drawDuration(random, Duration::zero(), options.length),
            .length = drawDuration(random, ShortestSlowdown, LongestSlowdown),
            .kind = FaultKind::ServersSlow,
            .target = drawBelow(random, options.servers),
            .servers = isOfAll ? options.servers : 1 + drawBelow(random, options.servers),
            .slowness = std::uniform_real_distribution<double>(LeastSlowness, MostSlowness)(random),
        };
    });
}

/// Times in which all servers, or the requests, are of a kind.
auto addOfService(std::vector<Fault> &plan, const PlanOptions &options, FaultKind kind, std::uint64_t otherSeed, double perSecond) -> void
{
    addDrawn(plan, options, otherSeed, perSecond, [&options, kind](Random &random) -> Fault {
        return {
            .at = drawDuration(random, Duration::zero(), options.length),
            .length = drawDuration(random, ShortestOfService, LongestOfService),
            .kind = kind,
            .perSecond = 1 + std::floor(std::uniform_real_distribution<double>(0, MostRejections)(random)),
        };
    });
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
    addLimits(plan, options);
    addNotices(plan, options);
    addSilences(plan, options);
    addRestores(plan, options);
    addCuts(plan, options);
    constexpr std::uint64_t BrittleSeed = 0x627269747465ULL;
    constexpr std::uint64_t PartSeed = 0x70617274ULL;
    addOfService(plan, options, FaultKind::ServersBrittle, BrittleSeed, options.brittlePerSecond);
    addOfService(plan, options, FaultKind::CrashingPart, PartSeed, options.partsPerSecond);
    addSlowdowns(plan, options);
    std::stable_sort(plan.begin(), plan.end(), [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return plan;
}

} // namespace auburnspread::soak
