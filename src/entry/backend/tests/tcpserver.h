/// \file
/// A backend server on plain sockets, for answers that no HTTP library would send.

#pragma once

#include <string>
#include <string_view>

namespace auburnspread::entry
{

/// One accepted connection.
class TcpConnection
{
public:
    explicit TcpConnection(int descriptor);
    ~TcpConnection();
    TcpConnection(TcpConnection &&other) noexcept;
    auto operator=(TcpConnection &&other) -> TcpConnection & = delete;
    TcpConnection(const TcpConnection &) = delete;
    auto operator=(const TcpConnection &) -> TcpConnection & = delete;

    auto send(std::string_view bytes) const -> void;
    /// Sends \p bytes. \return false if the other side has closed the connection
    [[nodiscard]] auto trySend(std::string_view bytes) const -> bool;
    /// Reads until \p text was seen. \throws std::runtime_error if the connection ends before
    auto readUntil(std::string_view text) const -> std::string;
    /// Whether the other side ends the connection.
    [[nodiscard]] auto seesEnd() const -> bool;
    /// The same, or resets it because it did not read everything.
    [[nodiscard]] auto seesEndOrReset() const -> bool;
    auto close() -> void;
    /// Closes the connection with a reset.
    auto reset() -> void;

private:
    int descriptor_;
};

class TcpServer
{
public:
    TcpServer();
    ~TcpServer();
    TcpServer(const TcpServer &) = delete;
    auto operator=(const TcpServer &) -> TcpServer & = delete;

    [[nodiscard]] auto address() const -> std::string;
    /// The next connection. \throws std::runtime_error if none comes
    [[nodiscard]] auto accept() const -> TcpConnection;
    /// Whether there is a connection to accept.
    [[nodiscard]] auto hasConnection() const -> bool;
    /// Later connections are refused: nobody else takes the address.
    auto close() -> void;

private:
    int descriptor_;
    std::string address_;
};

} // namespace auburnspread::entry
