#include "core/passthrough/enginecache.h"

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

/// An engine evicts the least recently used parts; one that was not used for this time may be gone.
constexpr Duration RetentionTime = std::chrono::seconds(20);
constexpr std::size_t MaxParts = 1024;
/// Time after which an engine has certainly processed a prompt sent to it: engines get no more work than they can start within a few
/// hundred milliseconds.
constexpr Duration PrefillDelay = std::chrono::milliseconds(500);
/// Sent parts are reported to other entries within a few hundred milliseconds; older ones are dropped.
constexpr Duration RecentSendAge = std::chrono::milliseconds(400);

auto evictLeastRecentlyUsed(EngineCache &cache) -> void
{
    const auto isOlder = [](const auto &a, const auto &b) { return a.second.lastSentAt < b.second.lastSentAt; };
    const auto oldest = std::min_element(cache.parts.begin(), cache.parts.end(), isOlder);
    cache.tokens -= oldest->second.tokens;
    cache.parts.erase(oldest);
}

auto exceedsCapacity(const EngineCache &cache, std::uint64_t capacity) -> bool
{
    return cache.parts.size() > MaxParts || (capacity > 0 && cache.tokens > capacity);
}

auto isRetained(const EngineCache::Part &part, TimePoint now) -> bool
{
    return now - part.lastSentAt < RetentionTime;
}

} // namespace

auto recordUse(EngineCache &cache, const PromptPart &part, std::uint64_t capacity, TimePoint now) -> void
{
    auto &cached = cache.parts[part.id];
    cache.tokens += part.tokens;
    cache.tokens -= cached.tokens;
    const auto isNew = cached.tokens == 0 || !isRetained(cached, now);
    cached = { .tokens = part.tokens, .firstSentAt = isNew ? now : cached.firstSentAt, .lastSentAt = now };
    while (cache.parts.size() > 1 && exceedsCapacity(cache, capacity)) {
        evictLeastRecentlyUsed(cache);
    }
}

namespace
{

template <typename Predicate>
auto prefixTokens(const EngineCache &cache, const Prompt &prompt, Predicate counts) -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        const auto found = cache.parts.find(prompt.parts[i].id);
        if (found == cache.parts.end() || !counts(found->second)) {
            break;
        }
        tokens += prompt.parts[i].tokens;
    }
    return std::min(tokens, prompt.tokens);
}

} // namespace

auto cachedPrefixTokens(const EngineCache &cache, const Prompt &prompt, TimePoint now) -> std::uint32_t
{
    return prefixTokens(cache, prompt, [now](const EngineCache::Part &part) { return isRetained(part, now); });
}

auto processedPrefixTokens(const EngineCache &cache, const Prompt &prompt, TimePoint now) -> std::uint32_t
{
    return prefixTokens(cache, prompt, [now](const EngineCache::Part &part) { return isRetained(part, now) && now - part.firstSentAt >= PrefillDelay; });
}

auto containsPart(const EngineCache &cache, std::uint64_t part, TimePoint now) -> bool
{
    const auto found = cache.parts.find(part);
    return found != cache.parts.end() && isRetained(found->second, now);
}

auto recordSentPart(RecentlySentParts &recent, const PromptPart &part, TimePoint now) -> void
{
    recent.sent.push_back({ .part = part, .at = now });
    while (now - recent.sent.front().at > RecentSendAge) {
        recent.sent.pop_front();
    }
}

auto appendSentWithin(const RecentlySentParts &recent, Duration window, TimePoint now, std::vector<PromptPart> &list) -> void
{
    for (auto each = recent.sent.rbegin(); each != recent.sent.rend() && now - each->at <= window; ++each) {
        const auto isListed = std::any_of(list.begin(), list.end(), [each](const PromptPart &part) { return part.id == each->part.id; });
        if (!isListed) {
            list.push_back(each->part);
        }
    }
}

} // namespace auburnspread::passthrough
