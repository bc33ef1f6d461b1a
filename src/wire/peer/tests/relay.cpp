#include "wire/peer/tests/relay.h"

#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdexcept>
#include <utility>

namespace auburnspread::peer::testing
{

namespace
{

auto loopbackAddress(int port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

} // namespace

struct Relay::Connection {
    struct End {
        Connection *connection = nullptr;
        Direction sends{}; ///< the direction of what is read here
        bufferevent *socket = nullptr;
    };

    Connection(event_base *base, int descriptor, const std::string &target)
        : caller{ .connection = this, .sends = Direction::ToTarget, .socket = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE) }
        , called{ .connection = this, .sends = Direction::FromTarget, .socket = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE) }
    {
        for (auto *end : { &caller, &called }) {
            bufferevent_setcb(end->socket, read, nullptr, finish, end);
            bufferevent_enable(end->socket, EV_READ | EV_WRITE);
        }
        sockaddr_storage address{};
        int size = sizeof address;
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        evutil_parse_sockaddr_port(target.c_str(), generic, &size);
        bufferevent_socket_connect(called.socket, generic, size);
    }

    ~Connection()
    {
        bufferevent_free(caller.socket);
        bufferevent_free(called.socket);
    }

    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    [[nodiscard]] auto isFrozen(Direction direction) const -> bool
    {
        return direction == Direction::ToTarget ? frozenToTarget : frozenFromTarget;
    }

    static auto read(bufferevent *socket, void *context) -> void
    {
        auto &end = *static_cast<End *>(context);
        auto &connection = *end.connection;
        auto *input = bufferevent_get_input(socket);
        if (connection.isFrozen(end.sends)) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        auto &other = end.sends == Direction::ToTarget ? connection.called : connection.caller;
        bufferevent_write_buffer(other.socket, input);
    }

    static auto finish(bufferevent * /*socket*/, short what, void *context) -> void
    {
        auto &end = *static_cast<End *>(context);
        auto &connection = *end.connection;
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || connection.isFrozen(end.sends)) {
            return;
        }
        auto &other = end.sends == Direction::ToTarget ? connection.called : connection.caller;
        shutdown(bufferevent_getfd(other.socket), SHUT_WR);
    }

    bool frozenToTarget = false;
    bool frozenFromTarget = false;
    End caller;
    End called;
};

Relay::Relay(task::EventLoop &loop, std::string target)
    : loop_(loop)
    , target_(std::move(target))
    , listener_(nullptr)
{
    const auto address = loopbackAddress(0);
    const auto accepted
        = [](evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *context) { static_cast<Relay *>(context)->accept(descriptor); };
    listener_ = evconnlistener_new_bind(
        loop.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (listener_ == nullptr) {
        throw std::runtime_error("relay: listen failed");
    }
}

Relay::~Relay()
{
    evconnlistener_free(listener_);
}

auto Relay::address() const -> std::string
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr *>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

auto Relay::freezeOpenConnections(Direction direction) -> void
{
    for (auto &connection : connections_) {
        (direction == Direction::ToTarget ? connection->frozenToTarget : connection->frozenFromTarget) = true;
    }
}

auto Relay::accept(int descriptor) -> void
{
    connections_.push_back(std::make_unique<Connection>(loop_.base(), descriptor, target_));
}

} // namespace auburnspread::peer::testing
