#include "failuretests/crowd/crowd.h"

#include "runtime/net/endpoint.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnspread::failuretests
{

namespace
{

constexpr auto RoundLength = std::chrono::milliseconds(50);
/// Small, so that what is not read stays with the other side.
constexpr int ReceiveBufferBytes = 4096;

auto connectTo(const std::string &address) -> int
{
    const auto endpoint = net::parseEndpoint(address);
    if (!endpoint) {
        throw std::runtime_error("crowd: not an address: " + address);
    }
    auto target = net::toSocketAddress(*endpoint);
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    if (::connect(descriptor, target.get(), target.size) != 0) {
        const auto error = errno;
        ::close(descriptor);
        throw std::runtime_error("crowd: connect " + address + ": " + std::strerror(error));
    }
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

} // namespace

Crowd::Crowd(CrowdOptions options)
    : options_(std::move(options))
{
    for (std::size_t i = 0; i < options_.connections; ++i) {
        members_.push_back({ .descriptor = connectTo(options_.address) });
    }
}

Crowd::~Crowd()
{
    for (auto &member : members_) {
        close(member);
    }
}

auto Crowd::run(const std::function<void()> &onRound) -> void
{
    const auto isOpen = [](const Member &member) { return member.descriptor >= 0; };
    std::size_t begun = 0;
    for (std::size_t quiet = 0; quiet < options_.rounds && std::any_of(members_.begin(), members_.end(), isOpen); ++quiet) {
        begun = std::min(begun + options_.beginPerRound, members_.size());
        for (std::size_t i = 0; i < begun; ++i) {
            if (send(members_[i]) > 0) {
                quiet = 0;
            }
            read(members_[i]);
        }
        onRound();
        std::this_thread::sleep_for(RoundLength);
    }
}

/// \return the number of bytes that the other side took
auto Crowd::send(Member &member) const -> std::size_t
{
    const auto before = member.sent;
    while (member.descriptor >= 0 && member.sent < options_.bytesEach) {
        const auto isBeginning = member.sent < options_.beginning.size();
        if (!isBeginning && options_.repeated.empty()) {
            break;
        }
        const auto &text = isBeginning ? options_.beginning : options_.repeated;
        const auto at = isBeginning ? member.sent : (member.sent - options_.beginning.size()) % text.size();
        const auto part = std::string_view(text).substr(at, options_.bytesEach - member.sent);
        const auto sent = ::send(member.descriptor, part.data(), part.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EAGAIN) {
            break;
        }
        if (sent < 0) {
            close(member);
            break;
        }
        member.sent += static_cast<std::size_t>(sent);
    }
    return member.sent - before;
}

auto Crowd::read(Member &member) const -> void
{
    if (member.descriptor < 0 || options_.readBytes == 0) {
        return;
    }
    std::array<char, ReceiveBufferBytes> bytes{};
    const auto got = ::recv(member.descriptor, bytes.data(), std::min(bytes.size(), options_.readBytes), 0);
    if (got == 0 || (got < 0 && errno != EAGAIN)) {
        close(member);
    }
}

auto Crowd::close(Member &member) -> void
{
    if (member.descriptor >= 0) {
        ::close(std::exchange(member.descriptor, -1));
    }
}

} // namespace auburnspread::failuretests
