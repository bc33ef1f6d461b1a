#include "standins/httpserver.h"

#include "wire/http/wholefirstline.h"

#include <evhtp/evhtp.h>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <unordered_map>

namespace auburnspread::standins
{

namespace detail
{

struct Connection {
    evhtp_connection_t *raw = nullptr; ///< null once it has ended
    std::string source;
    bool silent = false;
};

struct ServerState {
    struct Deleter {
        auto operator()(evhtp_t *server) const -> void
        {
            evhtp_unbind_socket(server);
            evhtp_free(server);
        }
    };

    std::function<void(const ExchangePointer &)> handle;
    std::unordered_map<evhtp_connection_t *, std::shared_ptr<Connection>> connections;
    std::vector<std::string> cut;
    bool silent = false;
    bool down = false;
    std::unique_ptr<evhtp_t, Deleter> server;

    ServerState() = default;
    ~ServerState();
    ServerState(const ServerState &) = delete;
    auto operator=(const ServerState &) -> ServerState & = delete;

    static auto accept(evhtp_connection_t *raw, void *context) -> evhtp_res;
    static auto endConnection(evhtp_connection_t *raw, void *context) -> evhtp_res;
    static auto receive(evhtp_request_t *raw, void *context) -> void;
    static auto endRequest(evhtp_request_t *raw, void *context) -> evhtp_res;
};

} // namespace detail

namespace
{

constexpr int Backlog = 1024;
constexpr std::uint64_t LargestBody = 16U << 20U;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int ServerError = 500;
constexpr int Unavailable = 503;

/// libevhtp declares its hooks without parameters.
template <typename Function>
auto toHook(Function function) -> evhtp_hook
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

auto sourceOf(const evhtp_connection_t *raw) -> std::string
{
    if (raw->saddr == nullptr || raw->saddr->sa_family != AF_INET) {
        return {};
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto *address = reinterpret_cast<const sockaddr_in *>(raw->saddr);
    ::inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    return text.data();
}

auto silence(detail::Connection &connection) -> void
{
    connection.silent = true;
    bufferevent_disable(connection.raw->bev, EV_READ | EV_WRITE);
}

/// A shutdown rather than a close: libevhtp may be in the middle of this connection and must see its end itself.
auto closeSoon(detail::Connection &connection) -> void
{
    if (connection.raw == nullptr) {
        return;
    }
    ::shutdown(bufferevent_getfd(connection.raw->bev), SHUT_RDWR);
    bufferevent_enable(connection.raw->bev, EV_READ);
}

auto contains(const std::vector<std::string> &list, const std::string &item) -> bool
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

/// libevhtp leaves open connections to themselves when a server ends.
detail::ServerState::~ServerState()
{
    while (!connections.empty()) {
        evhtp_connection_free(connections.begin()->first);
    }
}

auto detail::ServerState::accept(evhtp_connection_t *raw, void *context) -> evhtp_res
{
    auto &state = *static_cast<ServerState *>(context);
    const auto connection = std::make_shared<Connection>(Connection{ .raw = raw, .source = sourceOf(raw) });
    state.connections[raw] = connection;
    http::readWholeFirstLines(raw);
    evhtp_connection_set_hook(raw, evhtp_hook_on_connection_fini, toHook(&ServerState::endConnection), context);
    if (state.down) {
        closeSoon(*connection);
    } else if (state.silent || contains(state.cut, connection->source)) {
        silence(*connection);
    }
    return EVHTP_RES_OK;
}

auto detail::ServerState::endConnection(evhtp_connection_t *raw, void *context) -> evhtp_res
{
    auto &state = *static_cast<ServerState *>(context);
    const auto found = state.connections.find(raw);
    if (found != state.connections.end()) {
        found->second->raw = nullptr;
        state.connections.erase(found);
    }
    return EVHTP_RES_OK;
}

auto detail::ServerState::receive(evhtp_request_t *raw, void *context) -> void
{
    auto &state = *static_cast<ServerState *>(context);
    const auto connection = state.connections.at(raw->conn);
    if (connection->silent || state.down) {
        return;
    }
    const auto exchange = std::make_shared<Exchange>(raw, connection);
    //! NOTE the hook owns a share, so that the exchange lives at least as long as the request
    evhtp_request_set_hook(raw, evhtp_hook_on_request_fini, toHook(&ServerState::endRequest), new ExchangePointer(exchange));
    try {
        state.handle(exchange);
    } catch (const nlohmann::json::exception &error) {
        exchange->replyJson(BadRequest, { { "error", error.what() } });
    } catch (const std::invalid_argument &error) {
        exchange->replyJson(BadRequest, { { "error", error.what() } });
    } catch (const std::exception &error) {
        exchange->replyJson(ServerError, { { "error", error.what() } });
    }
}

auto detail::ServerState::endRequest(evhtp_request_t * /*raw*/, void *context) -> evhtp_res
{
    const std::unique_ptr<ExchangePointer> share(static_cast<ExchangePointer *>(context));
    (*share)->detach();
    return EVHTP_RES_OK;
}

Exchange::Exchange(evhtp_request *request, std::shared_ptr<detail::Connection> connection)
    : raw_(request)
    , connection_(std::move(connection))
    , request_(readRequest(request, connection_->source))
{
}

auto Exchange::request() const -> const HttpRequest &
{
    return request_;
}

auto Exchange::detach() -> void
{
    raw_ = nullptr;
    const auto action = std::exchange(closed_, nullptr);
    if (action && !answered_) {
        action();
    }
}

auto Exchange::canSend() const -> bool
{
    return raw_ != nullptr && !connection_->silent;
}

auto Exchange::addHeaders(const HttpReply &reply) -> void
{
    const auto add = [this](const std::string &name, const std::string &value) {
        evhtp_headers_add_header(raw_->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    };
    add("Content-Type", reply.contentType);
    for (const auto &[name, value] : reply.headers) {
        add(name, value);
    }
}

auto Exchange::reply(const HttpReply &reply) -> void
{
    if (answered_) {
        return;
    }
    answered_ = true;
    if (!canSend()) {
        return;
    }
    addHeaders(reply);
    evbuffer_add(raw_->buffer_out, reply.body.data(), reply.body.size());
    evhtp_send_reply(raw_, static_cast<evhtp_res>(reply.status));
}

auto Exchange::replyJson(int status, const nlohmann::json &body) -> void
{
    reply({ .status = status, .body = body.dump() });
}

auto Exchange::beginStream(const HttpReply &head) -> void
{
    if (!canSend()) {
        return;
    }
    addHeaders(head);
    evhtp_send_reply_chunk_start(raw_, static_cast<evhtp_res>(head.status));
}

auto Exchange::sendPiece(std::string_view piece) -> void
{
    if (!canSend()) {
        return;
    }
    auto *output = bufferevent_get_output(raw_->conn->bev);
    evbuffer_add_printf(output, "%zx\r\n", piece.size());
    evbuffer_add(output, piece.data(), piece.size());
    evbuffer_add(output, "\r\n", 2);
}

auto Exchange::endStream() -> void
{
    answered_ = true;
    if (canSend()) {
        evhtp_send_reply_chunk_end(raw_);
    }
}

auto Exchange::sever() -> void
{
    answered_ = true;
    closeSoon(*connection_);
}

auto Exchange::whenClosed(std::function<void()> action) -> void
{
    closed_ = std::move(action);
}

auto refuseNotStarted(const ExchangePointer &exchange, const std::string &why) -> void
{
    const nlohmann::json body = { { "error", why } };
    exchange->reply({ .status = Unavailable, .headers = { { "Request-Not-Started", "true" } }, .body = body.dump() });
}

auto replyNoSuchCall(const ExchangePointer &exchange) -> void
{
    exchange->replyJson(NotFound, { { "error", "no such call" } });
}

HttpServer::HttpServer(Options options)
    : state_(std::make_unique<detail::ServerState>())
{
    state_->handle = std::move(options.handle);
    state_->server.reset(evhtp_new(options.loop.base(), nullptr));
    auto *server = state_->server.get();
    evhtp_enable_flag(server, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_max_body_size(server, LargestBody);
    evhtp_set_gencb(server, &detail::ServerState::receive, state_.get());
    evhtp_set_post_accept_cb(server, &detail::ServerState::accept, state_.get());
    if (evhtp_bind_socket(server, options.address.ip.c_str(), options.address.port, Backlog) != 0) {
        throw std::runtime_error("cannot listen on " + formatAddress(options.address));
    }
}

HttpServer::~HttpServer() = default;

auto HttpServer::address() const -> Address
{
    sockaddr_in name{};
    socklen_t size = sizeof name;
    ::getsockname(evconnlistener_get_fd(state_->server->server), reinterpret_cast<sockaddr *>(&name), &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &name.sin_addr, text.data(), text.size());
    return { .ip = text.data(), .port = ntohs(name.sin_port) };
}

auto HttpServer::silenceOpen() -> void
{
    for (const auto &[raw, connection] : state_->connections) {
        silence(*connection);
    }
}

auto HttpServer::setSilent(bool silent) -> void
{
    state_->silent = silent;
    if (silent) {
        silenceOpen();
    }
}

auto HttpServer::setDown(bool down) -> void
{
    state_->down = down;
    if (!down) {
        return;
    }
    for (const auto &[raw, connection] : state_->connections) {
        closeSoon(*connection);
    }
}

auto HttpServer::setCut(std::vector<std::string> sources) -> void
{
    const auto before = std::exchange(state_->cut, std::move(sources));
    for (const auto &[raw, connection] : state_->connections) {
        const bool isCut = contains(state_->cut, connection->source);
        if (isCut) {
            silence(*connection);
        } else if (contains(before, connection->source)) {
            closeSoon(*connection);
        }
    }
}

auto announce(const HttpServer &server, const HttpServer &control) -> void
{
    std::printf("listening %s control %s\n", formatAddress(server.address()).c_str(), formatAddress(control.address()).c_str());
    std::fflush(stdout);
}

} // namespace auburnspread::standins
