#include "wire/http/lingeringclose.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnspread::http
{

namespace
{

constexpr Duration MaxLinger = std::chrono::seconds(2);
constexpr std::size_t BytesATurn = 65536;

} // namespace

LingeringClose::LingeringClose(task::EventLoop &loop, std::function<void()> onClosed)
    : loop_(loop)
    , onClosed_(std::move(onClosed))
{
}

LingeringClose::~LingeringClose()
{
    onClosed_ = {}; // its owner is ending
    while (!connections_.empty()) {
        remove(connections_.begin()->first);
    }
}

auto LingeringClose::add(int descriptor) -> void
{
    const auto kept = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
    if (kept < 0) {
        return; // out of descriptors: closed without lingering
    }
    ::shutdown(kept, SHUT_WR);
    connections_[kept] = {
        .readable = loop_.whenReadable(kept, [this, kept]() { discard(kept); }),
        .limit = loop_.after(MaxLinger, [this, kept]() { remove(kept); }),
    };
}

auto LingeringClose::size() const -> std::size_t
{
    return connections_.size();
}

auto LingeringClose::discard(int descriptor) -> void
{
    std::array<char, BytesATurn> bytes{};
    const auto got = ::recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    const auto isOpen = got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
    if (!isOpen) {
        remove(descriptor);
    }
}

auto LingeringClose::remove(int descriptor) -> void
{
    connections_.erase(descriptor);
    ::close(descriptor);
    if (onClosed_) {
        onClosed_();
    }
}

} // namespace auburnspread::http
