/// \file
/// Which backend server gives a request its first byte soonest, by an estimate of the work that lies before it there.
///
/// An engine reads prompts one after the other, so the time to the first token is the prompt tokens that wait there, own
/// and other entries', plus those of this request that its cache does not hold. Requests of one session go to one engine
/// by rendezvous hashing: all entries find the same one without talking, and read the session's part once.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/events.h"
#include "core/passthrough/servertable.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace auburnspread::passthrough
{

/// How fast an engine of average load works; own timings correct it for each server.
struct EngineSpeed {
    double tokensPerMs = 50;                             ///< of a prompt that are read
    Duration firstToken = std::chrono::milliseconds(27); ///< besides reading
    Duration sharing = std::chrono::microseconds(400);   ///< longer first token for each request that runs beside
};

struct PlacementQuery {
    const Prompt *prompt = nullptr;
    bool isEngine = false;
    std::string_view failureDomain;     ///< of this entry
    std::span<const std::string> avoid; ///< ids of servers that failed this request
    std::uint32_t entries = 1;          ///< alive, this one included
    std::uint64_t tieBreak = 0;         ///< spreads equal choices
};

struct Placement {
    ServerPointer server;
    Duration estimatedStart{};      ///< until the first byte
    std::uint32_t unreadTokens = 0; ///< of the prompt, that this engine has to read
};

/// Nothing: no usable server has room.
auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement;

/// Remembers which prompt parts the engine's cache holds after this request.
auto noteCachedParts(ServerState &server, const Prompt &prompt, TimePoint now) -> void;

/// Requests that this entry may have on the server at once.
auto roomOf(const ServerState &server, bool isEngine, std::uint32_t entries) -> std::uint32_t;

} // namespace auburnspread::passthrough
