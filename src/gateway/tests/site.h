/// \file
/// A gateway on loopback with a fake of the platform's store. Both run on an event loop in a separate thread. The test acts as
/// callers and backend servers through plain sockets.

#pragma once

#include "entry/backend/tests/tcpserver.h"
#include "entry/caller/tests/wirecaller.h"
#include "gateway/gateway.h"
#include "platform/standins/storestandin.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace auburnspread::gateway::tests
{

using Caller = entry::WireCaller;
using Server = entry::TcpServer;
using Connection = entry::TcpConnection;

constexpr auto Host = "quotes.example"; ///< host name of all routes
constexpr auto EndOfHead = "\r\n\r\n";

class Site
{
public:
    /// Starts the gateway and waits until it is ready. Routes: /quote/ (stream, one attempt), /check/ (resumable stream, two
    /// attempts), /notice/ (at most once), /fetch/ (idempotent, two attempts).
    explicit Site(const std::string &keyWithdrawalMs = "5000");
    ~Site();
    Site(const Site &) = delete;
    auto operator=(const Site &) -> Site & = delete;

    [[nodiscard]] auto callerAddress() const -> const std::string &;
    /// Response of one of the gateway's own HTTP endpoints, with its status line and headers.
    [[nodiscard]] auto readiness() const -> std::string;
    [[nodiscard]] auto addresses() const -> std::string;
    [[nodiscard]] auto metrics() const -> std::string;

    /// Registers a backend server in the store and waits until the gateway has read it.
    auto addServer(const std::string &id, const std::string &service, const std::string &address, const std::string &version = "v1") -> void;
    /// Announces another entry, which takes callers' requests at \p callerAddress, and waits until the gateway knows it.
    auto addEntry(const std::string &name, const std::string &callerAddress) -> void;
    /// Stores a configuration that accepts \p key and `key-other`.
    auto putConfiguration(std::uint64_t version, const std::string &key) -> void;
    /// Reloads the settings with another key withdrawal time. \return whether all changes are in force
    [[nodiscard]] auto setKeyWithdrawal(Duration keyWithdrawal) -> bool;
    /// Starts the graceful shutdown of the gateway.
    auto drain() -> void;
    [[nodiscard]] auto hasDrained() const -> bool;

    /// Runs \p action in the thread of the store and the gateway, and waits until it returns.
    auto runOnLoop(const std::function<void(adapter::standins::StoreStandin &store)> &action) const -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
    std::thread thread_;
};

/// A site with one backend server of the service `portal`, and a caller.
struct SiteWithServer {
    SiteWithServer();

    /// Sends \p request from the caller. \return the server's connection, on which it has read the request up to the end of the head
    [[nodiscard]] auto sendAndAccept(const std::string &request) const -> Connection;

    Site site;
    const Server server;
    Caller caller;
};

/// Sends requests with \p headers, all of them before it reads the first response. \return the response heads
auto sendConcurrently(const Site &site, const std::string &path, int requests, const std::string &headers = "") -> std::vector<std::string>;

auto contains(const std::string &text, std::string_view part) -> bool;

/// \return an address at which connections are refused
auto makeRefusingAddress() -> std::string;

/// Polls \p isTrue until it returns true. \return false if it did not within 30 s
auto waitUntil(const std::function<bool()> &isTrue) -> bool;

/// Start of a request head: request line, host, attempt id and key.
auto makeHead(const std::string &methodAndPath, const std::string &id, const std::string &key = "key-1") -> std::string;
/// A complete request with an attempt id and the key `key-1`: GET without a body, POST with one.
auto makeRequest(const std::string &path, const std::string &id, const std::string &body = "", const std::string &headers = "") -> std::string;
/// Start of a backend server's response head: status line, attempt id and signature.
auto makeAnswerHead(const std::string &id, const std::string &status = "200 OK") -> std::string;
/// A complete response of a backend server.
auto makeAnswer(const std::string &id, const std::string &body, const std::string &status = "200 OK") -> std::string;
/// Complete head of a streamed response.
auto makeStreamHead(const std::string &id) -> std::string;
/// \p bytes as one chunk of a chunked body.
auto makeChunk(const std::string &bytes) -> std::string;

} // namespace auburnspread::gateway::tests
