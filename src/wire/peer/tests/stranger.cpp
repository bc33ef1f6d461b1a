#include "wire/peer/tests/stranger.h"

#include "wire/peer/internal/authentication.h"

#include <array>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <utility>
#include <variant>

namespace auburnspread::peer::testing
{

Stranger::Stranger(task::EventLoop &loop, const std::string &address, std::string name)
    : name_(std::move(name))
    , socket_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    webSocket_ = std::make_unique<WebSocket>(WebSocketRole::Client,
                                             MaxPartBytes,
                                             WebSocketCallbacks{
                                                 .write = [this](const char *bytes, std::size_t count) { bufferevent_write(socket_, bytes, count); },
                                                 .opened =
                                                     [this]() {
                                                         if (opened) {
                                                             opened();
                                                         }
                                                     },
                                                 .received =
                                                     [this](const std::string &bytes) {
                                                         if (received) {
                                                             received(decode(bytes));
                                                         }
                                                     },
                                             });
    bufferevent_setcb(socket_, read, nullptr, handleEvent, this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
    sockaddr_storage target{};
    int size = sizeof target;
    auto *generic = reinterpret_cast<sockaddr *>(&target);
    evutil_parse_sockaddr_port(address.c_str(), generic, &size);
    bufferevent_socket_connect(socket_, generic, size);
}

Stranger::~Stranger()
{
    webSocket_.reset();
    bufferevent_free(socket_);
}

auto Stranger::send(const Message &message) -> void
{
    sendBytes(encode({ .from = name_, .incarnation = 1, .message = message }));
}

auto Stranger::sendBytes(const std::string &bytes) -> void
{
    webSocket_->send(bytes);
}

auto Stranger::sendRaw(const std::string &bytes) -> void
{
    bufferevent_write(socket_, bytes.data(), bytes.size());
}

auto Stranger::authenticate(const std::string &secret, std::function<void()> done) -> void
{
    opened = [this]() { send(Hello{}); };
    received = [this, secret, done = std::move(done)](const Envelope &envelope) {
        const auto *challenge = std::get_if<Challenge>(&envelope.message);
        if (challenge == nullptr) {
            return;
        }
        const detail::Transcript transcript{
            .dialling = { .name = name_, .incarnation = 1 },
            .accepting = { .name = envelope.from, .incarnation = envelope.incarnation },
            .dialNonce = {},
            .acceptNonce = challenge->nonce,
        };
        send(Proof{ detail::makeProof(secret, detail::Side::Dialling, transcript) });
        done();
    };
}

auto Stranger::isClosed() const -> bool
{
    return closed_;
}

auto Stranger::read(bufferevent *socket, void *context) -> void
{
    auto &stranger = *static_cast<Stranger *>(context);
    std::array<char, 4096> bytes{};
    for (auto count = bufferevent_read(socket, bytes.data(), bytes.size()); count > 0; count = bufferevent_read(socket, bytes.data(), bytes.size())) {
        stranger.webSocket_->feed(bytes.data(), count);
    }
}

auto Stranger::handleEvent(bufferevent * /*socket*/, short what, void *context) -> void
{
    auto &stranger = *static_cast<Stranger *>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        stranger.webSocket_->start();
    } else {
        stranger.closed_ = true;
    }
}

} // namespace auburnspread::peer::testing
