#include "entry/caller/tests/wirecaller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace auburnspread::entry
{

namespace
{

constexpr std::size_t ReadBytes = 65536;
constexpr int BoundSeconds = 30; // generous: only a hanging test meets it

auto addressOf(const std::string &text) -> sockaddr_in
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

} // namespace

WireCaller::WireCaller(const std::string &address)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const timeval bound{ .tv_sec = BoundSeconds, .tv_usec = 0 };
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
    const auto target = addressOf(address);
    if (::connect(socket_, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        throw std::runtime_error("connect: " + address);
    }
}

WireCaller::~WireCaller()
{
    close();
}

auto WireCaller::send(std::string_view bytes) const -> void
{
    while (!bytes.empty()) {
        const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return; // the other side has ended the connection; what it answered can still be read
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

auto WireCaller::readUntil(std::string_view text) -> std::string
{
    std::array<char, ReadBytes> bytes{};
    for (;;) {
        const auto found = text.empty() ? std::string::npos : pending_.find(text);
        if (found != std::string::npos) {
            auto read = pending_.substr(0, found + text.size());
            pending_.erase(0, read.size());
            return read;
        }
        const auto got = ::recv(socket_, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            return std::exchange(pending_, {});
        }
        pending_.append(bytes.data(), static_cast<std::size_t>(got));
    }
}

auto WireCaller::readToEnd() -> std::string
{
    return readUntil({});
}

auto WireCaller::reset() -> void
{
    constexpr linger NoLinger{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &NoLinger, sizeof NoLinger);
    close();
}

auto WireCaller::close() -> void
{
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

} // namespace auburnspread::entry
