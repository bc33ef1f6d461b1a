/// \file
/// The commands of auburnspreadctl.

#pragma once

#include "apps/ctl/commandline.h"

#include <iosfwd>

namespace auburnspread::ctl
{

/// Carries the command out. Results go to \p output, faults of the surroundings to \p errors.
auto run(const Invocation &invocation, std::ostream &output, std::ostream &errors) -> ExitCode;

} // namespace auburnspread::ctl
