/// \file
/// What the prefix cache of an engine is believed to hold: the parts of the prompts that entries sent there, each as long as
/// it is likely to have stayed. Entries tell each other what they sent, so all of them believe the same.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/events.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace auburnspread::passthrough
{

struct EngineCache {
    struct Part {
        std::uint32_t tokens = 0;
        TimePoint firstSentAt; ///< there first, by any entry
        TimePoint lastSentAt;  ///< sent there last
    };
    std::unordered_map<std::uint64_t, Part> parts; ///< by id
    std::uint64_t tokens = 0;                      ///< of all parts
};

/// A prompt with this part was sent. \p capacity: tokens that the engine's memory holds; 0: not known
auto recordUse(EngineCache &cache, const PromptPart &part, std::uint64_t capacity, TimePoint now) -> void;

auto containsPart(const EngineCache &cache, std::uint64_t part, TimePoint now) -> bool;

/// Tokens of the prompt's leading parts that the engine keeps, or will when it has read what was sent: a part counts only while
/// all parts before it are there too. The last part is the request's own and never counts.
auto cachedPrefixTokens(const EngineCache &cache, const Prompt &prompt, TimePoint now) -> std::uint32_t;

/// The same of what it has surely read by now, so that another engine can fetch it.
auto processedPrefixTokens(const EngineCache &cache, const Prompt &prompt, TimePoint now) -> std::uint32_t;

/// The parts that were sent to one engine lately, oldest first, to be told to other entries.
struct RecentlySentParts {
    struct Sent {
        PromptPart part;
        TimePoint at;
    };
    std::deque<Sent> sent;
};

auto recordSentPart(RecentlySentParts &recent, const PromptPart &part, TimePoint now) -> void;

/// Adds the parts sent no longer ago than \p window to \p list, each once.
auto appendSentWithin(const RecentlySentParts &recent, Duration window, TimePoint now, std::vector<PromptPart> &list) -> void;

} // namespace auburnspread::passthrough
