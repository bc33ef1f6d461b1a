/// \file
/// Which faults a soak injects and when, drawn from a seed: in series and overlapping, on any process and path.

#pragma once

#include "core/base/nametable.h"
#include "core/base/time.h"
#include "soak/proxy.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnspread::soak
{

enum class FaultKind {
    EntryKilled,          ///< and started again
    EntryStopped,         ///< asked to end by SIGTERM, started again when it has ended
    EntryPaused,          ///< SIGSTOP, then SIGCONT
    EntryReloads,         ///< SIGHUP
    AllKilled,            ///< every entry at one moment
    CallerPath,           ///< between callers and one entry
    StorePath,            ///< between one entry and the store
    ServerPath,           ///< between all entries and one backend server
    ServerCrashes,        ///< and registers anew, under another id, some time later
    ServerLeaves,         ///< says so, serves on for a while, and is replaced
    StoreBusy,            ///< answers 503 to everyone
    StoreSilent,          ///< answers nobody
    StoreForgets,         ///< its history of changes
    LeasesEnd,            ///< of all entries at one moment
    Configuration,        ///< a new version; a key is taken away and another one added
    ServerLimit,          ///< a backend server states a limit on its requests
    ServerBackoff,        ///< a backend server rejects requests and asks for a backoff
    ServerSilentlyLeaves, ///< a backend server states in its answers alone that it is leaving, and is replaced
    ServerSilent,         ///< several backend servers read and write nothing for a while and then go on, their connections stay open
    EntryCutOff,          ///< one entry from all backend servers, once or again and again
    ServersBrittle,       ///< all backend servers state how many rejections a second they bear, and crash at more
    CrashingPart,         ///< callers send requests with a part in their prompts that crashes each server
    ServersSlow,          ///< several backend servers take longer for everything, also for what they run
    StoreRestored,        ///< at its end, the store comes back as it was at its beginning; what others wrote is written again soon
};

constexpr auto FaultKinds = std::to_array<NamedValue<FaultKind>>({
    { FaultKind::EntryKilled, "entry-killed" },     { FaultKind::EntryStopped, "entry-stopped" },
    { FaultKind::EntryPaused, "entry-paused" },     { FaultKind::EntryReloads, "entry-reloads" },
    { FaultKind::AllKilled, "all-killed" },         { FaultKind::CallerPath, "caller-path" },
    { FaultKind::StorePath, "store-path" },         { FaultKind::ServerPath, "server-path" },
    { FaultKind::ServerCrashes, "server-crashes" }, { FaultKind::ServerLeaves, "server-leaves" },
    { FaultKind::StoreBusy, "store-busy" },         { FaultKind::StoreSilent, "store-silent" },
    { FaultKind::StoreForgets, "store-forgets" },   { FaultKind::LeasesEnd, "leases-end" },
    { FaultKind::Configuration, "configuration" },  { FaultKind::ServerLimit, "server-limit" },
    { FaultKind::ServerBackoff, "server-backoff" }, { FaultKind::ServerSilentlyLeaves, "server-silently-leaves" },
    { FaultKind::EntryCutOff, "entry-cut-off" },    { FaultKind::ServersBrittle, "servers-brittle" },
    { FaultKind::CrashingPart, "crashing-part" },   { FaultKind::ServerSilent, "server-silent" },
    { FaultKind::StoreRestored, "store-restored" }, { FaultKind::ServersSlow, "servers-slow" },
});

/// Planned work, around which no request may be lost.
constexpr auto isPlannedWork(FaultKind kind) -> bool
{
    return kind == FaultKind::EntryStopped || kind == FaultKind::EntryReloads || kind == FaultKind::ServerLeaves || kind == FaultKind::Configuration;
}

/// What a backend server states itself. It harms nothing.
constexpr auto isServerStatement(FaultKind kind) -> bool
{
    return kind == FaultKind::ServerLimit || kind == FaultKind::ServerBackoff || kind == FaultKind::ServerSilentlyLeaves;
}

/// Kinds that have options and random numbers of their own, so that the other faults of a seed stay the same.
constexpr auto isDrawnSeparately(FaultKind kind) -> bool
{
    return isServerStatement(kind) || kind == FaultKind::ServerSilent || kind == FaultKind::StoreRestored || kind == FaultKind::EntryCutOff
        || kind == FaultKind::ServersBrittle || kind == FaultKind::CrashingPart || kind == FaultKind::ServersSlow;
}

/// Failures that may cost a request that runs.
constexpr auto mayLoseRequests(FaultKind kind) -> bool
{
    return !isPlannedWork(kind) && !isServerStatement(kind) && kind != FaultKind::ServerSilent && kind != FaultKind::ServersBrittle;
}

struct Fault {
    Duration at{};     ///< since the start of the load
    Duration length{}; ///< until it is undone
    FaultKind kind{};
    std::size_t target = 0; ///< number of an entry or a backend server
    PathFault path = PathFault::None;
    double perSecond = 0;    ///< requests that a limited server takes, or rejections that a brittle one bears
    Duration backoff{};      ///< that a server asks for when it rejects a request
    Duration again{};        ///< the entry is cut off in every other interval of this length; 0: all the time
    std::size_t servers = 1; ///< that fall silent or slow down together: the target and those after it
    double slowness = 1;     ///< how many times as long a slow server takes
};

struct PlanOptions {
    std::uint64_t seed = 1;
    Duration length{}; ///< faults begin within it
    std::size_t entries = 0;
    std::size_t servers = 0;
    double faultsPerSecond = 1;
    double limitsPerSecond = 0;    ///< rate limits of backend servers, beside the faults
    double noticesPerSecond = 0;   ///< backoffs and leavings that backend servers state in their answers, beside the faults
    double silencesPerSecond = 0;  ///< silences of backend servers, beside the faults
    double restoresPerSecond = 0;  ///< returns of the store from a copy, beside the faults
    double cutsPerSecond = 0;      ///< entries that are cut off from all backend servers, beside the faults
    double brittlePerSecond = 0;   ///< times in which all backend servers are brittle, beside the faults
    double partsPerSecond = 0;     ///< parts of prompts that crash backend servers, beside the faults
    double slowdownsPerSecond = 0; ///< times in which backend servers are slow, beside the faults
    bool onlyPlannedWork = false;
};

/// In the order of their beginning.
auto makePlan(const PlanOptions &options) -> std::vector<Fault>;

} // namespace auburnspread::soak
