/// \file
/// What a process uses of its VM, as the kernel reports it.

#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>

namespace auburnspread::failuretests
{

/// Resident memory in bytes; 0 if the process has ended.
auto residentBytes(pid_t process) -> std::size_t;
/// The most that it ever was.
auto peakResidentBytes(pid_t process) -> std::size_t;
/// Number of open descriptors; 0 if the process has ended.
auto openDescriptors(pid_t process) -> std::size_t;
/// Whether the process waits for events instead of running.
auto isAsleep(pid_t process) -> bool;
/// Bytes that the process's connections have received and it has not read, with those that it has not accepted at the IPv4 address \p host.
auto unreadBytes(pid_t process, const std::string &host) -> std::size_t;

} // namespace auburnspread::failuretests
