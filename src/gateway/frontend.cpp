#include "gateway/frontend.h"

#include "runtime/net/endpoint.h"
#include "wire/http/evhttpheaders.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr int BadRequestStatus = 400;
constexpr int FirstBodilessStatus = 100;
constexpr int LastBodilessStatus = 199;

/// An idle connection is closed this much later than the configuration says, so that a caller's own count ends first.
constexpr Duration IdleMargin = std::chrono::seconds(3);
/// Unsent bytes of an answer after which its reader counts as stuck; answers are some kilobytes.
constexpr std::size_t MostBacklogBytes = std::size_t{ 1024 } * 1024;

struct ServerDeleter {
    auto operator()(evhttp *server) const -> void
    {
        evhttp_free(server);
    }
};
struct BufferDeleter {
    auto operator()(evbuffer *buffer) const -> void
    {
        evbuffer_free(buffer);
    }
};
using BufferPointer = std::unique_ptr<evbuffer, BufferDeleter>;

/// One request whose answer is not complete.
struct Exchange {
    RequestId id{};
    evhttp_request *request = nullptr; ///< owned by the library
    evhttp_connection *connection = nullptr;
    task::EventPointer closedWatch;
};

auto makeBuffer(std::string_view bytes) -> BufferPointer
{
    BufferPointer buffer(evbuffer_new());
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    return buffer;
}

auto countHeaders(const http::Headers &headers, std::string_view name) -> std::ptrdiff_t
{
    return std::count_if(
        headers.begin(), headers.end(), [name](const http::Header &header) { return !header.value.empty() && http::isSameWord(header.name, name); });
}

/// Failure: a body's length is given twice, or in a form that the two ends read differently. Symptom: the rest of one
/// request is taken for another one, with a key that its sender does not hold. Such a request is refused and its
/// connection closed, so nothing behind it is read.
auto hasDoubtfulLength(const http::Headers &headers) -> bool
{
    const auto lengths = countHeaders(headers, "Content-Length");
    const auto encodings = countHeaders(headers, "Transfer-Encoding");
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return true;
    }
    return encodings == 1 && !http::isSameWord(http::findHeader(headers, "Transfer-Encoding"), "chunked");
}

/// Failure: a line end that the library does not take for one stands in the request's target, as a lone carriage return may.
/// Symptom: a backend server that does take it for one reads a second request out of the first. Nothing proper holds one.
auto hasLineEnd(std::string_view target) -> bool
{
    return target.find_first_of("\r\n") != std::string_view::npos;
}

auto readPayload(evhttp_request *request, http::Headers headers) -> PayloadPointer
{
    auto payload = std::make_shared<Payload>();
    payload->method = evhttp_request_get_command(request);
    payload->target = evhttp_request_get_uri(request);
    payload->headers = std::move(headers);
    auto *body = evhttp_request_get_input_buffer(request);
    payload->body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, payload->body.data(), payload->body.size());
    return payload;
}

auto addHeaders(evhttp_request *request, const http::Headers &headers) -> void
{
    auto *output = evhttp_request_get_output_headers(request);
    for (const auto &header : headers) {
        evhttp_add_header(output, header.name.c_str(), header.value.c_str());
    }
}

} // namespace

class Frontend::Impl
{
public:
    Impl(task::EventLoop &eventLoop, FrontendCallbacks frontendCallbacks);
    ~Impl();
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto handle(evhttp_request *request) -> void;
    auto refuseInput(evhttp_request *request, std::string_view detail) -> void;
    auto watchCaller(Exchange &exchange) -> void;
    auto connectionClosed(evhttp_connection *connection) -> void;
    auto find(RequestId id) -> Exchange *;
    auto prepare(evhttp_request *request) const -> void;
    auto finish(RequestId id) -> void;

    task::EventLoop &loop;
    FrontendCallbacks callbacks;
    std::unique_ptr<evhttp, ServerDeleter> server;
    evhttp_bound_socket *listener = nullptr;
    bool closing = false;
    std::uint64_t lastId = 0;
    std::unordered_map<RequestId, Exchange> exchanges;
    std::unordered_map<evhttp_connection *, RequestId> byConnection; ///< the one request under way on each
    bool isEnding = false;
};

Frontend::Impl::Impl(task::EventLoop &eventLoop, FrontendCallbacks frontendCallbacks)
    : loop(eventLoop)
    , callbacks(std::move(frontendCallbacks))
    , server(evhttp_new(eventLoop.base()))
{
    constexpr auto Methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;
    evhttp_set_allowed_methods(server.get(), Methods);
    evhttp_set_default_content_type(server.get(), nullptr);
    evhttp_set_gencb(
        server.get(), [](evhttp_request *request, void *context) { static_cast<Impl *>(context)->handle(request); }, this);
}

Frontend::Impl::~Impl()
{
    isEnding = true;
    exchanges.clear();
}

auto Frontend::Impl::handle(evhttp_request *request) -> void
{
    auto *connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection *closed, void *context) { static_cast<Impl *>(context)->connectionClosed(closed); }, this);
    auto headers = http::readHeaders(evhttp_request_get_input_headers(request));
    if (hasDoubtfulLength(headers)) {
        refuseInput(request, "length of the body is given more than once or in an unknown form");
        return;
    }
    if (hasLineEnd(evhttp_request_get_uri(request))) {
        refuseInput(request, "a line end stands in the target");
        return;
    }
    const auto id = RequestId{ ++lastId };
    auto &exchange = exchanges[id];
    exchange.id = id;
    exchange.request = request;
    exchange.connection = connection;
    byConnection[connection] = id;
    watchCaller(exchange);
    callbacks.onRequest(id, readPayload(request, std::move(headers)));
}

auto Frontend::Impl::refuseInput(evhttp_request *request, std::string_view detail) -> void
{
    callbacks.onRefusedInput("read", detail);
    addHeaders(request, { { "Connection", "close" } });
    evhttp_send_reply(request, BadRequestStatus, "Bad Request", nullptr);
}

//! NOTE the library does not read a connection while its request is answered, so it does not see the caller close it; a
//! watch for the closed state alone does, without taking bytes of a further request
auto Frontend::Impl::watchCaller(Exchange &exchange) -> void
{
    auto *connection = exchange.connection;
    const auto onClosed
        = [](evutil_socket_t /*descriptor*/, short /*what*/, void *context) { evhttp_connection_free(static_cast<evhttp_connection *>(context)); };
    const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    exchange.closedWatch.reset(event_new(loop.base(), descriptor, EV_CLOSED, onClosed, connection));
    event_add(exchange.closedWatch.get(), nullptr);
}

/// The library has taken a request whose answer was not complete off its connection in some cases, and leaves it to us then.
auto Frontend::Impl::connectionClosed(evhttp_connection *connection) -> void
{
    const auto found = byConnection.find(connection);
    if (isEnding || found == byConnection.end()) {
        return;
    }
    const auto id = found->second;
    auto *request = exchanges.at(id).request;
    finish(id);
    if (evhttp_request_get_connection(request) == nullptr) {
        evhttp_request_free(request);
    }
    callbacks.onGone(id);
}

auto Frontend::Impl::find(RequestId id) -> Exchange *
{
    const auto found = exchanges.find(id);
    return found == exchanges.end() ? nullptr : &found->second;
}

auto Frontend::Impl::prepare(evhttp_request *request) const -> void
{
    if (closing) {
        addHeaders(request, { { "Connection", "close" } });
    }
}

auto Frontend::Impl::finish(RequestId id) -> void
{
    const auto node = exchanges.extract(id);
    if (node) {
        byConnection.erase(node.mapped().connection);
    }
}

Frontend::Frontend(task::EventLoop &loop, FrontendCallbacks callbacks)
    : impl_(std::make_unique<Impl>(loop, std::move(callbacks)))
{
}

Frontend::~Frontend() = default;

auto Frontend::listen(const std::string &address) -> void
{
    const auto endpoint = net::parseEndpoint(address);
    if (!endpoint) {
        throw std::runtime_error("listen " + address + ": not an IP number and port");
    }
    impl_->listener = evhttp_bind_socket_with_handle(impl_->server.get(), endpoint->host.c_str(), endpoint->port);
    if (impl_->listener == nullptr) {
        throw std::runtime_error("listen " + address + ": " + std::strerror(errno));
    }
}

auto Frontend::address() const -> std::string
{
    net::SocketAddress bound;
    bound.size = sizeof bound.storage;
    ::getsockname(evhttp_bound_socket_get_fd(impl_->listener), bound.get(), &bound.size);
    return net::formatAddress(bound.get());
}

auto Frontend::setLimits(const passthrough::CallerLimits &limits) -> void
{
    auto *server = impl_->server.get();
    evhttp_set_max_headers_size(server, static_cast<ev_ssize_t>(limits.headerBytes));
    evhttp_set_max_body_size(server, static_cast<ev_ssize_t>(limits.bodyBytes));
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(limits.idleTimeout + IdleMargin);
    evhttp_set_timeout(server, static_cast<int>(seconds.count()));
}

auto Frontend::closeAfterAnswers() -> void
{
    impl_->closing = true;
}

auto Frontend::answer(RequestId request, const WholeAnswer &answer) -> void
{
    auto *exchange = impl_->find(request);
    if (exchange == nullptr) {
        return;
    }
    auto *raw = exchange->request;
    impl_->finish(request);
    addHeaders(raw, answer.headers);
    impl_->prepare(raw);
    const auto isBodiless = answer.status >= FirstBodilessStatus && answer.status <= LastBodilessStatus;
    const auto body = makeBuffer(isBodiless ? std::string_view() : answer.body);
    evhttp_send_reply(raw, answer.status, nullptr, body.get());
}

auto Frontend::beginStream(RequestId request, int status, const http::Headers &headers) -> void
{
    if (auto *exchange = impl_->find(request)) {
        addHeaders(exchange->request, headers);
        impl_->prepare(exchange->request);
        evhttp_send_reply_start(exchange->request, status, nullptr);
    }
}

auto Frontend::writeStream(RequestId request, std::string_view bytes) -> void
{
    auto *exchange = impl_->find(request);
    if (exchange == nullptr) {
        return;
    }
    auto *output = bufferevent_get_output(evhttp_connection_get_bufferevent(exchange->connection));
    if (evbuffer_get_length(output) > MostBacklogBytes) {
        breakOff(request);
        impl_->callbacks.onGone(request);
        return;
    }
    evhttp_send_reply_chunk(exchange->request, makeBuffer(bytes).get());
}

auto Frontend::endStream(RequestId request) -> void
{
    if (auto *exchange = impl_->find(request)) {
        auto *raw = exchange->request;
        impl_->finish(request);
        evhttp_send_reply_end(raw);
    }
}

auto Frontend::breakOff(RequestId request) -> void
{
    if (auto *exchange = impl_->find(request)) {
        auto *connection = exchange->connection;
        impl_->finish(request);
        evhttp_connection_free(connection);
    }
}

auto Frontend::openRequests() const -> std::size_t
{
    return impl_->exchanges.size();
}

} // namespace auburnspread::gateway
