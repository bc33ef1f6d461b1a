/// \file
/// Simulates, in virtual time, several entries in front of the same backend servers, of which some lose the network path to the servers for
/// a time. Callers, and the other entries, still reach them.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>

namespace auburnspread::passthrough::tests
{

/// How connections to the servers behave during a cut.
enum class CutKind {
    Hanging,     ///< nothing arrives on open connections, new ones are not established
    Resetting,   ///< open connections are reset, new ones are not established
    RefusingNew, ///< open connections go on, new ones are refused at once
    HangingNew,  ///< open connections go on, new ones are not established
};

struct CutFleetOptions {
    std::size_t entries = 7;
    std::size_t cutEntries = 4;
    CutKind kind = CutKind::Hanging;
    bool isPortalOnly = false; ///< the path to one service only is lost
    Duration cutFrom = std::chrono::seconds(5);
    Duration cutUntil = std::chrono::seconds(17);
    Duration cutPeriod{};                                        ///< the path comes back for half of each period; 0: it is lost all the time
    bool areServersDown = false;                                 ///< during the cut, all servers are down for everybody instead
    double requestsPerSecond = 100;                              ///< requests of all callers
    double lostForwards = 0;                                     ///< share of the connections between entries that fail
    Duration leavingInterval{};                                  ///< between two engines that leave and are replaced; 0: none leaves
    Duration longestListDelay = std::chrono::milliseconds(1500); ///< until an entry learns that an engine is leaving
    double leavingCallers = 0;                                   ///< share of the callers that leave within half a second
    Duration length = std::chrono::seconds(20);
    std::uint64_t seed = 1;
};

/// First tries that arrived at least three seconds after the beginning of the cut and before its end.
struct ServedShare {
    std::size_t served = 0;
    std::size_t all = 0;

    [[nodiscard]] auto share() const -> double
    {
        return all == 0 ? 1 : static_cast<double>(served) / static_cast<double>(all);
    }
};

struct CutFleetResult {
    ServedShare cut;    ///< at the entries that lost their path
    ServedShare others; ///< at the other entries
    std::size_t requests = 0;
    std::size_t answers = 0;            ///< final outcomes that callers got
    std::size_t repeatedExecutions = 0; ///< executions beyond the first one of requests that may run only once
    std::size_t excessAttempts = 0;     ///< executions beyond what the route allows in attempts
    std::size_t falseRefusals = 0;      ///< responses that deny the execution of a request that ran
    std::size_t forwards = 0;           ///< requests that entries passed on to others
    std::size_t chains = 0;             ///< of these, the ones that were passed on a second time
    std::size_t forwardsOutsideCut = 0; ///< requests that were passed on before the cut or more than two seconds after it
    std::size_t leftEngines = 0;        ///< engines that left
    std::size_t lateSends = 0;          ///< requests that reached an engine after every entry had to know that it was leaving
    std::size_t leftCallers = 0;        ///< callers that left before the end of their response
    std::size_t abandonedWork = 0;      ///< of these, the ones for whose repeatable request or stream a server still works half a second later
    std::size_t directAfterCut = 0;     ///< requests that entries sent to servers themselves more than two seconds after the cut, of the entries that were cut
};

auto simulateCutFleet(const CutFleetOptions &options) -> CutFleetResult;

} // namespace auburnspread::passthrough::tests
