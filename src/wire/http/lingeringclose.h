/// \file
/// Closes connections whose peers may still be sending, so that they get all that was sent to them.

#pragma once

#include "runtime/task/eventloop.h"

#include <cstddef>
#include <functional>
#include <map>

namespace auburnspread::http
{

/// How many of a listener's connections may linger, as a part of all: one in so many.
constexpr std::size_t MaxLingeringPart = 4;

/// The kernel resets a connection that is closed with unread bytes, or on which bytes arrive after its close, and discards what it has not
/// delivered. Connections given to this class are read on until the peer closes them, for a bounded time.
class LingeringClose
{
public:
    /// Calls \p onClosed after each connection that has ended.
    explicit LingeringClose(task::EventLoop &loop, std::function<void()> onClosed = {});
    ~LingeringClose();
    LingeringClose(const LingeringClose &) = delete;
    auto operator=(const LingeringClose &) -> LingeringClose & = delete;

    /// Ends the sending side of a connection whose owner closes \p descriptor next. All that is to be sent must be in the socket.
    auto add(int descriptor) -> void;
    /// Number of connections that peers have not closed.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Connection {
        task::Watch readable;
        task::Watch limit;
    };

    auto discard(int descriptor) -> void;
    auto remove(int descriptor) -> void;

    task::EventLoop &loop_;
    std::function<void()> onClosed_;
    std::map<int, Connection> connections_; ///< by a duplicate of the descriptor, which keeps the connection open
};

} // namespace auburnspread::http
