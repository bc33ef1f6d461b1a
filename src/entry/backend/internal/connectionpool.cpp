#include "entry/backend/internal/connectionpool.h"

#include "wire/http/connectionpool.h"

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <charconv>
#include <limits>
#include <stdexcept>

namespace auburnspread::entry
{

namespace
{

//! NOTE the attempt has timeouts of its own, so the library's must never come first
constexpr int LibraryTimeoutSeconds = 86'400;
//! NOTE without a bound, headers that do not end fill the entry's memory
constexpr int MostHeaderBytes = 65'536;

auto openConnection(task::EventLoop &loop, const std::string &address) -> evhttp_connection *
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    }
    if (port == 0) {
        throw std::runtime_error("connect: expected IP:PORT, got " + address);
    }
    auto *connection = evhttp_connection_base_new(loop.base(), nullptr, address.substr(0, colon).c_str(), port);
    if (connection == nullptr) {
        throw std::runtime_error("connect: no connection object for " + address);
    }
    evhttp_connection_set_timeout(connection, LibraryTimeoutSeconds);
    evhttp_connection_set_max_headers_size(connection, MostHeaderBytes);
    //! NOTE without any limit, evhttp does not fail the responses that http::guardResponse() ends
    evhttp_connection_set_max_body_size(connection, std::numeric_limits<ev_ssize_t>::max());
    return connection;
}

} // namespace

ConnectionPool::ConnectionPool(task::EventLoop &loop, Duration idleAge)
    : loop_(loop)
    , idleAge_(idleAge)
{
}

ConnectionPool::~ConnectionPool()
{
    for (auto &[address, connections] : idle_) {
        for (const auto &idle : connections) {
            evhttp_connection_free(idle.connection);
        }
    }
}

auto ConnectionPool::acquire(const std::string &address, bool fresh) -> PooledConnection
{
    auto &connections = idle_[address];
    while (!fresh && !connections.empty()) {
        auto *connection = connections.back().connection;
        connections.pop_back();
        if (http::isQuiet(connection)) {
            return { .connection = connection, .address = address, .reused = true };
        }
        evhttp_connection_free(connection);
    }
    return { .connection = openConnection(loop_, address), .address = address, .reused = false };
}

auto ConnectionPool::release(const PooledConnection &connection) -> void
{
    idle_[connection.address].push_back({ .connection = connection.connection, .since = task::monotonicNow() });
}

auto ConnectionPool::giveUp(const PooledConnection &connection, http::Interruption interruption) -> void
{
    http::takeBackUnconfirmed(bufferevent_getfd(evhttp_connection_get_bufferevent(connection.connection)), interruption);
    http::detachConnection(connection.connection);
}

auto ConnectionPool::close(const PooledConnection &connection) -> void
{
    evhttp_connection_free(connection.connection);
}

auto ConnectionPool::expire(TimePoint now) -> void
{
    for (auto &[address, connections] : idle_) {
        std::erase_if(connections, [&](const Idle &idle) {
            if (now - idle.since < idleAge_) {
                return false;
            }
            evhttp_connection_free(idle.connection);
            return true;
        });
    }
}

} // namespace auburnspread::entry
