#include "wire/http/acceptedsockets.h"

#include "wire/http/heldconnection.h"

#include <utility>

namespace auburnspread::http
{

namespace
{

/// Connections with sockets of the usual size. A window that covers a round trip matters to large bodies, not to a crowd.
constexpr std::size_t UsualConnections = 128;

} // namespace

auto AcceptedSockets::watch(int listener) -> void
{
    listener_ = listener;
    areSmall_ = false;
    boundSocketBuffers(listener_);
}

auto AcceptedSockets::release() -> void
{
    listener_ = -1;
}

auto AcceptedSockets::setOpen(std::size_t connections) -> void
{
    const auto areSmall = connections >= UsualConnections;
    if (listener_ >= 0 && std::exchange(areSmall_, areSmall) != areSmall) {
        boundSocketBuffers(listener_, areSmall ? SocketSize::Small : SocketSize::Usual);
    }
}

} // namespace auburnspread::http
