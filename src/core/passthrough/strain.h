/// \file
/// Whether engines read so much that the answers running there suffer.
///
/// An engine reads prompts in large chunks between the tokens of its answers. The load that this answers: a burst of long prompts on
/// engines with large chunks, where an answer of a hundred tokens takes ten seconds beside constant reading and its caller gives up at
/// eight. How much reading is too much depends on the engine's chunks, on the answers' lengths and on the callers' patience, so it
/// is judged by what the answers that this entry relays show: the part of them that won't end in time, or pause too long, at their pace.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::passthrough
{

/// An answer under way.
struct AnswerPace {
    TimePoint startedAt;
    std::uint32_t events = 0;         ///< since the first
    std::uint32_t expectedEvents = 0; ///< of the whole answer; 0: no guess
    TimePoint deadline;
    Duration longestPause{}; ///< between two events, for full value; 0: not given
};

/// Whether it will end too late, or pause too long, if it goes on at its pace.
auto isStrained(const AnswerPace &pace, TimePoint now) -> bool;

/// Moving average over events: the part of them whose answers were strained, 0 to 1.
struct Strain {
    double share = 0.1; ///< at first, nothing being known: somewhat careful, and forgotten within some sixty events
};

auto recordEvents(Strain &strain, std::uint32_t events, bool strained) -> void;

/// Part of the usual work that may lie before a prompt. Less where answers suffer: an engine that has nothing to read at times gives
/// its answers ten tokens in the time of one.
auto queuedWorkFactor(const Strain &strain) -> double;

/// Least of queuedWorkFactor().
constexpr double MinQueuedWorkFactor = 0.4;

/// Times the room of the engines that what waits is released by: see MaxReleaseFactor. Less where answers suffer.
auto releaseFactor(const Strain &strain) -> double;

} // namespace auburnspread::passthrough
