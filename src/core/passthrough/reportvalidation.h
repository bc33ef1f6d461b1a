/// \file
/// Validation of load reports from other entries. A report with a figure that no entry can have is invalid as a whole, since its other
/// figures cannot be trusted either.

#pragma once

#include "core/passthrough/events.h"

#include <optional>
#include <string>

namespace auburnspread::passthrough
{

/// Finds the first figure of the report that no entry can have.
/// \return a description of the figure; not set: the report is valid
auto findInvalidFigure(const PeerReported &report) -> std::optional<std::string>;

} // namespace auburnspread::passthrough
