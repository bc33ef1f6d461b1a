/// \file
/// Whether the engines of a service are scheduled by a model that adapts to them, or by fixed limits.
///
/// The fixed limits, such as 300 ms of work ahead of a request, hold for targets that are not shorter. Below, they let requests queue past
/// their target.

#pragma once

#include "core/base/nametable.h"
#include "core/passthrough/configuration.h"

#include <array>
#include <string>

namespace auburnspread::passthrough
{

enum class EngineModelMode {
    Auto, ///< where the fixed limits do not hold
    On,
    Off,
};
constexpr auto EngineModelModes = std::to_array<NamedValue<EngineModelMode>>({
    { EngineModelMode::Auto, "auto" },
    { EngineModelMode::On, "on" },
    { EngineModelMode::Off, "off" },
});
constexpr auto EngineModelModeNames = namesOf(EngineModelModes);

/// Whether the engines of the service are scheduled by the model under this configuration.
auto usesEngineModel(const Configuration &configuration, const std::string &service, EngineModelMode mode) -> bool;
} // namespace auburnspread::passthrough
