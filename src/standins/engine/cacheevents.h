/// \file
/// What an engine publishes of its prefix cache: late, and with gaps. Pure: time is an argument.

#pragma once

#include "core/base/time.h"
#include "standins/engine/prefixcache.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace auburnspread::standins
{

struct CacheEvent {
    std::uint64_t number = 0; ///< from 1; a missing number is a gap
    CacheChange change;
    TimePoint visible{}; ///< when it is published
};

struct CacheEvents {
    Duration lag{};           ///< from a change to its publication
    std::size_t gapEvery = 0; ///< one of so many events is lost; 0: none
    std::uint64_t lastNumber = 0;
    std::deque<CacheEvent> events; ///< the latest; older ones are forgotten, which is a gap as well
};

auto addChanges(CacheEvents &events, const std::vector<CacheChange> &changes, TimePoint now) -> void;

/// The published events with a number above \p since.
auto eventsSince(const CacheEvents &events, std::uint64_t since, TimePoint now) -> nlohmann::json;

} // namespace auburnspread::standins
