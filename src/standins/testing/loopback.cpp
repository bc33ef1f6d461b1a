#include "standins/testing/loopback.h"

#include "runtime/net/endpoint.h"

#include <cerrno>
#include <cstdint>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace auburnspread::standins
{

namespace
{

/// 127.1.0.1 to 127.254.255.1.
constexpr unsigned ByteValues = 256;
constexpr unsigned Networks = (ByteValues - 2) * ByteValues;
constexpr std::uint16_t ClaimPort = 20'000;

auto hostOf(unsigned number) -> std::string
{
    return "127." + std::to_string(1 + number / ByteValues) + "." + std::to_string(number % ByteValues) + ".1";
}

auto isClaimed(int descriptor, const std::string &host) -> bool
{
    const auto address = net::toSocketAddress({ .host = host, .port = ClaimPort });
    if (::bind(descriptor, address.get(), address.size) == 0) {
        return true;
    }
    if (errno != EADDRINUSE) {
        throw std::system_error(errno, std::generic_category(), "loopback network " + host);
    }
    return false;
}

} // namespace

LoopbackNetwork::LoopbackNetwork(unsigned number)
    : claim_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , nextPort_(ClaimPort + 1)
{
    do {
        host_ = hostOf(number++ % Networks);
    } while (!isClaimed(claim_, host_));
}

LoopbackNetwork::~LoopbackNetwork()
{
    ::close(claim_);
}

auto LoopbackNetwork::takeAddress() -> std::string
{
    return host_ + ":" + std::to_string(nextPort_++);
}

auto takeLoopbackAddress() -> std::string
{
    static LoopbackNetwork network(static_cast<unsigned>(::getpid()));
    return network.takeAddress();
}

} // namespace auburnspread::standins
