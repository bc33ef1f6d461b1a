/// \file
/// What the router costs when nothing is wrong: added time to the first byte, and memory of an open stream.

#pragma once

#include "load/callrecord.h"
#include "load/site.h"

#include <cstdint>
#include <string>

namespace auburnspread::load
{

struct IdleCostOptions {
    std::string requestClass;  ///< its default model is asked
    std::uint32_t calls = 200; ///< each way for the first byte; streams opened at once for the memory
    std::uint32_t tokens = 5;  ///< length of an answer
};

/// Medians of the time from the request to the first token, one call at a time, the two ways in turn.
struct FirstByteCost {
    Duration direct{}; ///< straight to an engine
    Duration routed{}; ///< through an entry
    std::uint32_t failed = 0;
};

auto measureFirstByte(const Site &site, const IdleCostOptions &options) -> FirstByteCost;

/// Resident memory of one entry process with many streams open.
struct StreamMemory {
    std::uint32_t opened = 0; ///< streams that were open when the memory was read
    std::uint32_t begun = 0;  ///< of these, with a first token
    std::uint64_t beforeKb = 0;
    std::uint64_t openKb = 0;
};

auto measureStreamMemory(const Site &site, const IdleCostOptions &options) -> StreamMemory;

} // namespace auburnspread::load
