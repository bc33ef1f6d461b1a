/// \file
/// Which loopback connections a process of this machine holds.

#pragma once

#include <cstdint>
#include <set>
#include <sys/types.h>

namespace auburnspread::soak
{

/// Local ports of the TCP sockets of \p process; none if there is no such process.
auto localPortsOf(pid_t process) -> std::set<std::uint16_t>;

} // namespace auburnspread::soak
