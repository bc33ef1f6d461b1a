/// \file
/// Small HTTP server on one event loop, for admin pages, the console and tests. Answers are whole, not streamed.
/// Header, body and connection counts are bounded, and a caller that sends slowly is cut off.

#pragma once

#include "runtime/memory/account.h"
#include "runtime/task/eventloop.h"
#include "wire/http/message.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspread::http
{

struct ServerOptions {
    std::size_t headerBytes = std::size_t{ 16 } * 1024; ///< of one request; a longer block ends the connection
    std::size_t bodyBytes = std::size_t{ 1024 } * 1024; ///< of one request; a longer one is answered 413 where that can still be read
    std::size_t connections = 256;                      ///< at once; then the one that is idle for longest yields to a new one
    Duration readTimeout = std::chrono::seconds(10);    ///< from a request's first byte to its last, also from connecting to the first request's end
    Duration sendTimeout = std::chrono::seconds(30);    ///< from the answer to the last byte that the caller takes of it
    Duration idleTimeout = std::chrono::seconds(60);    ///< of a connection without a request
};

/// A request as received.
struct IncomingRequest {
    Method method = Method::Get;
    std::string path;                         ///< decoded, without the query
    std::map<std::string, std::string> query; ///< decoded
    Headers headers;
    std::string body;
    std::string peer; ///< address of the other end
};

namespace detail
{
struct PendingReply;
}

/// Answers one request, at once or later, from the loop's thread. Copies share the one answer: the first counts.
/// If the caller has gone, the answer is dropped. If every copy ends without an answer, the caller gets 500.
class Replier
{
public:
    explicit Replier(std::shared_ptr<detail::PendingReply> pending);

    auto reply(int status, std::string_view contentType, std::string_view body, const Headers &headers = {}) const -> void;
    auto replyJson(int status, const nlohmann::json &body, const Headers &headers = {}) const -> void;
    /// {"error": text}
    auto replyError(int status, std::string_view text) const -> void;
    /// Closes the connection without an answer.
    auto abort() const -> void;

    /// Whether the caller's connection is still there, as far as is known.
    [[nodiscard]] auto isOpen() const -> bool;

private:
    std::shared_ptr<detail::PendingReply> pending_;
};

using Handler = std::function<void(const IncomingRequest &request, const Replier &replier)>;

class Server
{
public:
    /// \p account counts what is held for callers; without one the server has its own, for the smallest VM.
    explicit Server(task::EventLoop &loop, ServerOptions options = {}, memory::Account *account = nullptr);
    /// Closes everything. Not to be called from within a handler.
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    /// Calls \p handler for \p path; a path that ends with "/" also takes every path below it. The longest match counts.
    auto route(const std::string &path, Handler handler) -> void;

    /// Starts to accept at an IP number and port; port 0 takes a free one. Throws std::runtime_error, or its kind std::system_error.
    /// Returns the address in use.
    auto listen(const std::string &address) -> std::string;

    /// Accepts no further connection, closes idle ones, ends the others with their answer and then calls \p onStopped.
    auto stop(std::function<void()> onStopped) -> void;

    [[nodiscard]] auto connectionCount() const -> std::size_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::http
