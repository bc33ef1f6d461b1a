#include "gateway/connectprobe.h"

#include "gateway/upstream.h"
#include "runtime/net/endpoint.h"

#include <event2/bufferevent.h>

#include <utility>

namespace auburnspread::gateway
{

namespace detail
{

auto BuffereventDeleter::operator()(bufferevent *transport) const -> void
{
    bufferevent_free(transport);
}

} // namespace detail

struct ConnectProbe::Pending {
    ConnectProbe *owner = nullptr;
    std::string server;
    std::unique_ptr<bufferevent, detail::BuffereventDeleter> transport;
    task::Watch end; ///< timeout, or the report of a connection that failed at once
};

ConnectProbe::ConnectProbe(task::EventLoop &loop, OnResult onResult)
    : loop_(loop)
    , onResult_(std::move(onResult))
{
}

ConnectProbe::~ConnectProbe() = default;

auto ConnectProbe::probe(const std::string &server, const std::string &address) -> void
{
    const auto endpoint = net::parseEndpoint(address);
    if (!endpoint || pending_.contains(server)) {
        return;
    }
    auto &pending = *(pending_[server] = std::make_unique<Pending>());
    pending.owner = this;
    pending.server = server;
    pending.end = loop_.after(ConnectTimeout, [this, server]() { finish(server, false); });
    pending.transport.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    const auto onEvent = [](bufferevent * /*transport*/, short events, void *context) {
        const auto &probed = *static_cast<Pending *>(context);
        probed.owner->finish(probed.server, (events & BEV_EVENT_CONNECTED) != 0);
    };
    bufferevent_setcb(pending.transport.get(), nullptr, nullptr, onEvent, &pending);
    const auto name = net::toSocketAddress(*endpoint);
    if (bufferevent_socket_connect(pending.transport.get(), name.get(), static_cast<int>(name.size)) != 0) {
        pending.end = loop_.after(Duration::zero(), [this, server]() { finish(server, false); });
    }
}

auto ConnectProbe::finish(const std::string &server, bool isReachable) -> void
{
    const auto node = pending_.extract(server);
    if (node) {
        onResult_(node.mapped()->server, isReachable);
    }
}

} // namespace auburnspread::gateway
