/// \file
/// Which of many events a fault hits.

#pragma once

#include <cstddef>
#include <cstdint>

namespace auburnspread::standins
{

/// Whether event number \p count is hit if one of every \p period events is; none if \p period is 0. Which one of them
/// varies: the streams of a batch take turns, so that a fixed one would always hit the same stream.
auto isHit(std::uint64_t count, std::size_t period) -> bool;

} // namespace auburnspread::standins
