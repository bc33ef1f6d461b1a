/// \file
/// Data and script for gnuplot: offered, refused and good calls of every flow over the run. Nothing is run here.

#pragma once

#include "load/report.h"

#include <string>

namespace auburnspread::load
{

/// Writes FILE.dat and FILE.gp beside \p svgFile; `gnuplot FILE.gp` draws \p svgFile.
/// \throws std::runtime_error if a file cannot be written.
auto writePlot(const RunReport &report, const std::string &svgFile) -> void;

} // namespace auburnspread::load
