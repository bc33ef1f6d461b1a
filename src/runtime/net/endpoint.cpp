#include "runtime/net/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>

namespace auburnspread::net
{

namespace
{

auto parsePort(std::string_view text) -> std::optional<std::uint16_t>
{
    std::uint16_t port = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (fault != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return port;
}

auto isNumeric(int family, const std::string &host) -> bool
{
    in6_addr ignored{};
    return ::inet_pton(family, host.c_str(), &ignored) == 1;
}

auto isSix(const Endpoint &endpoint) -> bool
{
    return endpoint.host.find(':') != std::string::npos;
}

template <typename Address>
auto as(sockaddr_storage &storage) -> Address &
{
    return reinterpret_cast<Address &>(storage);
}

} // namespace

auto SocketAddress::get() -> sockaddr *
{
    return reinterpret_cast<sockaddr *>(&storage);
}

auto SocketAddress::get() const -> const sockaddr *
{
    return reinterpret_cast<const sockaddr *>(&storage);
}

auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = std::string(text.substr(0, colon));
    const auto isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parsePort(text.substr(colon + 1));
    if (!port || !isNumeric(isBracketed ? AF_INET6 : AF_INET, host)) {
        return std::nullopt;
    }
    return Endpoint{ .host = host, .port = *port };
}

auto toSocketAddress(const Endpoint &endpoint) -> SocketAddress
{
    SocketAddress address;
    if (isSix(endpoint)) {
        auto &six = as<sockaddr_in6>(address.storage);
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(endpoint.port);
        ::inet_pton(AF_INET6, endpoint.host.c_str(), &six.sin6_addr);
        address.size = sizeof six;
        return address;
    }
    auto &four = as<sockaddr_in>(address.storage);
    four.sin_family = AF_INET;
    four.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.host.c_str(), &four.sin_addr);
    address.size = sizeof four;
    return address;
}

auto formatAddress(const sockaddr *address) -> std::string
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address->sa_family == AF_INET6) {
        const auto *six = reinterpret_cast<const sockaddr_in6 *>(address);
        ::inet_ntop(AF_INET6, &six->sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(ntohs(six->sin6_port));
    }
    const auto *four = reinterpret_cast<const sockaddr_in *>(address);
    ::inet_ntop(AF_INET, &four->sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(four->sin_port));
}

} // namespace auburnspread::net
