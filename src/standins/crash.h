/// \file
/// A crash that looks from outside like a killed process.

#pragma once

namespace auburnspread::standins
{

/// Ends the process at once: the kernel resets or closes its sockets, nothing is flushed or answered.
[[noreturn]] auto crashProcess() -> void;

} // namespace auburnspread::standins
