/// \file
/// What operators read of a placer: readiness, status and metrics.

#pragma once

#include "core/placement/placer.h"
#include "wire/platform/store.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace auburnspread::placer
{

struct PlacerCounters {
    std::map<placement::Decision, std::uint64_t> decisions;
    std::map<std::pair<platform::CallKind, platform::CallOutcome>, std::uint64_t> platformCalls;
    std::uint64_t orders = 0;
};

struct Readiness {
    bool ready = false;
    std::string text; ///< what the process does, or why it is not ready
};

/// Ready is who can take its part: hold the lease with a document, or stand by.
auto readinessOf(const placement::PlacerState &state) -> Readiness;

auto statusJson(const std::string &name, const placement::PlacerStatus &status) -> nlohmann::json;

/// Prometheus text.
auto metricsText(const PlacerCounters &counters, const placement::PlacerStatus &status) -> std::string;

} // namespace auburnspread::placer
