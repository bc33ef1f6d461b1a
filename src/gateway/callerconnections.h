/// \file
/// Connections of callers: what each of them is doing, and what is held for it in the process's account. At the limit of connections, one
/// that does nothing yields to a new one.

#pragma once

#include "core/passthrough/configuration.h"
#include "gateway/payload.h"
#include "runtime/memory/account.h"
#include "runtime/task/eventloop.h"
#include "wire/http/acceptedsockets.h"
#include "wire/http/acceptpause.h"
#include "wire/http/heldconnection.h"
#include "wire/http/lingeringclose.h"

#include <event2/http.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

struct evconnlistener;

namespace auburnspread::gateway
{

struct CallerConnectionsCallbacks {
    std::function<void(evhttp_connection *connection)> onClosed; ///< called before the connection is freed
    /// The caller reads more slowly than its response comes, or has caught up.
    std::function<void(evhttp_connection *connection, bool isBehind)> onBehind;
    /// \return the answer to a request that is not read further
    std::function<BufferedResponse(memory::CloseCause cause)> makeRefusal;
};

struct CallerConnectionCounts {
    std::uint64_t idleClosed = 0;   ///< for new connections, at the limit
    std::uint64_t acceptPauses = 0; ///< for want of connections or descriptors
};

class CallerConnections
{
public:
    /// Takes over the connections that \p server accepts. Both must outlive this object.
    CallerConnections(task::EventLoop &loop, evhttp *server, memory::Account &account, std::size_t maxConnections, CallerConnectionsCallbacks callbacks);
    ~CallerConnections();
    CallerConnections(const CallerConnections &) = delete;
    auto operator=(const CallerConnections &) -> CallerConnections & = delete;

    /// To be called once for the socket at which the server listens.
    auto watchListener(evconnlistener *listener) -> void;
    auto setLimits(const passthrough::CallerLimits &limits) -> void;

    /// \name Steps of a request, in this order
    /// @{
    auto beginWork(evhttp_connection *connection) -> void;
    auto beginSend(evhttp_connection *connection) -> void;
    auto endRequest(evhttp_connection *connection) -> void;
    /// @}

    /// The caller sends on while its request is in work.
    auto noteUnread(evhttp_connection *connection) -> void;
    /// Closes a connection whose response is written, see LingeringClose.
    auto linger(evhttp_connection *connection) -> void;

    [[nodiscard]] auto lingering() const -> std::size_t;
    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto counts() const -> CallerConnectionCounts;

private:
    enum class Phase : std::uint8_t { Idle, Receive, Work, Send };
    static constexpr std::size_t Phases = 4;

    struct Connection {
        evhttp_connection *raw = nullptr; ///< owned by libevent
        bufferevent *transport = nullptr;
        Phase phase = Phase::Idle;
        bool isBehind = false;
        std::unique_ptr<http::HeldConnection> held;
    };
    using Connections = std::list<Connection>;

    static auto makeTransport(event_base *base, void *context) -> bufferevent *;

    auto adoptAccepted() -> void;
    auto adopt(bufferevent *transport) -> void;
    auto remove(evhttp_connection *raw) -> void;
    auto find(evhttp_connection *raw) -> Connection *;
    auto enter(Connection &connection, Phase phase) -> void;
    auto reportBehind(Connection &connection, std::size_t unsent) const -> void;
    auto closeForMemory(Connection &connection, memory::CloseCause cause) -> void;
    auto refuse(Connection &connection, memory::CloseCause cause) -> void;
    auto makeRoom() -> bool;
    auto keepToLimit() -> void;

    task::EventLoop &loop_;
    memory::Account &account_;
    std::size_t maxConnections_;
    CallerConnectionsCallbacks callbacks_;
    http::HeldConnectionLimits limits_;
    CallerConnectionCounts counts_;
    http::AcceptPause acceptPause_;
    http::AcceptedSockets sockets_;
    http::LingeringClose lingering_;
    std::array<Connections, Phases> byPhase_; ///< each in the order in which the phase began
    std::unordered_map<evhttp_connection *, Connections::iterator> connections_;
    std::vector<bufferevent *> accepted_; ///< in this turn of the loop
    task::Watch adopting_;
};

} // namespace auburnspread::gateway
