/// \file
/// What is held for a connection of a server, in the account of its process: input, the request in work, unsent output, and what its socket
/// holds unread.

#pragma once

#include "runtime/memory/account.h"

#include <cstddef>
#include <functional>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace auburnspread::http
{

enum class SocketSize { Usual, Small };

/// Bounds what the kernel holds for the connections of a listener, which inherit it, or of a connection.
auto boundSocketBuffers(int descriptor, SocketSize size = SocketSize::Usual) -> void;

/// Address of the other end, for logs.
auto peerOf(bufferevent *transport) -> std::string;

struct HeldConnectionLimits {
    std::size_t requestBytes = 0;   ///< of a request with its head and framing
    std::size_t inputBytes = 0;     ///< that the server's library needs to have in the buffer while it reads a request
    std::size_t readAheadBytes = 0; ///< of input while a request is in work or its response is being sent
    std::size_t memoryPerByte = 1;  ///< of a request, in the buffers of the server's library
};

struct HeldConnectionCallbacks {
    std::function<void(memory::CloseCause cause)> close;  ///< see memory::Connection
    std::function<void()> onRequestBegun = {};            ///< the first byte of a request has arrived
    std::function<void(std::size_t bytes)> onUnsent = {}; ///< the unsent output is now so long
};

/// libevhtp copies a request piece by piece into blocks of up to twice the size of a piece, beside the buffer that it reads from.
constexpr std::size_t EvhtpMemoryPerByte = 4;

/// To be destroyed before its transport.
class HeldConnection
{
public:
    HeldConnection(bufferevent *transport, memory::Account &account, const HeldConnectionLimits &limits, HeldConnectionCallbacks callbacks);
    ~HeldConnection();
    HeldConnection(const HeldConnection &) = delete;
    auto operator=(const HeldConnection &) -> HeldConnection & = delete;

    auto setLimits(const HeldConnectionLimits &limits) -> void;

    /// \name Steps of a request, in this order
    /// @{
    auto beginWork() -> void; ///< the request is complete; what was received of it stays held
    auto beginResponse() -> void;
    auto endRequest() -> void; ///< the next request may be in the buffer already
    /// @}

    /// The peer sends on while its connection is not read.
    auto noteUnread() -> void;

    [[nodiscard]] auto isReceiving() const -> bool; ///< a request has begun and is not complete
    [[nodiscard]] auto requestBytes() const -> std::size_t;

private:
    enum class Stage { Idle, Receive, Work, Send };

    static auto handleInput(evbuffer *buffer, const evbuffer_cb_info *info, void *context) -> void;
    static auto handleOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *context) -> void;
    auto enter(Stage stage) -> void;
    auto receive(std::size_t bytes) -> void;
    auto updateShare() -> void;
    auto setPaused(bool isPaused) const -> void;

    bufferevent *transport_;
    HeldConnectionLimits limits_;
    HeldConnectionCallbacks callbacks_;
    Stage stage_ = Stage::Idle;
    std::size_t received_ = 0; ///< of the request
    std::size_t unread_ = 0;   ///< in the socket, as far as is known
    memory::Share share_;
};

} // namespace auburnspread::http
