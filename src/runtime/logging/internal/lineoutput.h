/// \file
/// Writes lines to standard output or standard error without waiting for whoever reads them.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace auburnspread::logging::detail
{

/// Bytes of lines that wait for the reader. Further lines are dropped and counted.
constexpr std::size_t MaxPendingBytes = std::size_t{ 256 } * 1024;

/// Failure: the process that reads the log stands still, so that the pipe to it is full. Symptom: the next write blocks the event loop,
/// and the whole process hangs. Every function may be called from any thread.
class LineOutput
{
public:
    /// \p descriptor stays open for as long as this output exists, and is not closed.
    explicit LineOutput(int descriptor);
    ~LineOutput();
    LineOutput(const LineOutput &) = delete;
    auto operator=(const LineOutput &) -> LineOutput & = delete;

    /// Writes a line, or keeps it until the reader has made room.
    auto write(std::string_view line) -> void;
    /// Writes what waits, as far as there is room.
    auto writePending() -> void;
    /// The same, and waits for room for \p atMost.
    auto flush(Duration atMost) -> void;

    /// Lines dropped since the last call; 0 while lines still wait, so that a line about it isn't dropped too.
    auto takeDropped() -> std::uint64_t;
    /// Lines dropped since the start.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    auto writeLocked() -> void;
    auto drop() -> void;
    [[nodiscard]] auto waitForRoom(Duration atMost) const -> bool;
    [[nodiscard]] auto writeSome(std::string_view bytes) const -> std::ptrdiff_t;

    mutable std::mutex mutex_;
    int descriptor_;
    mode_t type_;  ///< as in st_mode
    int own_ = -1; ///< opened anew, so that only this process does not wait on it; -1: it could not be
    std::string pending_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0;
};

} // namespace auburnspread::logging::detail
