#include "gateway/callerconnections.h"

#include "runtime/logging/logging.h"
#include "wire/http/lastresponse.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <utility>

namespace auburnspread::gateway
{

namespace
{

/// Input that is read ahead while a response is due or being sent.
constexpr std::size_t ReadAheadBytes = std::size_t{ 16 } * 1024;
/// For the framing of a chunked body.
constexpr std::size_t FramingBytes = std::size_t{ 64 } * 1024;
/// Unsent bytes of a response at which its caller is behind, and at which it has caught up.
/// @{
constexpr std::size_t BehindBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t CaughtUpBytes = std::size_t{ 16 } * 1024;
/// @}

} // namespace

CallerConnections::CallerConnections(task::EventLoop &loop,
                                     evhttp *server,
                                     memory::Account &account,
                                     std::size_t maxConnections,
                                     CallerConnectionsCallbacks callbacks)
    : loop_(loop)
    , account_(account)
    , maxConnections_(maxConnections)
    , callbacks_(std::move(callbacks))
    , acceptPause_(loop, [this]() { return makeRoom(); })
    , lingering_(loop)
{
    evhttp_set_bevcb(server, makeTransport, this);
}

CallerConnections::~CallerConnections()
{
    for (const auto &[raw, connection] : connections_) {
        evhttp_connection_set_closecb(raw, nullptr, nullptr);
    }
}

auto CallerConnections::watchListener(evconnlistener *listener) -> void
{
    sockets_.watch(evconnlistener_get_fd(listener));
    acceptPause_.watch(listener);
}

auto CallerConnections::setLimits(const passthrough::CallerLimits &limits) -> void
{
    //! NOTE libevent keeps a body with a stated length in its input buffer until it is complete, and reads on without a limit while a
    //! response is being sent
    const auto requestBytes = limits.headerBytes + limits.bodyBytes + FramingBytes;
    limits_ = { .requestBytes = requestBytes, .inputBytes = requestBytes, .readAheadBytes = ReadAheadBytes };
    for (auto &[raw, connection] : connections_) {
        connection->held->setLimits(limits_);
    }
}

/// libevent has no callback for a new connection. This one is called right before the connection is made, around this transport.
auto CallerConnections::makeTransport(event_base *base, void *context) -> bufferevent *
{
    auto &self = *static_cast<CallerConnections *>(context);
    auto *transport = bufferevent_socket_new(base, -1, 0);
    if (transport != nullptr) {
        self.accepted_.push_back(transport);
        self.adopting_ = self.loop_.inThisTurn([&self]() { self.adoptAccepted(); });
    }
    return transport;
}

auto CallerConnections::adoptAccepted() -> void
{
    for (auto *transport : std::exchange(accepted_, {})) {
        adopt(transport);
    }
    sockets_.setOpen(connections_.size());
    keepToLimit();
}

auto CallerConnections::adopt(bufferevent *transport) -> void
{
    void *context = nullptr; // libevent's own: the connection
    bufferevent_getcb(transport, nullptr, nullptr, nullptr, &context);
    auto *raw = static_cast<evhttp_connection *>(context);
    auto &idle = byPhase_.at(static_cast<std::size_t>(Phase::Idle));
    const auto added = idle.insert(idle.end(), Connection{ .raw = raw, .transport = transport });
    connections_[raw] = added;
    auto &connection = *added;
    connection.held = std::make_unique<http::HeldConnection>(transport,
                                                             account_,
                                                             limits_,
                                                             http::HeldConnectionCallbacks{
                                                                 .close = [this, &connection](memory::CloseCause cause) { closeForMemory(connection, cause); },
                                                                 .onRequestBegun = [this, &connection]() { enter(connection, Phase::Receive); },
                                                                 .onUnsent = [this, &connection](std::size_t bytes) { reportBehind(connection, bytes); },
                                                             });
    evhttp_connection_set_closecb(
        raw, [](evhttp_connection *closed, void *self) { static_cast<CallerConnections *>(self)->remove(closed); }, this);
}

auto CallerConnections::remove(evhttp_connection *raw) -> void
{
    const auto found = connections_.find(raw);
    if (found == connections_.end()) {
        return;
    }
    callbacks_.onClosed(raw);
    byPhase_.at(static_cast<std::size_t>(found->second->phase)).erase(found->second);
    connections_.erase(found);
    sockets_.setOpen(connections_.size());
}

auto CallerConnections::find(evhttp_connection *raw) -> Connection *
{
    const auto found = connections_.find(raw);
    return found == connections_.end() ? nullptr : &*found->second;
}

auto CallerConnections::enter(Connection &connection, Phase phase) -> void
{
    auto &from = byPhase_.at(static_cast<std::size_t>(connection.phase));
    auto &into = byPhase_.at(static_cast<std::size_t>(phase));
    into.splice(into.end(), from, connections_.at(connection.raw));
    connection.phase = phase;
}

auto CallerConnections::reportBehind(Connection &connection, std::size_t unsent) const -> void
{
    const auto isBehind = unsent > (connection.isBehind ? CaughtUpBytes : BehindBytes);
    if (std::exchange(connection.isBehind, isBehind) != isBehind) {
        callbacks_.onBehind(connection.raw, isBehind);
    }
}

auto CallerConnections::beginWork(evhttp_connection *raw) -> void
{
    if (auto *connection = find(raw)) {
        enter(*connection, Phase::Work);
        connection->held->beginWork();
    }
}

auto CallerConnections::beginSend(evhttp_connection *raw) -> void
{
    if (auto *connection = find(raw)) {
        enter(*connection, Phase::Send);
        connection->held->beginResponse();
    }
}

auto CallerConnections::endRequest(evhttp_connection *raw) -> void
{
    if (auto *connection = find(raw)) {
        connection->isBehind = false;
        connection->held->endRequest();
        enter(*connection, connection->held->isReceiving() ? Phase::Receive : Phase::Idle);
    }
}

auto CallerConnections::noteUnread(evhttp_connection *raw) -> void
{
    if (auto *connection = find(raw)) {
        connection->held->noteUnread();
    }
}

auto CallerConnections::linger(evhttp_connection *raw) -> void
{
    if (lingering_.size() < maxConnections_ / http::MaxLingeringPart) {
        lingering_.add(bufferevent_getfd(evhttp_connection_get_bufferevent(raw)));
    }
}

auto CallerConnections::closeForMemory(Connection &connection, memory::CloseCause cause) -> void
{
    if (connection.phase == Phase::Receive) {
        refuse(connection, cause);
    }
    evhttp_connection_free(connection.raw);
}

auto CallerConnections::refuse(Connection &connection, memory::CloseCause cause) -> void
{
    auto refusal = callbacks_.makeRefusal(cause);
    const http::LastResponse response{ .status = refusal.status, .headers = std::move(refusal.headers), .body = std::move(refusal.body) };
    if (http::sendLastResponse(bufferevent_getfd(connection.transport), response)) {
        linger(connection.raw);
    }
}

/// Closes the connection that has been idle for longest, or else the one whose request has been arriving for longest.
auto CallerConnections::makeRoom() -> bool
{
    for (const auto phase : { Phase::Idle, Phase::Receive }) {
        auto &connections = byPhase_.at(static_cast<std::size_t>(phase));
        if (!connections.empty()) {
            auto &connection = connections.front();
            ++counts_.idleClosed;
            logging::event(logging::Level::Warning,
                           "connection-closed-for-another",
                           { { "peer", "caller " + http::peerOf(connection.transport) },
                             { "reason", phase == Phase::Idle ? "idle" : "request-incomplete" },
                             { "received_bytes", connection.held->requestBytes() },
                             { "connections", connections_.size() },
                             { "limit", maxConnections_ } });
            evhttp_connection_free(connection.raw);
            return true;
        }
    }
    return false;
}

auto CallerConnections::keepToLimit() -> void
{
    while (connections_.size() > maxConnections_ && makeRoom()) {}
    if (connections_.size() >= maxConnections_ && byPhase_.at(0).empty() && byPhase_.at(1).empty()) {
        acceptPause_.pause();
    }
}

auto CallerConnections::lingering() const -> std::size_t
{
    return lingering_.size();
}

auto CallerConnections::size() const -> std::size_t
{
    return connections_.size();
}

auto CallerConnections::counts() const -> CallerConnectionCounts
{
    auto counts = counts_;
    counts.acceptPauses = acceptPause_.count();
    return counts;
}

} // namespace auburnspread::gateway
