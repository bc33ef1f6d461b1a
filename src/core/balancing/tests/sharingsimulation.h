/// \file
/// Entries that share servers, in virtual time: exponential arrivals and service times, reports that are exchanged a
/// few times a second. Compares ways to decide who may send what where.

#pragma once

#include "core/base/time.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>

namespace auburnspread::balancing::tests
{

/// The ways weighed in docs/design/sharing.md.
enum class Way {
    Exchanged,       ///< this module
    LocalTwoChoices, ///< power of two choices on an entry's own requests in flight; it may fill every server alone
    StaticSplit,     ///< the same, bounded to an even part of each server
    LeastReported,   ///< the least loaded server by the last exchanged reports
    Owner,           ///< one entry knows all and grants each slot; it is lost once, for OwnerOutage
};

auto wayName(Way way) -> std::string_view;
auto allWays() -> std::span<const Way>;

/// Who offers how much.
enum class Load {
    Even,        ///< every entry the same
    OneBursts,   ///< one entry offers two thirds of it all
    MovingBurst, ///< the same, another entry every five seconds
};

auto loadName(Load load) -> std::string_view;

struct SimulationOptions {
    Way way = Way::Exchanged;
    Load load = Load::Even;
    double offered = 0.7; ///< of all servers' concurrency
    std::uint32_t entries = 8;
    std::uint32_t servers = 18;
    std::uint32_t concurrency = 8;
    Duration serviceTime = std::chrono::seconds(4); ///< mean
    Duration reportInterval = std::chrono::milliseconds(250);
    Duration delay = std::chrono::milliseconds(2); ///< one way between entries
    Duration length = std::chrono::seconds(120);
    std::uint64_t seed = 1;
};

struct SimulationResult {
    double meanInFlight = 0;    ///< per server
    double spread = 0;          ///< standard deviation of in flight between servers, mean over time
    std::uint32_t mostOver = 0; ///< in flight beyond a server's concurrency, at most
    double overPercent = 0;     ///< of server time spent beyond the concurrency
    double idlePercent = 0;     ///< of slots idle while a request waited
    double meanWaitMs = 0;      ///< from arrival to dispatch
    double longWaitMs = 0;      ///< the same, 99 in 100 wait less
    std::uint64_t served = 0;
    double jumps = 0; ///< mean change of a server's in flight from one report to the next, in slots: swings show here
};

auto simulate(const SimulationOptions &options) -> SimulationResult;

} // namespace auburnspread::balancing::tests
