/// \file
/// One run of a scenario against a site, from the first arrival to the report.

#pragma once

#include "load/report.h"
#include "load/scenario.h"
#include "load/site.h"

#include <string>

namespace auburnspread::load
{

struct RunOptions {
    bool direct = false;   ///< send straight to the engines, without the router
    std::string callsFile; ///< one JSON line a call goes here; empty: not written
};

auto runScenario(const Scenario &scenario, const Site &site, const RunOptions &options) -> RunReport;

} // namespace auburnspread::load
