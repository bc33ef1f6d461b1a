/// \file
/// A prefix cache of limited memory: blocks of the prompt's text, each known by all text up to its end, the least
/// recently used one evicted first.

#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace auburnspread::standins
{

class PrefixCache
{
public:
    /// \p capacity in blocks; 0 switches the cache off.
    explicit PrefixCache(std::size_t capacity);

    /// Bytes at the start of \p prompt that were cached. All of its whole blocks are cached afterwards.
    auto use(std::string_view prompt) -> std::size_t;

private:
    std::size_t capacity_;
    std::list<std::uint64_t> recency_; ///< latest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;

    auto touch(std::uint64_t block) -> bool;
};

} // namespace auburnspread::standins
