#include "wire/http/sendqueue.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace auburnspread::http
{

namespace
{

/// For which the kernel tries to deliver a request that may not be interrupted and was given up.
constexpr unsigned MaxDeliveryMs = 500;

auto resetOnClose(int descriptor) -> void
{
    constexpr linger NoLinger{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &NoLinger, sizeof NoLinger);
}

auto boundDelivery(int descriptor) -> void
{
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &MaxDeliveryMs, sizeof MaxDeliveryMs);
}

} // namespace

auto sendQueueOf(int descriptor) -> std::optional<SendQueue>
{
    int unconfirmed = 0;
    int unsent = 0;
    if (::ioctl(descriptor, SIOCOUTQ, &unconfirmed) != 0 || ::ioctl(descriptor, SIOCOUTQNSD, &unsent) != 0) {
        return std::nullopt;
    }
    return SendQueue{ .unsent = static_cast<std::size_t>(unsent), .unconfirmed = static_cast<std::size_t>(unconfirmed) };
}

auto isIncompleteAtPeer(const SendQueue &queue) -> bool
{
    return queue.unsent > 0;
}

//! NOTE a reset is sent once and may be lost; where there is nothing to take back, the ordinary close reaches the peer more surely
auto takeBackUnconfirmed(int descriptor, Interruption interruption) -> void
{
    const auto queue = sendQueueOf(descriptor);
    if (queue && queue->unconfirmed == 0) {
        return;
    }
    if ((queue && isIncompleteAtPeer(*queue)) || interruption == Interruption::Allowed) {
        resetOnClose(descriptor);
    } else {
        boundDelivery(descriptor);
    }
}

} // namespace auburnspread::http
