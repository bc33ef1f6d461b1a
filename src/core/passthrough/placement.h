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
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::passthrough
{

/// How fast an engine works at its best, as its operators state it; own timings correct it for each server. Alone at an engine a
/// prompt took 27 ms for each 1,000 tokens and 40 ms besides (median of 1,479). What others report as unread is in part read by
/// then, so a slower figure here leaves engines idle while requests for them wait: 42 a ms refused 1 in 100 more quotes.
struct EngineSpeed {
    double tokensPerMs = 52.4;                           ///< of a prompt
    Duration firstToken = std::chrono::milliseconds(27); ///< besides reading
    Duration sharing = std::chrono::microseconds(400);   ///< longer first token for each request that runs beside
};

struct PlacementQuery {
    const Prompt *prompt = nullptr;     ///< null: a call of a plain service
    std::string_view failureDomain;     ///< of this entry
    std::span<const std::string> avoid; ///< ids of servers that failed this request
    std::uint32_t entries = 1;          ///< alive, this one included
    bool entriesListed = false;         ///< these are known by name
    bool peersKnown = false;            ///< most other entries told what they have in flight
    std::uint64_t cacheTokens = 0;      ///< memory of an engine; 0: not known
    double fetchTokensPerMs = 0;        ///< see Service
    std::size_t shortPromptEngines = 0; ///< engines that are kept for short prompts
    std::optional<double> lookedAt;     ///< engines that are looked at besides those that hold most of the prompt; not set: all
    bool isUrgent = false;              ///< there are less urgent tiers, which leave room for it
    bool leavesReserve = false;         ///< there are more urgent tiers, for which it leaves a part of what a server with a limit takes
    Duration reportAge{};               ///< of what is known of the other entries' requests
    double releases = 1;                ///< times the room of the engines that what waits is released by
    double unseenTokens = 0;            ///< of prompts that other entries may have sent since they last told
    std::optional<Duration> mostAhead;  ///< longest time that the work before it may take; not set: any
    std::uint64_t tieBreak = 0;         ///< of this request; spreads equal choices
    std::uint64_t reports = 0;          ///< changes when something new is known of other entries
};

/// Prompt tokens that engines still may be given, and that wait for them at all entries.
struct Demand {
    double room = 0;
    double waiting = 0;
};

struct Placement {
    ServerPointer server;
    Duration estimatedStart{}; ///< until the first byte
    Load load;
    ServerPointer fetchFrom;         ///< engine that has read more of the prompt; null: none
    std::uint32_t fetchedTokens = 0; ///< that are copied from there instead of being read
    Demand demand;
    Work before;           ///< on the server, of all entries, when it was chosen
    bool mustWait = false; ///< the server is the right one, but has too much to read
    int preference = 0;    ///< place of the server among the session's engines, from 1; 0: none of them
};

/// Nothing: no usable server has room.
auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement;

/// Time that an engine takes for this many tokens of a prompt.
auto readingTime(std::uint32_t tokens, const EngineSpeed &speed) -> Duration;

} // namespace auburnspread::passthrough
