#include "entry/backend/tests/tcpserver.h"

#include "runtime/net/endpoint.h"
#include "standins/testing/loopback.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace auburnspread::entry
{

namespace
{

constexpr int Backlog = 8;
constexpr timeval Bound{ .tv_sec = 30, .tv_usec = 0 }; // generous: only a hanging test meets it

auto boundReads(int descriptor) -> void
{
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &Bound, sizeof Bound);
}

auto closeOnce(int &descriptor) -> void
{
    if (descriptor >= 0) {
        ::close(std::exchange(descriptor, -1));
    }
}

} // namespace

TcpConnection::TcpConnection(int descriptor)
    : descriptor_(descriptor)
{
    boundReads(descriptor_);
}

TcpConnection::TcpConnection(TcpConnection &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

TcpConnection::~TcpConnection()
{
    close();
}

auto TcpConnection::send(std::string_view bytes) const -> void
{
    static_cast<void>(trySend(bytes)); // if the task has closed the connection, it did so as it should after a fault
}

auto TcpConnection::trySend(std::string_view bytes) const -> bool
{
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

auto TcpConnection::readUntil(std::string_view text) const -> std::string
{
    std::string read;
    std::array<char, 4096> bytes{};
    while (read.find(text) == std::string::npos) {
        const auto got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            throw std::runtime_error("the connection ended after: " + read);
        }
        read.append(bytes.data(), static_cast<std::size_t>(got));
    }
    return read;
}

auto TcpConnection::seesEnd() const -> bool
{
    char byte = 0;
    return ::recv(descriptor_, &byte, 1, 0) == 0;
}

auto TcpConnection::seesEndOrReset() const -> bool
{
    char byte = 0;
    const auto read = ::recv(descriptor_, &byte, 1, 0);
    return read == 0 || (read < 0 && errno == ECONNRESET);
}

auto TcpConnection::close() -> void
{
    closeOnce(descriptor_);
}

auto TcpConnection::reset() -> void
{
    constexpr linger NoLinger{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &NoLinger, sizeof NoLinger);
    close();
}

TcpServer::TcpServer()
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , address_(standins::takeLoopbackAddress())
{
    const auto name = net::toSocketAddress(net::parseEndpoint(address_).value());
    if (::bind(descriptor_, name.get(), name.size) != 0 || ::listen(descriptor_, Backlog) != 0) {
        throw std::runtime_error("listen on " + address_);
    }
    boundReads(descriptor_);
}

TcpServer::~TcpServer()
{
    close();
}

auto TcpServer::address() const -> std::string
{
    return address_;
}

auto TcpServer::accept() const -> TcpConnection
{
    const auto descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
        throw std::runtime_error("nobody connects to " + address_);
    }
    return TcpConnection(descriptor);
}

auto TcpServer::hasConnection() const -> bool
{
    pollfd watched{ .fd = descriptor_, .events = POLLIN, .revents = 0 };
    return ::poll(&watched, 1, 0) > 0;
}

auto TcpServer::close() -> void
{
    closeOnce(descriptor_);
}

} // namespace auburnspread::entry
