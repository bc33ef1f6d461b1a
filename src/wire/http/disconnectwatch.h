/// \file
/// Detects that the peer closes or resets a connection from which nothing is read for the time being.

#pragma once

#include "runtime/task/eventloop.h"

#include <functional>
#include <memory>

namespace auburnspread::http
{

/// Whether the peer has closed or reset the connection, even if bytes of it are still unread.
auto isDisconnected(int descriptor) -> bool;

/// Handled before other events, so that the work for a caller who has left ends soon also in a process that is behind.
class DisconnectWatch
{
public:
    DisconnectWatch() = default;
    /// Calls \p onDisconnected once, which may destroy the watch. The connection's unread bytes are left as they are.
    /// Calls \p onUnread now and then while there are such bytes.
    DisconnectWatch(task::EventLoop &loop, int descriptor, std::function<void()> onDisconnected, std::function<void()> onUnread = {});

private:
    struct State;
    static auto handle(int descriptor, short what, void *context) -> void;

    std::shared_ptr<State> state_;
};

} // namespace auburnspread::http
