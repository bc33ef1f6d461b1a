/// \file
/// How the process's allocator deals with memory that is free again.

#pragma once

namespace auburnspread::memory
{

/// Large blocks go back to the kernel as soon as they are free. By default the allocator keeps blocks of the sizes that it has seen.
/// To be called once, before other threads are started.
auto returnLargeBlocksAtOnce() -> void;

/// Gives free pages back to the kernel. It takes some milliseconds after a crowd.
auto returnFreeMemory() -> void;

} // namespace auburnspread::memory
