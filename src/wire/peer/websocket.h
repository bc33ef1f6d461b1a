/// \file
/// One WebSocket connection without a socket: bytes in, bytes out. Plain C++17, as the library behind it needs it.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace auburnspread::peer
{

enum class WebSocketRole {
    Client,
    Server,
};

struct WebSocketCallbacks {
    std::function<void(const char *bytes, std::size_t count)> write; ///< bytes for the socket
    std::function<void()> opened;
    std::function<void(const std::string &message)> received;
    std::function<void()> ended; ///< closed by the peer, refused, or the protocol was broken
};

class WebSocket
{
public:
    /// \p messageBytes bounds a message; a larger one ends the connection before it is held in memory.
    WebSocket(WebSocketRole role, std::size_t messageBytes, WebSocketCallbacks callbacks);
    ~WebSocket();
    WebSocket(const WebSocket &) = delete;
    auto operator=(const WebSocket &) -> WebSocket & = delete;

    /// Begins the opening handshake.
    auto start() -> void;

    /// Takes in bytes from the socket; false once the connection accepts no more.
    auto feed(const char *bytes, std::size_t count) -> bool;

    /// Sends a binary message; false if the connection is not open.
    auto send(const std::string &message) -> bool;

    /// Sends a closing frame.
    auto close() -> void;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburnspread::peer
