/// \file
/// The settings of a placer process: their declaration and their typed form.

#pragma once

#include "core/placement/placer.h"
#include "runtime/settings/schema.h"

#include <string>

namespace auburnspread::settings
{
class Settings;
}

namespace auburnspread::placer
{

struct PlacerSettings {
    std::string name;
    std::string adminAddress;
    std::string platformAddress;
    placement::PlacerOptions options;
    std::string logLevel;
    std::string logFile;
};

auto placerSchema() -> settings::Schema;
auto readPlacerSettings(const settings::Settings &settings) -> PlacerSettings;

} // namespace auburnspread::placer
