/// \file
/// Several entries before servers of which some name a limit, in virtual time: reports are late and get lost, entries are killed and
/// cut off from the others.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnspread::passthrough::tests
{

struct LimitedFleetOptions {
    std::size_t entries = 7;
    std::size_t failureDomains = 1; ///< of a large fleet, whose reports are summed up by failure domain
    std::size_t servers = 3;
    std::size_t limitedServers = 1;
    double limit = 1;              ///< requests a second that each of these names
    double requestsPerSecond = 60; ///< of all callers
    Duration length = std::chrono::seconds(12);
    Duration limitFrom = std::chrono::seconds(1);
    Duration limitUntil = std::chrono::hours(1);
    Duration longestDelay = std::chrono::milliseconds(60); ///< of a report
    double lostReports = 0.02;
    std::size_t kills = 0; ///< each of one entry, which starts anew
    std::size_t cuts = 0;  ///< each of one entry from all others, for some seconds
    std::uint64_t seed = 1;
};

struct LimitedFleetResult {
    /// Most requests that a limited server got within 4 s from entries that had passed on an answer with the limit half a second before or
    /// earlier; those killed or cut off within the 3 s before do not count.
    std::size_t mostWithinWindow = 0;
    std::size_t sentToFirst = 0;      ///< to the first limited server while it named its limit
    std::size_t sentToFirstAfter = 0; ///< to the same from a second after it named none any more
    std::size_t sent = 0;             ///< to all servers
    std::size_t refused = 0;
    std::size_t refusedAsLimited = 0;
};

auto simulateLimitedFleet(const LimitedFleetOptions &options) -> LimitedFleetResult;

} // namespace auburnspread::passthrough::tests
