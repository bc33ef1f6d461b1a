/// \file
/// Detects that engines process so many prompt tokens that the answers they are generating become too slow.
///
/// An engine processes prompts in large chunks between the tokens of its answers. The load pattern behind this: a burst of long prompts
/// on engines with large chunks, where an answer of a hundred tokens takes ten seconds beside continuous prompt processing, while its
/// caller gives up after eight. How much prompt processing is too much depends on the engine's chunk size, the lengths of the answers
/// and the callers' deadlines. It is therefore measured on the answers that this entry relays: the share of them that, at their current
/// pace, will miss the deadline or pause too long.

#pragma once

#include "core/base/time.h"

#include <cstdint>

namespace auburnspread::passthrough
{

/// Progress of a streaming answer.
struct AnswerPace {
    TimePoint startedAt;
    std::uint32_t events = 0;         ///< events received after the first
    std::uint32_t expectedEvents = 0; ///< estimated events of the whole answer; 0: no estimate
    TimePoint deadline;
    Duration longestPause{}; ///< longest pause between two events that still gives full value; 0: not set
};

/// Whether the answer, at its current pace, will miss its deadline or pauses too long between events.
auto isStrained(const AnswerPace &pace, TimePoint now) -> bool;

/// Moving average over the events of answers.
struct Strain {
    double share = 0.1; ///< events whose answer was strained, 0 to 1; starts slightly cautious and adapts within about sixty events
};

auto recordEvents(Strain &strain, std::uint32_t events, bool strained) -> void;

/// Factor for the amount of work that may be queued ahead of a prompt on an engine; lower under strain. An engine that has no prompts
/// to process for a while generates ten tokens of its answers in the time of one.
auto queuedWorkFactor(const Strain &strain) -> double;

/// Lower bound of queuedWorkFactor().
constexpr double MinQueuedWorkFactor = 0.4;

/// How many times the engines' free capacity is released from the queue at once, see MaxReleaseFactor; lower under strain.
auto releaseFactor(const Strain &strain) -> double;

} // namespace auburnspread::passthrough
