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

enum class WebSocketStatus {
    Usable,
    Ended,  ///< closed by either side
    Broken, ///< the peer broke the protocol or sent too large a message
};

struct WebSocketCallbacks {
    std::function<void(const char *bytes, std::size_t count)> write; ///< bytes for the socket
    std::function<void()> opened;
    std::function<void(const std::string &message)> received;
};

class WebSocket
{
public:
    /// \p messageBytes bounds a message; a larger one breaks the connection before it is held in memory.
    WebSocket(WebSocketRole role, std::size_t messageBytes, WebSocketCallbacks callbacks);
    ~WebSocket();
    WebSocket(const WebSocket &) = delete;
    auto operator=(const WebSocket &) -> WebSocket & = delete;

    /// Begins the opening handshake.
    auto start() -> void;

    /// From now on; for messages after the peer has authenticated itself.
    auto setMessageBytes(std::size_t messageBytes) -> void;

    /// Takes in bytes from the socket.
    auto feed(const char *bytes, std::size_t count) -> WebSocketStatus;

    /// Sends a binary message; false if the connection is not open.
    auto send(const std::string &message) -> bool;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburnspread::peer
