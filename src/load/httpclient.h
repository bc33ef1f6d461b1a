/// \file
/// A small HTTP client on evhttp: every call on a connection of its own, chunks handed on as they arrive.

#pragma once

#include "runtime/task/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_connection;

namespace auburnspread::load
{

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string address; ///< IP number and port
    std::string method = "GET";
    std::string path = "/";
    Headers headers;
    std::string body;
};

enum class HttpEnd {
    Complete,
    ConnectFailed, ///< the connection was never made
    Broken,        ///< the connection ended early
};

/// What the peer said before the body.
struct HttpHead {
    int status = 0;
    Headers headers; ///< names in lower case

    /// Empty if the header is absent. \p name in lower case.
    [[nodiscard]] auto header(std::string_view name) const -> std::string;
};

struct HttpHandlers {
    std::function<void(const HttpHead &)> onHead; ///< may be empty
    std::function<void(std::string_view)> onBody; ///< may be empty
    std::function<void(HttpEnd)> onEnd;           ///< called once, unless the call is dropped before
};

/// One call under way; dropping it closes its connection and calls no handler any more.
class HttpCall
{
public:
    struct State;
    explicit HttpCall(std::shared_ptr<State> state);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    auto operator=(const HttpCall &) -> HttpCall & = delete;

private:
    std::shared_ptr<State> state_;
};

using HttpCallPointer = std::unique_ptr<HttpCall>;

/// Makes calls on one event loop.
class HttpClient
{
public:
    explicit HttpClient(task::EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// \throws std::runtime_error if the address is not an IP number and port.
    [[nodiscard]] auto start(const HttpRequest &request, HttpHandlers handlers) -> HttpCallPointer;

private:
    struct Graveyard;
    std::shared_ptr<Graveyard> graveyard_;
    task::EventLoop &loop_;
    task::Watch burial_;
};

} // namespace auburnspread::load
