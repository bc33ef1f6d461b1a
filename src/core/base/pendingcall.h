/// \file
/// Tracks the single call that a decision core has in flight, so that late answers to earlier calls are ignored.

#pragma once

#include <cstdint>

namespace auburnspread
{

struct PendingCall {
    std::uint64_t last = 0;    ///< number of the latest call
    std::uint64_t awaited = 0; ///< number of the call in flight; 0: none
};

/// Starts a call, which replaces the one in flight.
/// \return the number of the new call
inline auto beginCall(PendingCall &pending) -> std::uint64_t
{
    pending.awaited = ++pending.last;
    return pending.awaited;
}

/// Handles the answer to \p call.
/// \return whether it belongs to the call in flight, which has then ended
inline auto acceptAnswer(PendingCall &pending, std::uint64_t call) -> bool
{
    if (call == 0 || call != pending.awaited) {
        return false;
    }
    pending.awaited = 0;
    return true;
}

inline auto isCallInFlight(const PendingCall &pending) -> bool
{
    return pending.awaited != 0;
}

/// Ends the call in flight; its answer will be ignored.
inline auto cancelCall(PendingCall &pending) -> void
{
    pending.awaited = 0;
}

} // namespace auburnspread
