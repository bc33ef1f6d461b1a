/// \file
/// What the kernel holds of the bytes that were written to a connection.

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

} // namespace auburnspread::http
