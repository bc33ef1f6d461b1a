/// \file
/// Asynchronous HTTP client on one event loop, for short exchanges: the platform's service, admin calls, orders, probes.
/// Idle connections are kept and used again. Every wait is bounded by a timer of the client, never by the kernel's.

#pragma once

#include "runtime/task/eventloop.h"
#include "wire/http/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburnspread::http
{

struct Request {
    Method method = Method::Get;
    std::string address; ///< IP number and port
    std::string path;    ///< with the query; encoded
    Headers headers;     ///< the host is the address unless one of them names it
    std::string body;
    Duration timeout = std::chrono::seconds(5); ///< of the whole exchange, connecting included
    std::optional<Duration> silenceTimeout;     ///< ends the exchange sooner if no byte of the answer came for this long
    bool freshConnection = false;               ///< uses no idle connection: for probes and retries
    bool isIdempotent = false;                  ///< sent again, once and on a fresh connection, if the peer had ended the idle one
};

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
};

/// How far an exchange came before it failed.
enum class Step {
    Prepare, ///< the request itself is not valid; nothing was sent
    Connect, ///< no byte of the request left
    Wait,    ///< the request or a part of it was sent and no byte of the response came
    Receive, ///< a part of the response came
};

enum class Cause {
    Invalid,
    Timeout,
    Closed, ///< refused, reset or ended by the peer
    Malformed,
    TooLarge,
};

auto stepName(Step step) -> std::string_view;
auto causeName(Cause cause) -> std::string_view;

struct Error {
    Step step = Step::Prepare;
    Cause cause = Cause::Invalid;
    std::string peer;              ///< address
    std::size_t receivedBytes = 0; ///< of the response, head included
    bool reusedConnection = false; ///< with Step::Wait and Cause::Closed the peer had most likely ended the idle connection
    std::string text;              ///< all of the above in one line
};

/// Whether no byte of the request can have reached the peer.
auto provesNotSent(const Error &error) -> bool;

using Result = std::variant<Response, Error>;
using OnDone = std::function<void(Result result)>;

/// Names one exchange for cancel().
enum class Handle : std::uint64_t {};

struct ClientOptions {
    Duration idleAge = std::chrono::seconds(15); ///< idle connections older than this are closed
    std::size_t idlePerAddress = 4;
    std::size_t headerBytes = std::size_t{ 64 } * 1024;      ///< of a response
    std::size_t bodyBytes = std::size_t{ 16 } * 1024 * 1024; ///< of a response
};

class Client
{
public:
    explicit Client(task::EventLoop &loop, ClientOptions options = {});
    /// Ends all exchanges without calling back. Not to be called from within an onDone.
    ~Client();
    Client(const Client &) = delete;
    auto operator=(const Client &) -> Client & = delete;

    /// Calls \p onDone once, later, in the loop's thread, unless cancelled before.
    auto fetch(const Request &request, OnDone onDone) -> Handle;
    /// Closes the exchange's connection; its onDone will not be called. Does nothing if it has ended. What the peer has not got of the request
    /// does not reach it any more, as after a timeout.
    auto cancel(Handle handle) -> void;

    /// Connections that wait for use, for status pages and tests.
    [[nodiscard]] auto idleConnections() const -> std::size_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::http
