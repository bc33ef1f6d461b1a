/// \file
/// Outgoing connections, in use and idle, by the name of their peer.

#pragma once

#include "runtime/net/endpoint.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"
#include "wire/http/responseguard.h"
#include "wire/http/sendqueue.h"

#include <event2/http.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::http
{

struct EvhttpConnectionDeleter {
    auto operator()(evhttp_connection *connection) const -> void;
};

/// One connection with what passed over it during its current exchange.
struct Connection {
    std::unique_ptr<evhttp_connection, EvhttpConnectionDeleter> raw;
    std::string peer; ///< under which it is kept: an address, or a name that tells apart peers of one address
    TimePoint idleSince;
    std::optional<Duration> idleTime; ///< for which the peer keeps it open while idle; not set: the pool's own bound alone
    bool wasUsedBefore = false;
    bool hasSent = false;
    std::size_t receivedBytes = 0;
    TimePoint lastReceivedAt; ///< of the current exchange's bytes; long ago if none came
    ResponseGuard guard;
    std::optional<evhttp_request_error> error;
    std::function<void(evhttp_request *raw)> onDone; ///< of the current exchange; empty: no one waits
    std::shared_ptr<void> context;                   ///< what evhttp's callbacks of the current exchange use; lives as long as they may come
};

/// Whether the kernel has neither a close of the peer nor bytes of it. An idle connection that is not quiet can't take a request, though the loop
/// may not have handled its close yet.
auto isQuiet(evhttp_connection *connection) -> bool;

/// Makes a connection that is closed next, also from within one of evhttp's calls, write nothing more. evhttp does not hear of anything any
/// more: when a connection is established, it sends the request, which may have gone to another server meanwhile.
auto detachConnection(evhttp_connection *connection) -> void;

class ConnectionPool
{
public:
    ConnectionPool(task::EventLoop &loop, const ClientOptions &options);

    /// An idle connection, or a new one if there is none or \p isFresh asks for it.
    auto take(const std::string &peer, const net::Endpoint &endpoint, bool isFresh) -> std::unique_ptr<Connection>;
    /// Takes back a connection whose exchange went well.
    auto keep(std::unique_ptr<Connection> connection) -> void;
    /// Closes a connection whose request was given up, see takeBackUnconfirmed(); also from within one of evhttp's calls.
    auto giveUp(std::unique_ptr<Connection> connection, Interruption interruption) -> void;
    /// Closes a connection whose exchange has ended, also from within one of evhttp's calls.
    auto retire(std::unique_ptr<Connection> connection) -> void;
    /// Closes the idle connections to \p peer.
    auto closeIdle(const std::string &peer) -> void;

    [[nodiscard]] auto idleCount() const -> std::size_t;

private:
    auto open(const std::string &peer, const net::Endpoint &endpoint) -> std::unique_ptr<Connection>;
    auto takeIdle(const std::string &peer) -> std::unique_ptr<Connection>;
    auto closeOld() -> void;

    task::EventLoop &loop_;
    ClientOptions options_;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_;
    std::vector<std::unique_ptr<Connection>> retired_;
    task::Watch retirement_;
    task::Watch sweep_;
};

} // namespace auburnspread::http
