/// \file
/// The one call of a core that is under way: answers to earlier ones change nothing.

#pragma once

#include <cstdint>

namespace auburnspread
{

struct PendingCall {
    std::uint64_t last = 0;    ///< number of the latest call
    std::uint64_t awaited = 0; ///< number of the call whose answer counts; 0: none
};

/// \return the number of the new call
inline auto beginCall(PendingCall &pending) -> std::uint64_t
{
    pending.awaited = ++pending.last;
    return pending.awaited;
}

/// An answer came. \return whether it counts; there is no call under way then
inline auto takeAnswer(PendingCall &pending, std::uint64_t call) -> bool
{
    if (call == 0 || call != pending.awaited) {
        return false;
    }
    pending.awaited = 0;
    return true;
}

inline auto isUnderWay(const PendingCall &pending) -> bool
{
    return pending.awaited != 0;
}

/// Its answer will not count.
inline auto dropCall(PendingCall &pending) -> void
{
    pending.awaited = 0;
}

} // namespace auburnspread
