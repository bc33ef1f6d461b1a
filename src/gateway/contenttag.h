/// \file
/// Hash by which entries compare documents without transferring them.

#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace auburnspread::gateway::detail
{

/// Equal for equal bytes on all entries: the seed is fixed.
inline auto contentTag(std::string_view bytes) -> std::uint64_t
{
    constexpr XXH64_hash_t Seed = 1;
    return XXH64(bytes.data(), bytes.size(), Seed);
}

} // namespace auburnspread::gateway::detail
