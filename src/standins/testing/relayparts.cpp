#include "standins/testing/relayparts.h"

#include "runtime/net/endpoint.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <stdexcept>
#include <utility>

#include <sys/socket.h>

namespace auburnspread::standins
{

auto detail::BuffereventDeleter::operator()(bufferevent *end) const -> void
{
    bufferevent_free(end);
}

auto detail::ListenerDeleter::operator()(evconnlistener *listener) const -> void
{
    evconnlistener_free(listener);
}

LoopbackListener::LoopbackListener(task::EventLoop &loop, OnAccept onAccept)
    : onAccept_(std::move(onAccept))
{
    const auto any = net::toSocketAddress({ .host = "127.0.0.1", .port = 0 });
    constexpr int Backlog = 512;
    const auto onAccepted = [](evconnlistener * /*listener*/, evutil_socket_t descriptor, sockaddr * /*peer*/, int /*size*/, void *context) {
        static_cast<LoopbackListener *>(context)->onAccept_(descriptor);
    };
    raw_.reset(evconnlistener_new_bind(loop.base(), onAccepted, this, LEV_OPT_CLOSE_ON_FREE, Backlog, any.get(), static_cast<int>(any.size)));
    if (!raw_) {
        throw std::runtime_error("no loopback address to listen at");
    }
    net::SocketAddress own{ .size = sizeof(sockaddr_storage) };
    ::getsockname(evconnlistener_get_fd(raw_.get()), own.get(), &own.size);
    address_ = net::formatAddress(own.get());
}

auto LoopbackListener::address() const -> const std::string &
{
    return address_;
}

} // namespace auburnspread::standins
