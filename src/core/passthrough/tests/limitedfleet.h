/// \file
/// Simulates, in virtual time, several entries in front of servers of which some state a rate limit. Reports are delayed and get lost,
/// and entries crash and are partitioned from the others.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnspread::passthrough::tests
{

struct LimitedFleetOptions {
    std::size_t entries = 7;
    std::size_t failureDomains = 1; ///< in a large fleet, in which reports are aggregated by failure domain
    std::size_t servers = 3;
    std::size_t limitedServers = 1;
    double limit = 1;              ///< requests per second that each limited server states
    double requestsPerSecond = 60; ///< requests of all callers
    Duration length = std::chrono::seconds(12);
    Duration limitFrom = std::chrono::seconds(1);
    Duration limitUntil = std::chrono::hours(1);
    Duration longestDelay = std::chrono::milliseconds(60); ///< longest delay of a report
    double lostReports = 0.02;                             ///< share of the reports that are lost
    std::size_t crashes = 0;                               ///< crashes of single entries, each followed by a restart
    std::size_t partitions = 0;                            ///< network partitions, each of one entry from all others for up to some seconds
    std::uint64_t seed = 1;
};

struct LimitedFleetResult {
    /// Most requests that a limited server got within 4 s from entries that had received an answer with the limit at least half a second
    /// before. Requests of entries that crashed or were partitioned within the last 3 s do not count.
    std::size_t mostWithinWindow = 0;
    std::size_t sentToFirst = 0;      ///< requests to the first limited server while it stated its limit
    std::size_t sentToFirstAfter = 0; ///< requests to the same server from one second after it stopped stating a limit
    std::size_t sent = 0;             ///< requests to all servers
    std::size_t refused = 0;
    std::size_t refusedAsLimited = 0;
};

auto simulateLimitedFleet(const LimitedFleetOptions &options) -> LimitedFleetResult;

} // namespace auburnspread::passthrough::tests
