#include "gateway/frontend.h"

#include "core/base/reason.h"
#include "gateway/refusalanswer.h"
#include "runtime/net/endpoint.h"
#include "wire/http/disconnectwatch.h"
#include "wire/http/evhttpheaders.h"
#include "wire/http/framing.h"
#include "wire/http/referencedbytes.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
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
#include <unordered_set>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr int BadRequestStatus = 400;
constexpr int NotImplementedStatus = 501;

/// Added to the configured idle timeout, so that the caller's own timeout expires first and no request meets a connection that
/// is being closed.
constexpr Duration IdleTimeoutMargin = std::chrono::seconds(3);
/// By then, the messages for which there was room are complete or have made room.
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);
/// Unsent bytes of a stream above which its caller is considered stuck. Usual responses have some kilobytes.
constexpr std::size_t MaxBacklogBytes = std::size_t{ 1024 } * 1024;

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

/// A request whose response is not complete.
struct Exchange {
    RequestId id{};
    evhttp_request *request = nullptr; ///< owned by libevent
    evhttp_connection *connection = nullptr;
    http::DisconnectWatch disconnectWatch;
};

auto makeBuffer(std::string_view bytes) -> BufferPointer
{
    BufferPointer buffer(evbuffer_new());
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    return buffer;
}

auto makeBuffer(std::string &&bytes) -> BufferPointer
{
    BufferPointer buffer(evbuffer_new());
    http::addBytes(buffer.get(), std::make_shared<const std::string>(std::move(bytes)));
    return buffer;
}

auto countHeaders(const http::Headers &headers, std::string_view name) -> std::ptrdiff_t
{
    return std::count_if(
        headers.begin(), headers.end(), [name](const http::Header &header) { return !header.value.empty() && http::isSameWord(header.name, name); });
}

/// Guards against request smuggling: if the length of a body is given twice or in a form that entry and backend server
/// interpret differently, the rest of a request can be taken for a further request, with a key that its sender does not hold.
/// Such a request is rejected and its connection closed, so that nothing after it is read.
auto hasAmbiguousLength(const http::Headers &headers) -> bool
{
    const auto lengths = countHeaders(headers, "Content-Length");
    const auto encodings = countHeaders(headers, "Transfer-Encoding");
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return true;
    }
    return encodings == 1 && !http::isSameWord(http::findHeader(headers, "Transfer-Encoding"), "chunked");
}

/// Guards against request smuggling: libevent reads no body of HEAD, so that the body would be read as the next request.
auto hasUnreadBody(evhttp_request *request, const http::Headers &headers) -> bool
{
    const auto length = http::findHeader(headers, "Content-Length");
    const auto hasBody = (!length.empty() && length != "0") || !http::findHeader(headers, "Transfer-Encoding").empty();
    return hasBody && evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
}

/// Guards against request smuggling: libevent accepts a lone carriage return in the request target. A backend server that
/// interprets it as the end of the line would read a second request out of the first. No valid target contains a line break.
auto hasLineBreak(std::string_view target) -> bool
{
    return target.find_first_of("\r\n") != std::string_view::npos;
}

auto readRequest(evhttp_request *request, http::Headers headers) -> BufferedRequestPointer
{
    auto message = std::make_shared<BufferedRequest>();
    message->method = evhttp_request_get_command(request);
    message->target = evhttp_request_get_uri(request);
    message->headers = std::move(headers);
    auto *body = evhttp_request_get_input_buffer(request);
    message->body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, message->body.data(), message->body.size());
    return message;
}

/// The refusal of a request of which nothing was sent to a backend server.
auto makeMemoryRefusal(memory::CloseCause cause) -> BufferedResponse
{
    const auto reason = cause == memory::CloseCause::TooSlow ? Reason::RequestTooSlow : Reason::MemoryFull;
    return makeRefusalResponse({ .reason = reason, .status = reasonInfo(reason).status, .retryAfter = MemoryRetryAfter });
}

/// libevent would write a body after any head. The caller would take it for the response to its next request.
auto mayAnswerWithBody(evhttp_request *request, int status) -> bool
{
    return http::allowsBody(status) && evhttp_request_get_command(request) != EVHTTP_REQ_HEAD;
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
    Impl(task::EventLoop &eventLoop, memory::Account &account, std::size_t maxConnections, FrontendCallbacks frontendCallbacks);
    ~Impl();
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto handle(evhttp_request *request) -> void;
    auto rejectInput(evhttp_request *request, std::string_view detail, int status = BadRequestStatus) -> void;
    auto watchForDisconnect(Exchange &exchange) -> void;
    auto handleClosedConnection(evhttp_connection *connection) -> void;
    auto handleBehind(evhttp_connection *connection, bool isBehind) -> void;
    auto find(RequestId id) -> Exchange *;
    auto addConnectionHeader(evhttp_request *request) const -> void;
    auto removeExchange(RequestId id) -> void;
    auto watchWriting(evhttp_request *request) -> void;
    auto handleWritten(evhttp_request *request) -> void;

    task::EventLoop &loop;
    FrontendCallbacks callbacks;
    std::unique_ptr<evhttp, ServerDeleter> server;
    evhttp_bound_socket *listener = nullptr;
    bool closesAfterResponses = false;
    std::uint64_t lastId = 0;
    std::unordered_map<RequestId, Exchange> exchanges;
    std::unordered_map<evhttp_connection *, RequestId> byConnection; ///< the request in flight on each connection
    std::unordered_set<evhttp_connection *> writing;                 ///< whose complete response is not yet in the socket
    CallerConnections connections;
};

Frontend::Impl::Impl(task::EventLoop &eventLoop, memory::Account &account, std::size_t maxConnections, FrontendCallbacks frontendCallbacks)
    : loop(eventLoop)
    , callbacks(std::move(frontendCallbacks))
    , server(evhttp_new(eventLoop.base()))
    , connections(eventLoop,
                  server.get(),
                  account,
                  maxConnections,
                  {
                      .onClosed = [this](evhttp_connection *connection) { handleClosedConnection(connection); },
                      .onBehind = [this](evhttp_connection *connection, bool isBehind) { handleBehind(connection, isBehind); },
                      .makeRefusal = makeMemoryRefusal,
                  })
{
    constexpr auto Methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH
        | EVHTTP_REQ_CONNECT; // which handle() rejects
    evhttp_set_allowed_methods(server.get(), Methods);
    evhttp_set_default_content_type(server.get(), nullptr);
    evhttp_set_gencb(
        server.get(), [](evhttp_request *request, void *context) { static_cast<Impl *>(context)->handle(request); }, this);
}

Frontend::Impl::~Impl()
{
    exchanges.clear();
}

auto Frontend::Impl::handle(evhttp_request *request) -> void
{
    auto *connection = evhttp_request_get_connection(request);
    if (evhttp_request_get_command(request) == EVHTTP_REQ_CONNECT) {
        //! NOTE libevent keeps the connection of a CONNECT open whatever its response states, and would read what follows as requests
        request->type = EVHTTP_REQ_GET;
        rejectInput(request, "method CONNECT", NotImplementedStatus);
        return;
    }
    auto headers = http::readHeaders(evhttp_request_get_input_headers(request));
    if (!http::hasValidNames(headers)) {
        rejectInput(request, "invalid header name");
        return;
    }
    if (hasAmbiguousLength(headers)) {
        rejectInput(request, "ambiguous body length: repeated or unsupported Content-Length or Transfer-Encoding");
        return;
    }
    if (hasUnreadBody(request, headers)) {
        rejectInput(request, "HEAD with a body");
        return;
    }
    if (hasLineBreak(evhttp_request_get_uri(request))) {
        rejectInput(request, "request target contains a line break");
        return;
    }
    if (http::isDisconnected(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)))) {
        //! NOTE an overloaded entry reads requests late; sending this one would make a server work for nobody
        callbacks.onAbandonedRequest(headers);
        evhttp_connection_free(connection);
        return;
    }
    const auto id = RequestId{ ++lastId };
    auto &exchange = exchanges[id];
    exchange.id = id;
    exchange.request = request;
    exchange.connection = connection;
    byConnection[connection] = id;
    auto message = readRequest(request, std::move(headers));
    connections.beginWork(connection);
    watchForDisconnect(exchange);
    callbacks.onRequest(id, std::move(message));
}

auto Frontend::Impl::rejectInput(evhttp_request *request, std::string_view detail, int status) -> void
{
    callbacks.onBadRequest("read", detail);
    addHeaders(request, { { "Connection", "close" } });
    watchWriting(request);
    evhttp_send_reply(request, status, nullptr, nullptr);
}

//! NOTE while a request is being answered, libevent does not read from its connection and so does not notice that the caller
//! closes it
auto Frontend::Impl::watchForDisconnect(Exchange &exchange) -> void
{
    auto *connection = exchange.connection;
    const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    exchange.disconnectWatch = http::DisconnectWatch(
        loop, descriptor, [connection]() { evhttp_connection_free(connection); }, [this, connection]() { connections.noteUnread(connection); });
}

/// In some cases libevent has detached a request with an incomplete response from its connection. It must then be freed here.
auto Frontend::Impl::handleClosedConnection(evhttp_connection *connection) -> void
{
    writing.erase(connection);
    const auto found = byConnection.find(connection);
    if (found == byConnection.end()) {
        return;
    }
    const auto id = found->second;
    auto *request = exchanges.at(id).request;
    removeExchange(id);
    if (evhttp_request_get_connection(request) == nullptr) {
        evhttp_request_free(request);
    }
    callbacks.onCallerGone(id);
}

auto Frontend::Impl::handleBehind(evhttp_connection *connection, bool isBehind) -> void
{
    const auto found = byConnection.find(connection);
    if (found != byConnection.end() && callbacks.onCallerBehind) {
        callbacks.onCallerBehind(found->second, isBehind);
    }
}

auto Frontend::Impl::find(RequestId id) -> Exchange *
{
    const auto found = exchanges.find(id);
    return found == exchanges.end() ? nullptr : &found->second;
}

auto Frontend::Impl::addConnectionHeader(evhttp_request *request) const -> void
{
    if (closesAfterResponses) {
        addHeaders(request, { { "Connection", "close" } });
    }
}

auto Frontend::Impl::removeExchange(RequestId id) -> void
{
    const auto node = exchanges.extract(id);
    if (node) {
        byConnection.erase(node.mapped().connection);
    }
}

/// To be called before the response is handed to libevent, which may write it at once.
auto Frontend::Impl::watchWriting(evhttp_request *request) -> void
{
    auto *connection = evhttp_request_get_connection(request);
    writing.insert(connection);
    connections.beginSend(connection);
    evhttp_request_set_on_complete_cb(
        request, [](evhttp_request *written, void *context) { static_cast<Impl *>(context)->handleWritten(written); }, this);
}

/// libevent closes the connection next if a header of the response says so.
auto Frontend::Impl::handleWritten(evhttp_request *request) -> void
{
    auto *connection = evhttp_request_get_connection(request);
    writing.erase(connection);
    const auto *option = evhttp_find_header(evhttp_request_get_output_headers(request), "Connection");
    if (option != nullptr && http::isSameWord(option, "close")) {
        connections.linger(connection);
    }
    connections.endRequest(connection);
}

Frontend::Frontend(task::EventLoop &loop, memory::Account &account, std::size_t maxConnections, FrontendCallbacks callbacks)
    : impl_(std::make_unique<Impl>(loop, account, maxConnections, std::move(callbacks)))
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
    impl_->connections.watchListener(evhttp_bound_socket_get_listener(impl_->listener));
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
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(limits.idleTimeout + IdleTimeoutMargin);
    evhttp_set_timeout(server, static_cast<int>(seconds.count()));
    impl_->connections.setLimits(limits);
}

auto Frontend::closeAfterResponses() -> void
{
    impl_->closesAfterResponses = true;
}

auto Frontend::respond(RequestId request, BufferedResponse response) -> void
{
    auto *exchange = impl_->find(request);
    if (exchange == nullptr) {
        return;
    }
    auto *raw = exchange->request;
    impl_->removeExchange(request);
    addHeaders(raw, response.headers);
    impl_->addConnectionHeader(raw);
    impl_->watchWriting(raw);
    const auto body = makeBuffer(mayAnswerWithBody(raw, response.status) ? std::move(response.body) : std::string());
    evhttp_send_reply(raw, response.status, nullptr, body.get());
}

auto Frontend::beginStream(RequestId request, int status, const http::Headers &headers) -> void
{
    if (auto *exchange = impl_->find(request)) {
        addHeaders(exchange->request, headers);
        impl_->addConnectionHeader(exchange->request);
        impl_->connections.beginSend(exchange->connection);
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
    if (evbuffer_get_length(output) > MaxBacklogBytes) {
        abortResponse(request);
        impl_->callbacks.onCallerGone(request);
        return;
    }
    evhttp_send_reply_chunk(exchange->request, makeBuffer(bytes).get());
}

auto Frontend::endStream(RequestId request) -> void
{
    if (auto *exchange = impl_->find(request)) {
        auto *raw = exchange->request;
        impl_->removeExchange(request);
        impl_->watchWriting(raw);
        evhttp_send_reply_end(raw);
    }
}

auto Frontend::abortResponse(RequestId request) -> void
{
    if (auto *exchange = impl_->find(request)) {
        auto *connection = exchange->connection;
        impl_->removeExchange(request);
        evhttp_connection_free(connection);
    }
}

auto Frontend::openRequests() const -> std::size_t
{
    return impl_->exchanges.size();
}

auto Frontend::unwrittenResponses() const -> std::size_t
{
    return impl_->writing.size() + impl_->connections.lingering();
}

auto Frontend::connections() const -> std::size_t
{
    return impl_->connections.size();
}

auto Frontend::connectionCounts() const -> CallerConnectionCounts
{
    return impl_->connections.counts();
}

} // namespace auburnspread::gateway
