/// \file
/// What relays between two processes are made of: a listener at a free loopback address, and the end of a connection.

#pragma once

#include "runtime/task/eventloop.h"

#include <event2/util.h>

#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace auburnspread::standins
{

namespace detail
{
struct BuffereventDeleter {
    auto operator()(bufferevent *end) const -> void;
};
struct ListenerDeleter {
    auto operator()(evconnlistener *listener) const -> void;
};
} // namespace detail

using BuffereventPointer = std::unique_ptr<bufferevent, detail::BuffereventDeleter>;

class LoopbackListener
{
public:
    using OnAccept = std::function<void(evutil_socket_t descriptor)>;

    /// \throws std::runtime_error if it finds no address to listen at.
    LoopbackListener(task::EventLoop &loop, OnAccept onAccept);
    LoopbackListener(const LoopbackListener &) = delete;
    auto operator=(const LoopbackListener &) -> LoopbackListener & = delete;

    [[nodiscard]] auto address() const -> const std::string &;

private:
    OnAccept onAccept_;
    std::unique_ptr<evconnlistener, detail::ListenerDeleter> raw_;
    std::string address_;
};

} // namespace auburnspread::standins
