/// \file
/// Simulation of an entry whose engines fall silent and go on, or are gone, in virtual time. Callers send resumable streams.

#pragma once

#include "core/passthrough/router.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburnspread::passthrough::tests
{

/// Time, from the start of the simulation, in which an engine sends nothing.
struct Silence {
    std::size_t server = 0;
    Duration from{};
    std::optional<Duration> until; ///< not set: the engine is gone
};

struct SilentFleetOptions {
    std::size_t servers = 4;
    std::uint32_t attempts = 2; ///< that the route allows
    double retryAllowance = 50;
    Duration arrivalInterval = std::chrono::milliseconds(40);
    Duration length = std::chrono::seconds(12); ///< callers send requests for this time
    std::vector<Silence> silences;
};

struct SilentFleetResult {
    std::uint32_t completed = 0;
    std::uint32_t brokenOff = 0;
    std::uint32_t brokenOffWhileSound = 0; ///< although an engine that ran the stream went on before its deadline
    std::uint32_t excessAttempts = 0;      ///< streams sent to more engines than the route allows
    std::uint32_t repeatedEvents = 0;
    std::uint32_t missingEvents = 0;
    std::uint32_t workedOnTwice = 0; ///< events relayed from one attempt while another one that had begun was not cancelled
    std::uint32_t retriesBeyondBudget = 0;
    std::uint32_t unanswered = 0; ///< requests that neither completed nor ended otherwise
    std::uint32_t movedStreams = 0;
    Duration longestGap{}; ///< between two events of a stream that completed
};

/// Draws options with RapidCheck.
auto drawSilentFleet() -> SilentFleetOptions;
auto runSilentFleet(const SilentFleetOptions &options) -> SilentFleetResult;

} // namespace auburnspread::passthrough::tests
