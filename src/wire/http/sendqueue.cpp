#include "wire/http/sendqueue.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace auburnspread::http
{

auto sendQueueOf(int descriptor) -> std::optional<SendQueue>
{
    int unconfirmed = 0;
    int unsent = 0;
    if (::ioctl(descriptor, SIOCOUTQ, &unconfirmed) != 0 || ::ioctl(descriptor, SIOCOUTQNSD, &unsent) != 0) {
        return std::nullopt;
    }
    return SendQueue{ .unsent = static_cast<std::size_t>(unsent), .unconfirmed = static_cast<std::size_t>(unconfirmed) };
}

} // namespace auburnspread::http
