/// \file
/// A client that speaks the WebSocket protocol and decides for itself what to say next.

#pragma once

#include "runtime/task/eventloop.h"
#include "wire/peer/messages.h"
#include "wire/peer/websocket.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace auburnspread::peer::testing
{

class Stranger
{
public:
    Stranger(task::EventLoop &loop, const std::string &address, std::string name);
    ~Stranger();
    Stranger(const Stranger &) = delete;
    auto operator=(const Stranger &) -> Stranger & = delete;

    std::function<void()> opened;
    std::function<void(const Envelope &envelope)> received;

    auto send(const Message &message) -> void;
    auto sendBytes(const std::string &bytes) -> void;
    /// Past the WebSocket protocol.
    auto sendRaw(const std::string &bytes) -> void;

    /// Goes through the handshake as a member that knows \p secret does, then calls \p done.
    auto authenticate(const std::string &secret, std::function<void()> done) -> void;

    /// The entry ended the connection.
    [[nodiscard]] auto isClosed() const -> bool;

private:
    static auto read(bufferevent *socket, void *context) -> void;
    static auto handleEvent(bufferevent *socket, short what, void *context) -> void;

    std::string name_;
    bufferevent *socket_;
    std::unique_ptr<WebSocket> webSocket_;
    bool closed_ = false;
};

} // namespace auburnspread::peer::testing
