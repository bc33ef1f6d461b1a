/// \file
/// Chooses the backend server that is expected to send the first byte of an answer soonest.
///
/// An engine reads prompts one after the other, so its time to first token grows with the prompt tokens that are queued there by
/// all entries and with the tokens of this prompt that its prefix cache does not hold. Rendezvous hashing maps each session to the
/// same engine on every entry, without any exchange between entries, so the shared part of a session is read only once.

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

/// Speed of an engine at its best, as stated by its operators; an entry corrects it for each server by its own measurements.
///
/// A prompt alone on an engine took 27 ms for each 1,000 tokens and 40 ms in addition (median of 1,479 prompts). Some of the tokens
/// that other entries report as unread have been read by the time the report is used, so a lower figure here leaves engines idle
/// while requests wait for them: 42 tokens per ms refused 1 in 100 more quotes.
struct EngineSpeed {
    double tokensPerMs = 52.4;                                   ///< prompt tokens that the engine reads per millisecond
    Duration firstTokenOverhead = std::chrono::milliseconds(27); ///< part of the time to first token that does not depend on the prompt
    Duration delayPerRequest = std::chrono::microseconds(400);   ///< added to the time to first token for each request in flight on the engine
};

struct PlacementQuery {
    const Prompt *prompt = nullptr;           ///< null for a call of a plain service
    std::string_view failureDomain;           ///< failure domain of this entry
    const SoftwareVersion *version = nullptr; ///< required of the server; null: any
    std::span<const std::string> avoid;       ///< ids of servers that already failed this request
    std::optional<TimePoint> heardSince;      ///< only servers that isHeardSince() is true of; all if not set
    std::uint32_t entries = 1;                ///< live entries, including this one
    bool entryNamesKnown = false;             ///< whether the names of the live entries are known
    bool peersKnown = false;                  ///< whether most other entries have reported their requests in flight
    bool usesModel = false;                   ///< whether the engine model is used
    bool isShared = false;                    ///< whether the engines are those for the other kind of prompts
    std::optional<bool> isShort;              ///< whether the prompt belongs on the engines for short prompts; not set: by its length
    std::uint64_t cacheTokens = 0;            ///< memory of an engine in tokens; 0 if unknown
    double fetchTokensPerMs = 0;              ///< see Service::fetchTokensPerMs
    std::size_t shortPromptEngines = 0;       ///< number of engines that are reserved for short prompts
    std::optional<double> sampledEngines;     ///< engines to compare, in addition to those with the longest cached prefix; all engines if not set
    bool isUrgent = false;                    ///< whether less urgent tiers exist, which leave capacity for this request
    bool leavesReserve = false;               ///< whether more urgent tiers exist, for which part of a server's rate limit must stay free
    Duration reportAge{};                     ///< age of the other entries' reports
    double admissionFactor = 1;               ///< multiple of the engines' free capacity up to which waiting requests are sent
    std::uint64_t entryHash = 0;              ///< hash of this entry's name
    double unreportedTokens = 0;              ///< estimated prompt tokens that other entries have sent since their last reports
    std::optional<Duration> maxSharedPrefill; ///< longest prefill, with that of this prompt, on an engine that is shared with the other kind of prompts
    std::optional<Duration> maxQueueTime;     ///< longest time that the work queued on the engine may take; unlimited if not set
    std::uint64_t tieBreak = 0;               ///< specific to the request; distributes choices between equal servers
    std::uint64_t reportRevision = 0;         ///< changes with each report of another entry
};

/// Prompt tokens, summed over the engines and entries.
struct Backlog {
    double capacityTokens = 0; ///< tokens that the engines can still be given within PlacementQuery::maxQueueTime
    double waitingTokens = 0;  ///< tokens of requests that wait at all entries
};

struct Placement {
    ServerPointer server;            ///< null if no usable server has capacity
    Duration estimatedStart{};       ///< expected time to the first byte
    Duration typicalStart{};         ///< the same for an engine of typical speed
    RequestLoad load;                ///< what the request adds to the server
    ServerPointer fetchFrom;         ///< engine to copy cached parts of the prompt from; null if nothing is copied
    std::uint32_t fetchedTokens = 0; ///< tokens that are copied from \c fetchFrom instead of being read
    Backlog backlog;
    ServerLoad workAhead;      ///< work of all entries on the server at the time of the choice
    bool mustWait = false;     ///< whether the request must wait until \c server has less prompt tokens to read
    int preferenceRank = 0;    ///< rank of the server among the session's preferred engines, from 1; 0 if it is not one of them
    std::uint64_t trialOf = 0; ///< see Send
};

/// \return a placement without a server if no usable server has capacity
auto choosePlacement(const std::vector<ServerPointer> &servers, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now) -> Placement;

/// Time that an engine needs to read \p tokens prompt tokens.
auto prefillTime(std::uint32_t tokens, const EngineSpeed &speed) -> Duration;

} // namespace auburnspread::passthrough
