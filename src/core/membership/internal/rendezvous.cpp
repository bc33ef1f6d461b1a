#include "core/membership/internal/rendezvous.h"

#include <cmath>
#include <xxhash.h>

namespace auburnspread::membership::detail
{

auto rankOf(std::uint64_t key, std::string_view candidate) -> std::uint64_t
{
    return XXH64(candidate.data(), candidate.size(), key);
}

auto keyOf(std::string_view first, std::string_view second) -> std::uint64_t
{
    return rankOf(rankOf(first.size(), first), second);
}

auto weightedRankOf(std::uint64_t key, std::string_view candidate, double weight) -> double
{
    constexpr int UnusedBits = 11; // a double holds 53
    constexpr double Scale = 0x1p-53;
    constexpr double Half = 0.5; // keeps the logarithm's argument above 0
    const auto uniform = (static_cast<double>(rankOf(key, candidate) >> UnusedBits) + Half) * Scale;
    return -weight / std::log(uniform);
}

} // namespace auburnspread::membership::detail
