/// \file
/// IP number and port as settings, documents and messages write them: 127.0.0.1:8080 or [::1]:8080.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace auburnspread::net
{

struct Endpoint {
    std::string host;       ///< without brackets
    std::uint16_t port = 0; ///< 0: a listener takes a free one
};

/// The form that the socket calls take.
struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;

    [[nodiscard]] auto get() -> sockaddr *;
    [[nodiscard]] auto get() const -> const sockaddr *;
};

/// Nothing for any other text: host names, a missing port, blanks.
auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>;

/// \p endpoint must come from parseEndpoint().
auto toSocketAddress(const Endpoint &endpoint) -> SocketAddress;

/// The text that parseEndpoint() reads.
auto formatAddress(const sockaddr *address) -> std::string;

} // namespace auburnspread::net
