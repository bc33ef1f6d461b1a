#include "runtime/task/mailbox.h"

#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace auburnspread::task::detail
{

Wakeup::Wakeup()
    : descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (descriptor_ < 0) {
        throw std::system_error(errno, std::generic_category(), "mailbox: eventfd");
    }
}

Wakeup::~Wakeup()
{
    ::close(descriptor_);
}

auto Wakeup::descriptor() const -> int
{
    return descriptor_;
}

auto Wakeup::signal() const -> void
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(descriptor_, &one, sizeof one);
}

auto Wakeup::clear() const -> void
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = ::read(descriptor_, &count, sizeof count);
}

} // namespace auburnspread::task::detail
