#include "entry/backend/tests/stillserver.h"

#include "runtime/net/endpoint.h"
#include "standins/testing/loopback.h"

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>

namespace auburnspread::entry
{

namespace
{

constexpr int ReceiveBytes = 4096;
constexpr int Backlog = 8;
constexpr timeval Bound{ .tv_sec = 30, .tv_usec = 0 }; // only a hanging test meets it

} // namespace

auto makeHeldBody() -> std::string
{
    return std::string(HeldBytes, 'z') + EndOfRequest;
}

StillServer::StillServer()
    : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    , address_(standins::takeLoopbackAddress())
{
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes, sizeof ReceiveBytes);
    const auto name = net::toSocketAddress(net::parseEndpoint(address_).value());
    if (::bind(listener_, name.get(), name.size) != 0 || ::listen(listener_, Backlog) != 0) {
        throw std::runtime_error("listen on " + address_);
    }
}

StillServer::~StillServer()
{
    ::close(connection_);
    ::close(listener_);
}

auto StillServer::address() const -> std::string
{
    return address_;
}

auto StillServer::hasReceived() -> bool
{
    const auto accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) {
        ::close(connection_);
        connection_ = accepted;
        ::setsockopt(connection_, SOL_SOCKET, SO_RCVTIMEO, &Bound, sizeof Bound);
    }
    int unread = 0;
    return connection_ >= 0 && ::ioctl(connection_, FIONREAD, &unread) == 0 && unread > 0;
}

auto StillServer::readToEnd() -> std::string
{
    std::string received;
    std::array<char, ReceiveBytes> bytes{};
    for (;;) {
        const auto got = ::recv(connection_, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            wasReset_ = got < 0 && errno == ECONNRESET;
            return received;
        }
        received.append(bytes.data(), static_cast<std::size_t>(got));
    }
}

auto StillServer::wasReset() const -> bool
{
    return wasReset_;
}

} // namespace auburnspread::entry
