/// \file
/// A backend server that stands still: it accepts connections and reads nothing, so that most of a request stays with its sender.

#pragma once

#include <cstddef>
#include <string>

namespace auburnspread::entry
{

/// Larger than the server's receive window, smaller than the send buffer of an entry's connection.
constexpr std::size_t HeldBytes = 60'000;
/// With which the body of a request ends, so that a test can tell whether it was received whole.
constexpr auto EndOfRequest = "the end of the request";

/// A body of HeldBytes that ends with EndOfRequest.
auto makeHeldBody() -> std::string;

class StillServer
{
public:
    StillServer();
    ~StillServer();
    StillServer(const StillServer &) = delete;
    auto operator=(const StillServer &) -> StillServer & = delete;

    [[nodiscard]] auto address() const -> std::string;
    /// Accepts the next connection if there is one. \return whether bytes have arrived on the last one
    auto hasReceived() -> bool;
    /// Reads the last connection to its end. \return what it received
    auto readToEnd() -> std::string;
    /// Whether the last connection was reset.
    [[nodiscard]] auto wasReset() const -> bool;

private:
    int listener_;
    int connection_ = -1;
    bool wasReset_ = false;
    std::string address_;
};

} // namespace auburnspread::entry
