/// \file
/// Divides the engines of a service between requests with long prompts and requests with short prompts.
///
/// An engine reads prompts in large chunks between the decoding steps of its running answers. While it reads one long prompt after
/// another, each token of the other answers waits for a chunk, some 40 ms, so an event of several tokens is late although the engine
/// is not full. Long and short prompts are therefore sent to separate engines. All entries rank the engines by the same hash and
/// receive the same reports, so they arrive at the same division without coordination.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/servertable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnspread::passthrough
{

/// Prompts of at least this many tokens count as long: they fill a whole chunk.
constexpr std::uint32_t LongPromptTokens = 2048;

struct EngineSplit {
    std::size_t shortPromptEngines = 0; ///< number of engines, lowest rank first, that are reserved for short prompts
    double shortPromptDemand = 0;       ///< short-prompt requests in flight; follows increases at once and decays slowly
    TimePoint updatedAt;
    double prefillMs = 0;  ///< moving average of the time in which an engine reads a short prompt
    double lifetimeMs = 0; ///< moving average of the time from dispatch to the end of a short-prompt request; 0 until one has ended
};

/// Records the end of a request with a short prompt.
/// \p prefill: time that the engine needed to read its prompt
/// \p lifetime: time from dispatch to the end of the answer
auto recordShortPromptEnd(EngineSplit &split, Duration prefill, Duration lifetime) -> void;

/// Mean lengths of prompts, as seen by one entry.
struct PromptLengths {
    std::map<std::string, double> meanTokens; ///< moving averages by route
};

/// Records the prompt of an arrived request. \return whether the route's requests belong on the engines for short prompts
///
/// The mean of the route decides, not the request's own prompt: a longer prompt of an urgent route would otherwise be answered between the
/// chunks of long prompts, beyond the pauses that the route allows.
auto recordPromptLength(PromptLengths &lengths, const std::string &route, const Prompt &prompt) -> bool;

/// Whether the prompt belongs on the engines that are reserved for short prompts.
auto isShort(const Prompt &prompt) -> bool;

/// Share of an engine's time that reading short prompts may take. Prompts of a thousand tokens with short answers use up an engine's
/// time long before its batch is full; without this bound their engines read all the time and answers there run into their deadlines.
constexpr double ShortPromptPrefillShare = 0.5;
/// The share if long prompts may use what the engines for short prompts have left. The less an engine reads, the fewer answers pause.
constexpr double SharedEnginePrefillShare = 0.15;

/// Adapts the division to the short-prompt requests in flight at all entries.
/// \p prefillShare: share of the engines' time that reading short prompts may take
auto updateSplit(EngineSplit &split, const std::vector<ServerPointer> &servers, TimePoint now, double prefillShare = ShortPromptPrefillShare) -> void;

} // namespace auburnspread::passthrough
