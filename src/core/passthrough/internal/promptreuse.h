/// \file
/// How an engine comes by a prompt: what its cache holds, what it can copy from another engine, and what it has to read.

#pragma once

#include "core/passthrough/placement.h"

#include <cstdint>
#include <vector>

namespace auburnspread::passthrough::detail
{

/// Fewer tokens are read in about the time in which a copy is set up.
constexpr std::uint32_t LeastFetchedTokens = 512;

struct Reuse {
    std::uint32_t heldTokens = 0;    ///< in its cache
    std::uint32_t fetchedTokens = 0; ///< copied from another engine
    std::uint32_t unreadTokens = 0;  ///< read
};

/// The engine that has read most of the prompt.
struct Source {
    ServerPointer server;
    std::uint32_t tokens = 0;
};

/// Nothing where engines can't copy, or where none that may get new work has read a part.
auto findSource(const std::vector<ServerPointer> &servers, const PlacementQuery &query, TimePoint now) -> Source;

auto reuseAt(const ServerState &server, const Prompt &prompt, const Source &source, TimePoint now) -> Reuse;

/// What speaks for other engines: tokens of shared parts that would be read again or copied.
auto reusePenalty(const Prompt &prompt, const Reuse &reuse) -> Duration;

} // namespace auburnspread::passthrough::detail
