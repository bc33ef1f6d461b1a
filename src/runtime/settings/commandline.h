/// \file
/// The command line that all programs share: --config FILE, --set section.key=value, --check, --help, --version.

#pragma once

#include "runtime/settings/settings.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <variant>

namespace auburnspread::settings
{

/// The program is to end at once with this code: 0 after --help, --version and a good --check.
struct ExitCode {
    int value = 0;
};

constexpr int InvalidSettingsExit = 1;
constexpr int UsageExit = 2;

/// Reads the command line and the file that it names. Errors go to stderr, help and the like to stdout.
auto readCommandLine(int argc, char *const *argv, const Schema &schema, std::string_view programName, std::string_view version)
    -> std::variant<Settings, ExitCode>;

/// What stands in the file that the command line names, as it is now; empty if it names none or it can't be read.
auto readSettingsFile(int argc, char *const *argv) -> std::string;

/// Every key with kind, default and explanation, as --help prints it.
auto printSchema(const Schema &schema, std::ostream &output) -> void;

} // namespace auburnspread::settings
