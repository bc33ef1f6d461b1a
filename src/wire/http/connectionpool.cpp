#include "wire/http/connectionpool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

namespace auburnspread::http
{

namespace
{

auto countSent(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *context) -> void
{
    auto &connection = *static_cast<Connection *>(context);
    connection.hasSent = connection.hasSent || info->n_added > 0;
}

auto countReceived(evbuffer *buffer, const evbuffer_cb_info *info, void *context) -> void
{
    auto &connection = *static_cast<Connection *>(context);
    if (info->n_added > 0) {
        connection.receivedBytes += info->n_added;
        connection.lastReceivedAt = task::monotonicNow();
        guardResponse(connection.guard, buffer, info->n_added);
    }
}

auto isOpen(const Connection &connection) -> bool
{
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection.raw.get())) >= 0;
}

/// Whether bytes came that belong to no response. They would be taken for the next one.
auto hasUnread(const Connection &connection) -> bool
{
    return evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(connection.raw.get()))) > 0;
}

/// How long it may lie idle. A peer closes its side at its own time; a request that is on its way just then is lost, and
/// one that may run only once can't be sent again. The margin covers the way of that request.
auto idleBound(const Connection &connection, Duration poolBound) -> Duration
{
    constexpr Duration Margin = std::chrono::milliseconds(500);
    return connection.idleTime ? std::min(poolBound, *connection.idleTime - Margin) : poolBound;
}

auto prepareReuse(Connection &connection) -> void
{
    connection.wasUsedBefore = true;
    connection.hasSent = false;
    connection.receivedBytes = 0;
    connection.lastReceivedAt = {};
    connection.error.reset();
    connection.guard.maxChunkBytes = std::numeric_limits<std::size_t>::max();
}

} // namespace

auto EvhttpConnectionDeleter::operator()(evhttp_connection *connection) const -> void
{
    evhttp_connection_free(connection);
}

auto isQuiet(evhttp_connection *connection) -> bool
{
    char byte = 0;
    const auto got = ::recv(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && errno == EAGAIN;
}

auto detachConnection(evhttp_connection *connection) -> void
{
    auto *transport = evhttp_connection_get_bufferevent(connection);
    bufferevent_setcb(transport, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(transport, EV_READ | EV_WRITE);
}

ConnectionPool::ConnectionPool(task::EventLoop &loop, const ClientOptions &options)
    : loop_(loop)
    , options_(options)
    , sweep_(loop.every(options.idleAge / 2, [this]() { closeOld(); }))
{
}

auto ConnectionPool::take(const std::string &peer, const net::Endpoint &endpoint, bool isFresh) -> std::unique_ptr<Connection>
{
    auto connection = isFresh ? nullptr : takeIdle(peer);
    return connection ? std::move(connection) : open(peer, endpoint);
}

auto ConnectionPool::open(const std::string &peer, const net::Endpoint &endpoint) -> std::unique_ptr<Connection>
{
    auto connection = std::make_unique<Connection>();
    connection->peer = peer;
    auto *raw = evhttp_connection_base_bufferevent_new(loop_.base(), nullptr, nullptr, endpoint.host.c_str(), endpoint.port);
    connection->raw.reset(raw);
    auto *transport = evhttp_connection_get_bufferevent(raw);
    evbuffer_add_cb(bufferevent_get_output(transport), countSent, connection.get());
    evbuffer_add_cb(bufferevent_get_input(transport), countReceived, connection.get());
    connection->guard.maxLineBytes = options_.headerBytes;
    evhttp_connection_set_max_headers_size(raw, static_cast<ev_ssize_t>(options_.headerBytes));
    evhttp_connection_set_max_body_size(raw, static_cast<ev_ssize_t>(options_.bodyBytes));
    return connection;
}

auto ConnectionPool::takeIdle(const std::string &peer) -> std::unique_ptr<Connection>
{
    auto &idle = idle_[peer];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (isOpen(*connection) && !hasUnread(*connection) && isQuiet(connection->raw.get())
            && task::monotonicNow() - connection->idleSince < idleBound(*connection, options_.idleAge)) {
            prepareReuse(*connection);
            return connection;
        }
        retire(std::move(connection));
    }
    return nullptr;
}

auto ConnectionPool::keep(std::unique_ptr<Connection> connection) -> void
{
    auto &idle = idle_[connection->peer];
    if (!isOpen(*connection) || hasUnread(*connection) || idle.size() >= options_.idlePerAddress) {
        retire(std::move(connection));
        return;
    }
    connection->idleSince = task::monotonicNow();
    connection->onDone = nullptr;
    connection->guard.request = nullptr;
    idle.push_back(std::move(connection));
}

auto ConnectionPool::giveUp(std::unique_ptr<Connection> connection, Interruption interruption) -> void
{
    takeBackUnconfirmed(bufferevent_getfd(evhttp_connection_get_bufferevent(connection->raw.get())), interruption);
    retire(std::move(connection));
}

// evhttp still works with the connection while it calls back, so it is freed right after that.
auto ConnectionPool::retire(std::unique_ptr<Connection> connection) -> void
{
    connection->onDone = nullptr;
    connection->guard.request = nullptr;
    detachConnection(connection->raw.get());
    retired_.push_back(std::move(connection));
    retirement_ = loop_.afterThisEvent([this]() { retired_.clear(); });
}

auto ConnectionPool::closeIdle(const std::string &peer) -> void
{
    const auto found = idle_.find(peer);
    if (found == idle_.end()) {
        return;
    }
    for (auto &connection : found->second) {
        retire(std::move(connection));
    }
    idle_.erase(found);
}

auto ConnectionPool::closeOld() -> void
{
    const auto now = task::monotonicNow();
    for (auto &[peer, idle] : idle_) {
        std::erase_if(idle, [this, now](const auto &connection) {
            return now - connection->idleSince >= idleBound(*connection, options_.idleAge) || !isOpen(*connection);
        });
    }
    std::erase_if(idle_, [](const auto &item) { return item.second.empty(); });
}

auto ConnectionPool::idleCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[address, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

} // namespace auburnspread::http
