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

/// Whether the prompt belongs on the engines that are reserved for short prompts.
auto isShort(const Prompt &prompt) -> bool;

/// Adapts the division to the short-prompt requests in flight at all entries.
auto updateSplit(EngineSplit &split, const std::vector<ServerPointer> &servers, TimePoint now) -> void;

} // namespace auburnspread::passthrough
