/// \file
/// Faults that are switched on and off over an engine's control address.

#pragma once

#include "core/base/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace auburnspread::standins
{

struct EngineFaults {
    double slowFactor = 1;         ///< prefill and steps take so many times as long
    std::string crashText;         ///< the process dies when a request whose messages contain it begins to run
    std::size_t cutAfter = 0;      ///< an answer's connection closes after so many tokens; 0: never
    std::size_t crossedEvery = 0;  ///< one of so many tokens carries another running attempt's id and token
    std::size_t truncateEvery = 0; ///< one of so many answers stops half-way without its terminator
    std::size_t wrongIdEvery = 0;  ///< one of so many tokens carries an id that no attempt has
    std::size_t cacheGapEvery = 0; ///< one of so many cache events is never published
    bool rubbish = false;          ///< answers are no events
    bool refuse = false;           ///< every request is refused as not started
    double reportLie = 1;          ///< factor on the reported load
};

/// What a control message orders besides faults that last.
struct EngineOrders {
    bool crash = false;
    bool silenceOpen = false;
    std::optional<bool> silent;
    std::optional<Duration> tokenTime;
};

/// Applies the members of \p message to \p faults and gives those that are events.
/// \throws std::invalid_argument on an unknown member, nlohmann::json::exception on one of the wrong type.
auto applyControl(EngineFaults &faults, const nlohmann::json &message) -> EngineOrders;

} // namespace auburnspread::standins
