/// \file
/// Sizes the sockets of the connections that a listener accepts, so that those of a crowd hold a bounded number of unread bytes together.

#pragma once

#include <cstddef>

namespace auburnspread::http
{

/// The kernel fills the sockets of all callers that send at once before the process has read anything of them, and unread bytes count as memory
/// of the VM.
class AcceptedSockets
{
public:
    /// Connections accepted from now on inherit the sizes. \p listener must stay open until release().
    auto watch(int listener) -> void;
    auto release() -> void;
    /// To be called whenever a connection was accepted or has ended.
    auto setOpen(std::size_t connections) -> void;

private:
    int listener_ = -1;
    bool areSmall_ = false;
};

} // namespace auburnspread::http
