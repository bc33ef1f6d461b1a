/// \file
/// What the kernel holds of the bytes that were written to a connection, and how they are taken back when the connection is given up.

#pragma once

#include <cstddef>
#include <optional>

namespace auburnspread::http
{

struct SendQueue {
    std::size_t unsent = 0;      ///< bytes that have not left this VM
    std::size_t unconfirmed = 0; ///< bytes that the peer's kernel has not confirmed, with the unsent ones
};

/// \return nothing if the kernel does not tell
auto sendQueueOf(int descriptor) -> std::optional<SendQueue>;

/// Whether the end of what was written has not left this VM, so that the peer can't have begun a request that ends there.
auto isIncompleteAtPeer(const SendQueue &queue) -> bool;

/// Whether a request may be interrupted while the peer works on it.
enum class Interruption { Allowed, Harmful };

/// To be called right before a connection is closed whose request was given up. A close alone leaves what was written to the kernel, which
/// delivers it when the path or the peer is free again. Takes back what the peer has not confirmed: by a reset, or, if the peer may be at
/// work and \p interruption is harmful, by a bound on the time for which the kernel goes on trying.
auto takeBackUnconfirmed(int descriptor, Interruption interruption) -> void;

} // namespace auburnspread::http
