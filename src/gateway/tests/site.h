/// \file
/// A gateway on loopback with a stand-in for the platform's store, both on a loop in a thread of their own. The test plays
/// callers and backend servers on plain sockets.

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

namespace auburnspread::gateway::tests
{

using Caller = entry::WireCaller;
using Server = entry::TcpServer;
using Connection = entry::TcpConnection;

constexpr auto Host = "quotes.example"; ///< of all routes
constexpr auto EndOfHead = "\r\n\r\n";

class Site
{
public:
    /// Starts the gateway and waits until it is ready. Routes: /quote/ (stream that runs once), /check/ (resumable stream),
    /// /notice/ (at most once), /fetch/ (idempotent, two attempts).
    explicit Site(const std::string &keyWithdrawalMs = "5000");
    ~Site();
    Site(const Site &) = delete;
    auto operator=(const Site &) -> Site & = delete;

    [[nodiscard]] auto callerAddress() const -> const std::string &;
    /// The body of a page of the gateway; its status line stands before it.
    [[nodiscard]] auto readiness() const -> std::string;
    [[nodiscard]] auto addresses() const -> std::string;
    [[nodiscard]] auto metrics() const -> std::string;

    /// Registers a backend server and waits until the gateway knows it.
    auto addServer(const std::string &id, const std::string &service, const std::string &address) -> void;
    /// A configuration with this key and key-other.
    auto putConfiguration(std::uint64_t version, const std::string &key) -> void;
    /// Another bound on the life of a withdrawn key. \return whether all that changed is in force
    [[nodiscard]] auto setKeyWithdrawal(Duration keyWithdrawal) -> bool;
    /// The gateway begins to leave.
    auto leave() -> void;
    [[nodiscard]] auto hasLeft() const -> bool;

    /// Runs \p action in the thread of the store and the gateway, and waits for its end.
    auto onLoop(const std::function<void(adapter::standins::StoreStandin &store)> &action) const -> void;

private:
    struct Running;
    std::unique_ptr<Running> running_;
    std::thread thread_;
};

/// A site with one backend server of the service, and a caller.
struct ServedSite {
    ServedSite();

    /// The caller sends \p request, and the server has read it to the end of its head.
    [[nodiscard]] auto receive(const std::string &request) const -> Connection;

    Site site;
    const Server server;
    Caller caller;
};

auto contains(const std::string &text, std::string_view part) -> bool;

/// Repeats \p isTrue until it holds; false after a generous bound.
auto waitUntil(const std::function<bool()> &isTrue) -> bool;

/// The beginning of a request: its first line, host, id and key.
auto makeHead(const std::string &methodAndPath, const std::string &id, const std::string &key = "key-1") -> std::string;
/// A request with a key, an id and a body.
auto makeRequest(const std::string &path, const std::string &id, const std::string &body = "", const std::string &headers = "") -> std::string;
/// The beginning of an answer of a backend server: its first line, id and signature.
auto makeAnswerHead(const std::string &id, const std::string &status = "200 OK") -> std::string;
/// A whole answer of a backend server.
auto makeAnswer(const std::string &id, const std::string &body, const std::string &status = "200 OK") -> std::string;
/// The head of a streamed answer, and one event as a chunk.
auto makeStreamHead(const std::string &id) -> std::string;
auto makeChunk(const std::string &bytes) -> std::string;

} // namespace auburnspread::gateway::tests
