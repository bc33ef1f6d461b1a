/// \file
/// Loopback addresses for processes that a test starts and that must know their port beforehand.

#pragma once

#include <string>

namespace auburnspread::standins
{

/// An address that nobody else takes: each process has a loopback number of its own, and the ports lie below those that the
/// system gives out by itself. A port that was merely free a moment ago may be taken by a connection of another process.
auto takeLoopbackAddress() -> std::string;

} // namespace auburnspread::standins
