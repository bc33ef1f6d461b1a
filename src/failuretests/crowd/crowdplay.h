/// \file
/// Plays a crowd before a process and measures what the process uses meanwhile.

#pragma once

#include "failuretests/crowd/crowd.h"
#include "failuretests/process.h"

#include <cstddef>

namespace auburnspread::failuretests
{

struct CrowdUsage {
    std::size_t peakBytes = 0; ///< memory of the process, with what its sockets hold unread
    std::size_t descriptors = 0;
    std::size_t descriptorsBefore = 0;
};

/// Returns when the crowd has left. Its listener's IP number is that of all listeners of \p process.
auto playCrowd(Process &process, const CrowdOptions &crowd) -> CrowdUsage;

} // namespace auburnspread::failuretests
