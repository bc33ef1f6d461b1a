/// \file
/// Model of an engine's prefix cache: the prompt parts that entries sent to the engine, each for as long as the engine is likely to keep
/// it. Entries report to each other what they sent, so that all of them have the same model.

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
        TimePoint firstSentAt; ///< first send to the engine by any entry, since the part was last evicted
        TimePoint lastSentAt;  ///< last send to the engine
    };
    std::unordered_map<std::uint64_t, Part> parts; ///< by id
    std::uint64_t tokens = 0;                      ///< sum over all parts
};

/// Records that a prompt with this part was sent to the engine. \p capacity: tokens that fit into the engine's memory; 0: not known
auto recordUse(EngineCache &cache, const PromptPart &part, std::uint64_t capacity, TimePoint now) -> void;

auto containsPart(const EngineCache &cache, std::uint64_t part, TimePoint now) -> bool;

/// Tokens of the prompt's leading parts that the engine has cached, or will have once it has processed the prompts sent to it. A part
/// counts only if all parts before it are cached too. The last part is unique to the request and never counts.
auto cachedPrefixTokens(const EngineCache &cache, const Prompt &prompt, TimePoint now) -> std::uint32_t;

/// As cachedPrefixTokens(), but counts only parts that the engine has processed by now, so that another engine can copy them.
auto processedPrefixTokens(const EngineCache &cache, const Prompt &prompt, TimePoint now) -> std::uint32_t;

/// The parts that were recently sent to one engine, oldest first, to be included in reports to other entries.
struct RecentlySentParts {
    struct Sent {
        PromptPart part;
        TimePoint at;
    };
    std::deque<Sent> sent;
};

auto recordSentPart(RecentlySentParts &recent, const PromptPart &part, TimePoint now) -> void;

/// Appends the parts sent no longer ago than \p window to \p list, without duplicates.
auto appendSentWithin(const RecentlySentParts &recent, Duration window, TimePoint now, std::vector<PromptPart> &list) -> void;

} // namespace auburnspread::passthrough
