#include "runtime/memory/allocator.h"

#include <malloc.h>

namespace auburnspread::memory
{

auto returnLargeBlocksAtOnce() -> void
{
    constexpr int LargeBlockBytes = 128 * 1024; // glibc's own threshold, which it raises as blocks are freed unless it is set
    ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
}

auto returnFreeMemory() -> void
{
    ::malloc_trim(0);
}

} // namespace auburnspread::memory
