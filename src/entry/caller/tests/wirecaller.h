/// \file
/// A caller on a plain socket, for requests that no HTTP library would send.

#pragma once

#include <string>
#include <string_view>

namespace auburnspread::entry
{

class WireCaller
{
public:
    /// Connects to an IP number and port. \throws std::runtime_error
    explicit WireCaller(const std::string &address);
    ~WireCaller();
    WireCaller(const WireCaller &) = delete;
    auto operator=(const WireCaller &) -> WireCaller & = delete;

    auto send(std::string_view bytes) const -> void;
    /// Reads until \p text was seen or the connection ended; everything read since the last call.
    auto readUntil(std::string_view text) -> std::string;
    /// Reads until the other side ends the connection.
    auto readToEnd() -> std::string;
    auto close() -> void;
    /// Closes the connection with a reset.
    auto reset() -> void;

private:
    int socket_ = -1;
    std::string pending_;
};

} // namespace auburnspread::entry
