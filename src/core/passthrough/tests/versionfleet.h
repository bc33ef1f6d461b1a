/// \file
/// Simulates, in virtual time, entries in front of engines of several software versions that replace each other, and callers whose streams
/// break and who take them up again at any entry.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>

namespace auburnspread::passthrough::tests
{

struct VersionFleetOptions {
    std::size_t entries = 7;
    std::size_t engines = 12;
    std::size_t versions = 2;                             ///< one replaces the other, in turn; the last one is followed by the first
    double releasedShare = 0.5;                           ///< of the engines that each release replaces
    Duration releaseGap = std::chrono::milliseconds(400); ///< between two replaced engines
    bool statesVersions = true;                           ///< registrations name the version
    double streamsPerSecond = 40;
    double brokenConnections = 0.4; ///< share of the callers' connections that break while their stream runs
    Duration fastestReturn = std::chrono::milliseconds(2);
    double namesAttempt = 1;       ///< share of the callers that name the attempt which brought the first event
    double crashesPerSecond = 0.3; ///< of engines
    double killsPerSecond = 0;     ///< of entries, which start again without what they knew
    std::size_t killedAtOnce = 1;
    Duration outage{};                               ///< until a killed entry starts again
    Duration routeTimeout = std::chrono::seconds(5); ///< in force while the entries run; callers wait for 5 s
    std::size_t cutEntries = 0;                      ///< entries that reach no engine from the fourth to the twelfth second
    std::size_t isolatedEntries = 0;                 ///< the last ones, which hear of neither the store nor other entries for 3 s in every 5 s
    double lostDatagrams = 0.02;
    Duration longestDelay = std::chrono::milliseconds(5);       ///< of a datagram
    Duration longestListDelay = std::chrono::milliseconds(800); ///< of a change of the list of engines
    Duration length = std::chrono::seconds(20);
    std::uint64_t seed = 1;
};

struct VersionFleetResult {
    std::size_t streams = 0;       ///< first tries
    std::size_t begun = 0;         ///< of these, the ones whose first event came
    std::size_t resumed = 0;       ///< tries that take a stream up again while two engines of its version take requests
    std::size_t wentOn = 0;        ///< of these, the ones that brought events
    std::size_t resumedInside = 0; ///< attempts with which an entry took a stream up itself
    std::size_t mixed = 0;         ///< streams with events of two versions
    std::size_t disordered = 0;    ///< streams in which an event is missing or comes twice
    std::size_t forwards = 0;
    std::size_t originDatagrams = 0; ///< reports, questions and answers
};

auto simulateVersionFleet(const VersionFleetOptions &options) -> VersionFleetResult;

} // namespace auburnspread::passthrough::tests
