/// \file
/// How much of a prompt an engine holds in its prefix cache, can copy from another engine's cache, and has to read.

#pragma once

#include "core/passthrough/placement.h"

#include <cstdint>
#include <vector>

namespace auburnspread::passthrough::detail
{

/// Smallest copy in tokens: reading fewer takes about as long as setting up a copy.
constexpr std::uint32_t MinFetchedTokens = 512;

/// Tokens of all parts but the last, which belongs to this request alone.
auto sharedTokens(const Prompt &prompt) -> std::uint32_t;

struct PromptReuse {
    std::uint32_t cachedTokens = 0;  ///< tokens in the engine's own cache
    std::uint32_t fetchedTokens = 0; ///< tokens that it copies from another engine
    std::uint32_t unreadTokens = 0;  ///< tokens that it has to read
};

/// The engine that has read the longest prefix of the prompt, to copy from.
struct CopySource {
    ServerPointer server;
    std::uint32_t tokens = 0; ///< length of that prefix
};

/// \return a source without a server if engines cannot copy, or if no usable engine has read a prefix of the prompt
auto findCopySource(const std::vector<ServerPointer> &servers, const PlacementQuery &query, TimePoint now) -> CopySource;

auto reuseAt(const ServerState &server, const Prompt &prompt, const CopySource &source, TimePoint now) -> PromptReuse;

/// Penalty for tokens of shared prompt parts that the engine would read again or copy.
auto reusePenalty(const Prompt &prompt, const PromptReuse &reuse) -> Duration;

} // namespace auburnspread::passthrough::detail
