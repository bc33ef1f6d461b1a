/// \file
/// Connections to backend servers: idle ones are kept for reuse, for a short while.

#pragma once

#include "core/base/time.h"
#include "runtime/task/eventloop.h"
#include "wire/http/sendqueue.h"

#include <string>
#include <unordered_map>
#include <vector>

struct evhttp_connection;

namespace auburnspread::entry
{

struct PooledConnection {
    evhttp_connection *connection = nullptr;
    std::string address;
    bool reused = false;
};

/// Failure: something between the two ends forgets an idle connection; what is sent on it vanishes. Symptom: a
/// request waits for its timeout though the backend server is well. An idle connection is kept only for a few
/// seconds, and a non-repeatable request or a retry asks for a fresh one.
class ConnectionPool
{
public:
    ConnectionPool(task::EventLoop &loop, Duration idleAge);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    auto operator=(const ConnectionPool &) -> ConnectionPool & = delete;

    /// \throws std::runtime_error if \p address is no IP number and port
    auto acquire(const std::string &address, bool fresh) -> PooledConnection;
    /// Keeps a connection whose last exchange ended well.
    auto release(const PooledConnection &connection) -> void;
    /// Detaches the connection of an attempt that was given up, and takes back what is under way of its request, see
    /// http::takeBackUnconfirmed(). It must be closed next.
    static auto giveUp(const PooledConnection &connection, http::Interruption interruption) -> void;
    /// Closes the connection; not from within one of its own callbacks.
    auto close(const PooledConnection &connection) -> void;
    /// Closes connections that have been idle too long.
    auto expire(TimePoint now) -> void;

private:
    struct Idle {
        evhttp_connection *connection;
        TimePoint since;
    };
    task::EventLoop &loop_;
    Duration idleAge_;
    std::unordered_map<std::string, std::vector<Idle>> idle_;
};

} // namespace auburnspread::entry
