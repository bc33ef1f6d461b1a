#include "runtime/logging/internal/lineoutput.h"

#include "runtime/task/eventloop.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string>
#include <utility>

namespace auburnspread::logging::detail
{

namespace
{

constexpr int NoDescriptor = -1;

/// \return the file type of the descriptor, as in st_mode; 0 if it can't be determined
auto typeOf(int descriptor) -> mode_t
{
    struct stat status = {};
    return ::fstat(descriptor, &status) == 0 ? status.st_mode : 0;
}

/// Opens a pipe or terminal a second time. The flag that makes writes return at once belongs to what was opened, and other processes may
/// write to the same pipe.
auto openWithoutWaiting(int descriptor, mode_t type) -> int
{
    if (!S_ISFIFO(type) && !S_ISCHR(type)) {
        return NoDescriptor;
    }
    const auto path = "/proc/self/fd/" + std::to_string(descriptor);
    return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
}

} // namespace

LineOutput::LineOutput(int descriptor)
    : descriptor_(descriptor)
    , type_(typeOf(descriptor))
    , own_(openWithoutWaiting(descriptor, type_))
{
}

LineOutput::~LineOutput()
{
    if (own_ != NoDescriptor) {
        ::close(own_);
    }
}

auto LineOutput::write(std::string_view line) -> void
{
    const std::lock_guard lock(mutex_);
    if (pending_.size() + line.size() >= MaxPendingBytes) {
        writeLocked();
    }
    if (pending_.size() + line.size() >= MaxPendingBytes) {
        dropped_ += 1;
        return;
    }
    pending_.append(line);
    pending_.push_back('\n');
    writeLocked();
}

auto LineOutput::writePending() -> void
{
    const std::lock_guard lock(mutex_);
    writeLocked();
}

auto LineOutput::flush(Duration atMost) -> void
{
    const auto end = task::monotonicNow() + atMost;
    const std::lock_guard lock(mutex_);
    writeLocked();
    while (!pending_.empty() && waitForRoom(end - task::monotonicNow())) {
        writeLocked();
    }
}

auto LineOutput::takeDropped() -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    if (!pending_.empty()) {
        return 0;
    }
    return dropped_ - std::exchange(reportedDropped_, dropped_);
}

auto LineOutput::dropped() const -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

/// Nobody reads the log any more, so nothing will.
auto LineOutput::drop() -> void
{
    dropped_ += static_cast<std::uint64_t>(std::count(pending_.begin(), pending_.end(), '\n'));
    pending_.clear();
}

auto LineOutput::writeLocked() -> void
{
    std::size_t written = 0;
    while (written < pending_.size()) {
        const auto size = writeSome(std::string_view(pending_).substr(written));
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size < 0 && errno != EAGAIN) {
            drop();
            return;
        }
        if (size <= 0) {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    pending_.erase(0, written);
}

auto LineOutput::waitForRoom(Duration atMost) const -> bool
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(atMost, Duration::zero())).count();
    pollfd watched{ .fd = own_ == NoDescriptor ? descriptor_ : own_, .events = POLLOUT, .revents = 0 };
    return ::poll(&watched, 1, static_cast<int>(milliseconds)) > 0;
}

/// \return the number of bytes written, or -1 with the error, which is EAGAIN if there is no room
auto LineOutput::writeSome(std::string_view bytes) const -> std::ptrdiff_t
{
    if (own_ != NoDescriptor) {
        return ::write(own_, bytes.data(), bytes.size());
    }
    if (S_ISREG(type_)) {
        return ::write(descriptor_, bytes.data(), bytes.size());
    }
    if (S_ISSOCK(type_)) {
        return ::send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    if (!waitForRoom(Duration::zero())) {
        errno = EAGAIN;
        return -1;
    }
    // a pipe that has room takes as much without waiting
    return ::write(descriptor_, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
}

} // namespace auburnspread::logging::detail
