/// \file
/// Finds out whether a backend server can be reached, by a connection without a request.

#pragma once

#include "runtime/task/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct bufferevent;

namespace auburnspread::gateway
{

namespace detail
{
struct BuffereventDeleter {
    auto operator()(bufferevent *transport) const -> void;
};
} // namespace detail

class ConnectProbe
{
public:
    using OnResult = std::function<void(const std::string &server, bool isReachable)>;

    /// \p onResult is never called from within probe().
    ConnectProbe(task::EventLoop &loop, OnResult onResult);
    ~ConnectProbe();
    ConnectProbe(const ConnectProbe &) = delete;
    auto operator=(const ConnectProbe &) -> ConnectProbe & = delete;

    /// Does nothing if the server is being probed already. \p address: IP number and port
    auto probe(const std::string &server, const std::string &address) -> void;

private:
    struct Pending;

    auto finish(const std::string &server, bool isReachable) -> void;

    task::EventLoop &loop_;
    OnResult onResult_;
    std::unordered_map<std::string, std::unique_ptr<Pending>> pending_; ///< by server
};

} // namespace auburnspread::gateway
