/// \file
/// Simulates, in virtual time, entries that are stopped and started again in turn while they serve short and long streams.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>

namespace auburnspread::passthrough::tests
{

struct RestartedFleetOptions {
    std::size_t entries = 3;
    std::size_t rounds = 2;                             ///< each entry is stopped so many times
    Duration gap = std::chrono::seconds(2);             ///< between the termination signals of two entries
    double requestsPerSecond = 60;                      ///< of all callers
    double staleCallers = 0.3;                          ///< share of the callers that still use an entry that is leaving, if there is one
    Duration shortest = std::chrono::milliseconds(100); ///< time of a short response
    Duration longest = std::chrono::milliseconds(4500); ///< time of a long one, less up to a tenth
    std::size_t longEvery = 5;                          ///< at each entry, the response to every so-manieth request is long; 0: none
    double growth = 1;                                  ///< responses that begin while an entry is leaving take so many times as long
    double leavingCallers = 0;                          ///< share of the callers that leave when half of their response has passed
    Duration timeout = std::chrono::seconds(15);        ///< of the route: the time limit of its requests
    Duration quietBefore{};                             ///< no request arrives for this long before the first signal, and only short ones before that
    bool movesRoute = false;                            ///< the route moves to a service with the long responses 2 s before each signal
    Duration uptime = std::chrono::seconds(5);          ///< of the entries at the first signal
    std::uint64_t seed = 1;
};

struct RestartedFleetResult {
    std::size_t lost = 0;          ///< late requests that were accepted and are cut off by the exit of their entry
    std::size_t lostAsOthers = 0;  ///< of these, the ones whose entry had seen, in the minute before, a request that took as long
    std::size_t refusedLate = 0;   ///< late requests that were refused
    std::size_t refusedAsRun = 0;  ///< of these, the ones that were not refused as not run, or without a time to come back
    std::size_t acceptedLate = 0;  ///< late requests that were accepted
    std::size_t refusedInTime = 0; ///< late requests that were refused before the last period, although their time limit ends before the exit
};

auto simulateRestartedFleet(const RestartedFleetOptions &options) -> RestartedFleetResult;

} // namespace auburnspread::passthrough::tests
