/// \file
/// The HTTP side of the stand-ins: requests answered at once or later, streams, and connections that go silent or are
/// cut on purpose. Everything runs in the thread of one event loop.

#pragma once

#include "runtime/task/eventloop.h"
#include "standins/commandline.h"
#include "standins/httprequest.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhtp_request;

namespace auburnspread::standins
{

namespace detail
{
struct ServerState;
struct Connection;
} // namespace detail

struct HttpReply {
    int status = 200;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// One request and the answer to it. It outlives its connection: what is sent after the end goes nowhere.
class Exchange
{
public:
    Exchange(evhtp_request *request, std::shared_ptr<detail::Connection> connection);

    [[nodiscard]] auto request() const -> const HttpRequest &;

    /// Answers with \p reply as a whole.
    auto reply(const HttpReply &reply) -> void;
    /// Answers with \p status and the JSON text of \p body.
    auto replyJson(int status, const nlohmann::json &body) -> void;
    /// Sends status and headers; the body follows in pieces.
    auto beginStream(const HttpReply &head) -> void;
    auto sendPiece(std::string_view piece) -> void;
    auto endStream() -> void;
    /// Closes the connection without any further byte. What was sent in earlier turns of the event loop arrives.
    auto sever() -> void;

    /// Calls \p action if the connection ends before the answer does.
    auto whenClosed(std::function<void()> action) -> void;

private:
    friend struct detail::ServerState;
    auto detach() -> void;
    [[nodiscard]] auto canSend() const -> bool;
    auto addHeaders(const HttpReply &reply) -> void;

    evhtp_request *raw_;
    std::shared_ptr<detail::Connection> connection_;
    HttpRequest request_;
    std::function<void()> closed_;
    bool answered_ = false;
};

using ExchangePointer = std::shared_ptr<Exchange>;

/// Answers 503 in the form that proves that nothing of the request was run.
auto refuseNotStarted(const ExchangePointer &exchange, const std::string &why) -> void;
/// Answers 404.
auto replyNoSuchCall(const ExchangePointer &exchange) -> void;

class HttpServer
{
public:
    struct Options {
        task::EventLoop &loop;
        Address address;
        std::function<void(const ExchangePointer &)> handle;
    };

    /// Listens. \throws std::runtime_error if the address cannot be had.
    explicit HttpServer(Options options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// The address with the port that was chosen.
    [[nodiscard]] auto address() const -> Address;

    /// Connections that are open now go silent for good, as if a device between the ends had forgotten them: nothing is
    /// sent or read any more and neither end is told.
    auto silenceOpen() -> void;
    /// As silenceOpen(), and so does every connection accepted until this is switched off.
    auto setSilent(bool silent) -> void;
    /// Closes every connection without an answer, and at once each new one until this is switched off.
    auto setDown(bool down) -> void;
    /// Connections from these IP addresses go silent. Those that were silent and are no longer listed are closed.
    auto setCut(std::vector<std::string> sources) -> void;

private:
    std::unique_ptr<detail::ServerState> state_;
};

/// Prints the line that tells both addresses: `listening IP:PORT control IP:PORT`.
auto announce(const HttpServer &server, const HttpServer &control) -> void;

} // namespace auburnspread::standins
