/// \file
/// Deals the engines of a service between requests with long prompts (readers) and requests with short ones (shortPrompts).
///
/// An engine reads prompts in large chunks between the tokens of its running answers. Where one long prompt follows the
/// other, each token of its neighbours waits for a chunk, some 40 ms, and an event of several tokens is late although the
/// engine is not full. So readers and shortPrompts are kept on engines of their own. All entries rank the engines by the same
/// hash and see the same reports, so they agree on the split without talking about it.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/servertable.h"

#include <cstddef>
#include <vector>

namespace auburnspread::passthrough
{

/// Prompts of at least this many tokens fill a chunk of their own.
constexpr std::uint32_t LongPromptTokens = 2048;

struct EngineSplit {
    std::size_t shortPromptEngines = 0; ///< engines of lowest rank that are kept for shortPrompts
    double shortPrompts = 0;            ///< demand: requests in flight, rises at once and decays slowly
    TimePoint updatedAt;
    double readingMs = 0;  ///< moving average of an engine's time for one of their prompts
    double lifetimeMs = 0; ///< moving average of the time from sending to the end of one of them; 0: none has ended yet
};

/// One of the shortPrompts was answered. \p reading: an engine's time for its prompt
auto noteShortPromptEnded(EngineSplit &split, Duration reading, Duration lifetime) -> void;

/// Whether the prompt goes to the engines that are kept for short ones.
auto isShort(const Prompt &prompt) -> bool;

auto updateSplit(EngineSplit &split, const std::vector<ServerPointer> &servers, TimePoint now) -> void;

} // namespace auburnspread::passthrough
