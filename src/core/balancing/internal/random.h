/// \file
/// Hashes that every entry computes alike, and the generator of this entry's own random choices.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace auburnspread::balancing::detail
{

/// The finisher of SplitMix64: every input bit reaches every output bit.
constexpr auto mixBits(std::uint64_t value) -> std::uint64_t
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

/// FNV-1a, mixed: the same in every process, which std::hash does not promise.
constexpr auto hashName(std::string_view name) -> std::uint64_t
{
    std::uint64_t hash = 0xCBF29CE484222325U;
    for (const char character : name) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001B3U;
    }
    return mixBits(hash);
}

/// SplitMix64.
struct Generator {
    std::uint64_t state = 0;
};

constexpr auto drawBelow(Generator &generator, std::size_t bound) -> std::size_t
{
    generator.state += 0x9E3779B97F4A7C15U;
    return static_cast<std::size_t>(mixBits(generator.state) % bound);
}

} // namespace auburnspread::balancing::detail
