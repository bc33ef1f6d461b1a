#include "standins/engine/prefixcache.h"

#include <xxhash.h>

#include <utility>

namespace auburnspread::standins
{

namespace
{

constexpr std::size_t BlockBytes = 64;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity)
    : capacity_(capacity)
{
}

auto PrefixCache::use(std::string_view prompt) -> std::size_t
{
    if (capacity_ == 0) {
        return 0;
    }
    std::size_t cached = 0;
    std::uint64_t prefix = 0;
    for (std::size_t begin = 0; begin + BlockBytes <= prompt.size(); begin += BlockBytes) {
        prefix = XXH64(prompt.data() + begin, BlockBytes, prefix);
        const bool wasCached = touch(prefix);
        if (wasCached && cached == begin) {
            cached = begin + BlockBytes;
        }
    }
    return cached;
}

auto PrefixCache::takeChanges() -> std::vector<CacheChange>
{
    return std::exchange(changes_, {});
}

auto PrefixCache::touch(std::uint64_t block) -> bool
{
    const auto found = blocks_.find(block);
    if (found != blocks_.end()) {
        recency_.splice(recency_.begin(), recency_, found->second);
        return true;
    }
    recency_.push_front(block);
    blocks_[block] = recency_.begin();
    changes_.push_back({ .stored = true, .block = block });
    if (blocks_.size() > capacity_) {
        changes_.push_back({ .stored = false, .block = recency_.back() });
        blocks_.erase(recency_.back());
        recency_.pop_back();
    }
    return false;
}

} // namespace auburnspread::standins
