#include "wire/http/heldconnection.h"

#include "runtime/net/endpoint.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace auburnspread::http
{

namespace
{

/// What the kernel is asked to hold at the most; Linux doubles it. Unread bytes count as memory of the VM.
/// @{
constexpr int SocketReceiveBytes = 32 * 1024;
constexpr int SmallSocketReceiveBytes = 8 * 1024;
constexpr int SocketSendBytes = 64 * 1024;
/// @}

} // namespace

auto boundSocketBuffers(int descriptor, SocketSize size) -> void
{
    const auto &receiveBytes = size == SocketSize::Small ? SmallSocketReceiveBytes : SocketReceiveBytes;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &SocketSendBytes, sizeof SocketSendBytes);
}

auto peerOf(bufferevent *transport) -> std::string
{
    net::SocketAddress peer;
    peer.size = sizeof peer.storage;
    const auto isKnown = ::getpeername(bufferevent_getfd(transport), peer.get(), &peer.size) == 0;
    return isKnown ? net::formatAddress(peer.get()) : "unknown";
}

HeldConnection::HeldConnection(bufferevent *transport, memory::Account &account, const HeldConnectionLimits &limits, HeldConnectionCallbacks callbacks)
    : transport_(transport)
    , limits_(limits)
    , callbacks_(std::move(callbacks))
    , share_(account.open({
          .setPaused = [this](bool isPaused) { setPaused(isPaused); },
          .close = [this](memory::CloseCause cause) { callbacks_.close(cause); },
          .describe = [transport]() { return "caller " + peerOf(transport); },
      }))
{
    setLimits(limits);
    evbuffer_add_cb(bufferevent_get_input(transport_), handleInput, this);
    evbuffer_add_cb(bufferevent_get_output(transport_), handleOutput, this);
}

HeldConnection::~HeldConnection()
{
    evbuffer_remove_cb(bufferevent_get_input(transport_), handleInput, this);
    evbuffer_remove_cb(bufferevent_get_output(transport_), handleOutput, this);
}

auto HeldConnection::setLimits(const HeldConnectionLimits &limits) -> void
{
    limits_ = limits;
    const auto isReading = stage_ == Stage::Idle || stage_ == Stage::Receive;
    bufferevent_setwatermark(transport_, EV_READ, 0, isReading ? limits_.inputBytes : limits_.readAheadBytes);
}

auto HeldConnection::enter(Stage stage) -> void
{
    const auto wasReading = stage_ == Stage::Idle || stage_ == Stage::Receive;
    const auto isReading = stage == Stage::Idle || stage == Stage::Receive;
    stage_ = stage;
    if (isReading != wasReading && limits_.inputBytes != limits_.readAheadBytes) {
        setLimits(limits_);
    }
}

auto HeldConnection::handleInput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *context) -> void
{
    if (info->n_added == 0) {
        return;
    }
    auto &self = *static_cast<HeldConnection *>(context);
    if (self.stage_ == Stage::Idle) {
        self.enter(Stage::Receive);
        self.share_.begin(memory::Purpose::Receive);
        if (self.callbacks_.onRequestBegun) {
            self.callbacks_.onRequestBegun();
        }
    }
    if (self.stage_ == Stage::Receive) {
        self.receive(info->n_added);
    } else {
        self.updateShare();
    }
}

auto HeldConnection::receive(std::size_t bytes) -> void
{
    received_ += bytes;
    share_.move(bytes);
    updateShare();
}

auto HeldConnection::handleOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *context) -> void
{
    auto &self = *static_cast<HeldConnection *>(context);
    if (self.stage_ == Stage::Work && info->n_added > 0) {
        self.beginResponse();
    }
    const auto isResponse = self.stage_ == Stage::Work || self.stage_ == Stage::Send;
    self.share_.move(isResponse ? info->n_deleted : 0);
    self.updateShare();
    if (isResponse && self.callbacks_.onUnsent) {
        self.callbacks_.onUnsent(evbuffer_get_length(buffer));
    }
}

/// What the socket holds is taken for full when the input that is read ahead is.
auto HeldConnection::updateShare() -> void
{
    const auto unsent = evbuffer_get_length(bufferevent_get_output(transport_));
    if (stage_ == Stage::Idle || stage_ == Stage::Receive) {
        const auto mayGrowBy = limits_.requestBytes - std::min(received_, limits_.requestBytes);
        share_.hold(limits_.memoryPerByte * received_ + unsent, limits_.memoryPerByte * mayGrowBy);
        return;
    }
    const auto readAhead = evbuffer_get_length(bufferevent_get_input(transport_));
    const auto unread = readAhead >= limits_.readAheadBytes ? std::size_t{ 2 } * SocketReceiveBytes : unread_;
    share_.hold(limits_.memoryPerByte * received_ + readAhead + unread + unsent);
}

auto HeldConnection::beginWork() -> void
{
    enter(Stage::Work);
    share_.begin(memory::Purpose::Work);
    updateShare();
}

auto HeldConnection::beginResponse() -> void
{
    if (stage_ != Stage::Send) {
        enter(Stage::Send);
        share_.begin(memory::Purpose::Send);
        updateShare();
    }
}

auto HeldConnection::endRequest() -> void
{
    received_ = 0;
    unread_ = 0;
    const auto readAhead = evbuffer_get_length(bufferevent_get_input(transport_));
    enter(readAhead > 0 ? Stage::Receive : Stage::Idle);
    share_.begin(memory::Purpose::Receive);
    receive(readAhead);
}

auto HeldConnection::noteUnread() -> void
{
    int unread = 0;
    if (::ioctl(bufferevent_getfd(transport_), FIONREAD, &unread) == 0) {
        unread_ = static_cast<std::size_t>(unread);
        updateShare();
    }
}

/// The libraries do not read a request in work, and their own calls would end the pause.
auto HeldConnection::setPaused(bool isPaused) const -> void
{
    if (stage_ == Stage::Receive) {
        (isPaused ? bufferevent_disable : bufferevent_enable)(transport_, EV_READ);
    }
}

auto HeldConnection::isReceiving() const -> bool
{
    return stage_ == Stage::Receive;
}

auto HeldConnection::requestBytes() const -> std::size_t
{
    return received_;
}

} // namespace auburnspread::http
