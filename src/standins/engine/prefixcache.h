/// \file
/// A prefix cache of limited memory: blocks of the prompt's text, each known by all text up to its end, the least
/// recently used one evicted first.

#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnspread::standins
{

/// A block entered or left the cache.
struct CacheChange {
    bool stored = false;
    std::uint64_t block = 0; ///< hash of all text up to the block's end

    auto operator==(const CacheChange &) const -> bool = default;
};

class PrefixCache
{
public:
    /// \p capacity in blocks; 0 switches the cache off.
    explicit PrefixCache(std::size_t capacity);

    /// Bytes at the start of \p prompt that were cached. All of its whole blocks are cached afterwards.
    auto use(std::string_view prompt) -> std::size_t;

    /// The changes since they were last taken.
    auto takeChanges() -> std::vector<CacheChange>;

private:
    std::size_t capacity_;
    std::list<std::uint64_t> recency_; ///< latest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    std::vector<CacheChange> changes_;

    auto touch(std::uint64_t block) -> bool;
};

} // namespace auburnspread::standins
