/// \file
/// Decides which connections of a process wait and which are closed, so that what it holds for all of them stays within a limit.
/// See docs/design/memory.md.

#pragma once

#include "core/base/nametable.h"
#include "core/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnspread::memory
{

enum class HoldingId : std::uint64_t {};

/// What is held for a connection.
enum class Purpose {
    Receive, ///< a message that is not complete
    Work,    ///< a complete request, until its response begins
    Send,    ///< a response that the peer has not read
};

constexpr auto PurposeNames = std::to_array<NamedValue<Purpose>>({
    { Purpose::Receive, "receive" },
    { Purpose::Work, "work" },
    { Purpose::Send, "send" },
});

enum class CloseCause {
    NoRoom,   ///< its message waited for room until its patience ended
    TooSlow,  ///< its message is so slow that others wait for room
    TooLarge, ///< it holds most for longest while the limit is exceeded
};

constexpr auto CloseCauseNames = std::to_array<NamedValue<CloseCause>>({
    { CloseCause::NoRoom, "no-room" },
    { CloseCause::TooSlow, "too-slow" },
    { CloseCause::TooLarge, "too-large" },
});

/// What is held for one connection.
struct Holding {
    HoldingId id{};
    Purpose purpose{};
    std::size_t bytes = 0;
    std::size_t mayGrowBy = 0;         ///< bytes that may still arrive; 0 except for Purpose::Receive
    std::size_t moved = 0;             ///< bytes of the message that were received or sent
    TimePoint since;                   ///< when the message began
    std::optional<TimePoint> pausedAt; ///< set while it is not read
};

struct Limits {
    std::size_t bytes = 0; ///< of all holdings together
    /// A holding of up to this size is not paused, and is closed only when no larger one is left.
    std::size_t ordinaryBytes = std::size_t{ 64 } * 1024;
    Duration patience = std::chrono::seconds(1); ///< how long a message waits for room, and may be slow while others wait
    std::size_t slowestBytesPerSecond = std::size_t{ 32 } * 1024;
};

enum class Action {
    Pause,  ///< read no further
    Resume, ///< read again
    Close,
};

struct Decision {
    HoldingId id{};
    Action action{};
    CloseCause cause{}; ///< with Action::Close
};

/// Whether a review is due at this total. Below that, everything is read as it comes.
auto isUnderPressure(std::size_t totalBytes, const Limits &limits) -> bool;

/// \return what changes for \p holdings, with at most one decision for each
auto review(const std::vector<Holding> &holdings, const Limits &limits, TimePoint now) -> std::vector<Decision>;

} // namespace auburnspread::memory
