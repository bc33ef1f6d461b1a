/// \file
/// Command line of the stand-ins: a table of options over getopt_long, and the addresses they listen on.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburnspread::standins
{

/// One long option.
struct CommandLineOption {
    std::string name;
    std::string value; ///< what the option's value is, for the help; empty: the option takes none
    std::string help;
    std::function<void(const std::string &)> apply;
};

/// An IPv4 address and a port; port 0 lets the system choose one.
struct Address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Reads `IP:PORT`. \throws std::invalid_argument
auto parseAddress(const std::string &text) -> Address;
auto formatAddress(const Address &address) -> std::string;

/// Reads a number that is not negative. \throws std::invalid_argument
auto parseCount(const std::string &text) -> std::size_t;
auto parseDecimal(const std::string &text) -> double;
/// Reads a number of milliseconds, also a fraction. \throws std::invalid_argument
auto parseMilliseconds(const std::string &text) -> Duration;

/// Applies the options in the order given. Prints the help or the version and returns false if the program shall end.
/// \throws std::invalid_argument on an unknown option or a wrong value.
auto applyCommandLine(int argc, char **argv, const std::vector<CommandLineOption> &options) -> bool;

} // namespace auburnspread::standins
