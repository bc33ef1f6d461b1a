/// \file
/// Chooses an engine for a prompt, or decides that the request must wait.
///
/// Many entries send prompts to the same engines, and each knows the others' work only from reports that are about a tenth of a second
/// old. Requests sent since those reports must neither pile up on the engine that appeared least loaded nor leave engines idle.

#pragma once

#include "core/passthrough/internal/promptreuse.h"
#include "core/passthrough/placement.h"

#include <vector>

namespace auburnspread::passthrough::detail
{

/// Id of the prompt part that the requests of one session share; 0 if the prompt has no such part.
auto sessionIdOf(const Prompt &prompt) -> std::uint64_t;

/// Whether the query's prompt belongs on the engines for short prompts.
auto belongsToShort(const PlacementQuery &query) -> bool;

/// \return a placement without a server if none of \p servers has both a free place and memory
auto chooseEngine(const std::vector<ServerPointer> &servers, const CopySource &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> Placement;

} // namespace auburnspread::passthrough::detail
