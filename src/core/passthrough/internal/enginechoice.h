/// \file
/// Which of some engines takes a prompt, or that it must wait.
///
/// The load that this answers: many entries send prompts to the same engines, and each knows of the others what they told a tenth
/// of a second ago. What is sent unseen must neither pile up on the engine that looked emptiest nor leave engines idle.

#pragma once

#include "core/passthrough/internal/promptreuse.h"
#include "core/passthrough/placement.h"

#include <vector>

namespace auburnspread::passthrough::detail
{

/// The part that requests of one session share; 0: the prompt has none.
auto sessionOf(const Prompt &prompt) -> std::uint64_t;

/// Nothing: none of \p servers has a place and memory.
auto chooseEngine(const std::vector<ServerPointer> &servers, const Source &source, const PlacementQuery &query, const EngineSpeed &speed, TimePoint now)
    -> Placement;

} // namespace auburnspread::passthrough::detail
