/// \file
/// The calls of a run, drawn before it begins: open loop, so a slow router does not slow the arrivals down.
/// The same scenario, site and seed give the same calls.

#pragma once

#include "core/configuration/document.h"
#include "load/scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::load
{

/// One call that will be made.
struct PlannedCall {
    std::uint32_t number = 0; ///< place in the run, from 0
    std::uint32_t flow = 0;   ///< index into the scenario's flows
    Duration at{};            ///< from the run's start
    std::string workspace;
    std::uint32_t caller = 0; ///< which of the workspace's callers
    bool stream = true;
    std::uint32_t answerTokens = 0;
    std::uint32_t prefix = 0; ///< which of the workspace's shared prompt beginnings
};

/// \throws ScenarioError if a flow names a class or workspace that \p document lacks.
auto planCalls(const Scenario &scenario, const configuration::Document &document) -> std::vector<PlannedCall>;

} // namespace auburnspread::load
