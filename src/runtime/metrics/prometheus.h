/// \file
/// The text format that Prometheus scrapes.

#pragma once

#include "runtime/metrics/registry.h"

#include <string>
#include <string_view>

namespace auburnspread::metrics
{

constexpr std::string_view PrometheusContentType = "text/plain; version=0.0.4";

auto formatPrometheus(const Snapshot &snapshot) -> std::string;

} // namespace auburnspread::metrics
