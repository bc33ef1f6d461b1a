/// \file
/// The settings of a console process: their declaration and their typed form.

#pragma once

#include "apps/console/console.h"
#include "runtime/settings/settings.h"

namespace auburnspread::console
{

struct ConsoleSettings {
    ConsoleOptions options;
    std::string logLevel;
    std::string logFile;
};

auto consoleSchema() -> settings::Schema;
auto readConsoleSettings(const settings::Settings &settings) -> ConsoleSettings;

} // namespace auburnspread::console
