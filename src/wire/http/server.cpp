#include "wire/http/server.h"

#include "runtime/net/endpoint.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <nlohmann/json.hpp>

#include <cerrno>
#include <cstdlib>
#include <optional>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>
#include <utility>
#include <vector>

namespace auburnspread::http
{

namespace detail
{

/// The answer that one request waits for.
struct PendingReply {
    evhtp_request_t *raw = nullptr; ///< cleared when evhtp frees the request
    bool isPaused = false;
    bool closesConnection = false;
    std::function<void(evhtp_connection_t *)> closeLater; ///< ends a connection outside of evhtp's calls

    PendingReply() = default;
    ~PendingReply();
    PendingReply(const PendingReply &) = delete;
    auto operator=(const PendingReply &) -> PendingReply & = delete;

    auto send(int status, std::string_view contentType, std::string_view body, const Headers &headers) -> void;
    auto abort() -> void;
};

} // namespace detail

namespace
{

constexpr int NotFoundStatus = 404;
constexpr int MethodStatus = 405;
constexpr int InternalStatus = 500;
constexpr std::string_view JsonType = "application/json";

struct EvhtpDeleter {
    auto operator()(evhtp_t *raw) const -> void
    {
        evhtp_free(raw);
    }
};

auto addHeader(evhtp_request_t *raw, const std::string &name, const std::string &value) -> void
{
    constexpr char Copied = 1;
    evhtp_headers_add_header(raw->headers_out, evhtp_header_new(name.c_str(), value.c_str(), Copied, Copied));
}

auto decodePath(const char *encoded) -> std::string
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(encoded, 0, &size), std::free);
    return decoded ? std::string(decoded.get(), size) : std::string();
}

auto readQuery(const unsigned char *raw) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    evkeyvalq items{};
    if (raw == nullptr || evhttp_parse_query_str(reinterpret_cast<const char *>(raw), &items) != 0) {
        return query;
    }
    for (const auto *item = items.tqh_first; item != nullptr; item = item->next.tqe_next) {
        query.emplace(item->key, item->value);
    }
    evhttp_clear_headers(&items);
    return query;
}

auto takeHeader(evhtp_header_t *header, void *context) -> int
{
    static_cast<Headers *>(context)->push_back({ .name = { header->key, header->klen }, .value = { header->val, header->vlen } });
    return 0;
}

auto readRequest(evhtp_request_t *raw, Method method) -> IncomingRequest
{
    IncomingRequest request{ .method = method, .path = decodePath(raw->uri->path->full), .query = readQuery(raw->uri->query_raw) };
    evhtp_headers_for_each(raw->headers_in, takeHeader, &request.headers);
    request.body.resize(evbuffer_get_length(raw->buffer_in));
    evbuffer_copyout(raw->buffer_in, request.body.data(), request.body.size());
    request.peer = net::formatAddress(raw->conn->saddr);
    return request;
}

auto toMethod(htp_method method) -> std::optional<Method>
{
    switch (method) {
    case htp_method_GET:
        return Method::Get;
    case htp_method_PUT:
        return Method::Put;
    case htp_method_POST:
        return Method::Post;
    case htp_method_DELETE:
        return Method::Delete;
    default:
        return std::nullopt;
    }
}

enum class Phase {
    Idle,
    Reading,
    Answering,
};

/// One accepted connection.
struct Caller {
    evhtp_connection_t *raw = nullptr;
    Phase phase = Phase::Idle;
    std::size_t headerBytes = 0; ///< of the request that is being read
    bool closesAfterAnswer = false;
    task::Watch timer; ///< ends the connection if it stays idle or its request is not read in time
    std::weak_ptr<detail::PendingReply> pending;
};

// The answer goes straight to the socket, because evhtp closes the connection as soon as the hook has refused it.
auto sendTooLarge(evhtp_connection_t *connection) -> void
{
    constexpr std::string_view Answer = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    ::send(bufferevent_getfd(connection->bev), Answer.data(), Answer.size(), MSG_NOSIGNAL);
}

auto declaredLength(evhtp_headers_t *headers) -> unsigned long long
{
    const auto *text = evhtp_header_find(headers, "Content-Length");
    constexpr int Decimal = 10;
    return text == nullptr ? 0 : std::strtoull(text, nullptr, Decimal);
}

} // namespace

detail::PendingReply::~PendingReply()
{
    if (raw != nullptr) {
        send(InternalStatus, JsonType, R"({"error":"no answer"})", {});
    }
}

// libevhtp wants the answer to a paused request written first and the request resumed after it.
auto detail::PendingReply::send(int status, std::string_view contentType, std::string_view body, const Headers &headers) -> void
{
    auto *const target = std::exchange(raw, nullptr);
    if (target == nullptr) {
        return;
    }
    addHeader(target, "Content-Type", std::string(contentType));
    for (const auto &header : headers) {
        addHeader(target, header.name, header.value);
    }
    if (closesConnection) {
        evhtp_request_disable_flag(target, EVHTP_REQ_FLAG_KEEPALIVE); //! NOTE evhtp_request_set_keepalive(target, 0) would leave it set
    }
    evbuffer_add(target->buffer_out, body.data(), body.size());
    evhtp_send_reply(target, static_cast<evhtp_res>(status));
    if (isPaused) {
        evhtp_request_resume(target);
    }
}

auto detail::PendingReply::abort() -> void
{
    auto *const target = std::exchange(raw, nullptr);
    if (target != nullptr) {
        closeLater(target->conn);
    }
}

class Server::Impl
{
public:
    Impl(task::EventLoop &loop, const ServerOptions &options);
    ~Impl();
    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto route(const std::string &path, Handler handler) -> void;
    auto listen(const std::string &address) -> std::string;
    auto stop(std::function<void()> onStopped) -> void;
    [[nodiscard]] auto connectionCount() const -> std::size_t;

private:
    // libevhtp's hooks; the context is the server
    static auto onPreAccept(evhtp_connection_t *raw, void *context) -> evhtp_res;
    static auto onPostAccept(evhtp_connection_t *raw, void *context) -> evhtp_res;
    static auto onConnectionEnd(evhtp_connection_t *raw, void *context) -> evhtp_res;
    static auto onHeadersStart(evhtp_request_t *raw, void *context) -> evhtp_res;
    static auto onHeader(evhtp_request_t *raw, evhtp_header_t *header, void *context) -> evhtp_res;
    static auto onHeaders(evhtp_request_t *raw, evhtp_headers_t *headers, void *context) -> evhtp_res;
    static auto onRequestEnd(evhtp_request_t *raw, void *context) -> evhtp_res;
    static auto onRequest(evhtp_request_t *raw, void *context) -> void;
    static auto onWritten(evhtp_connection_t *raw, void *context) -> evhtp_res;

    auto dispatch(evhtp_request_t *raw, Caller &caller) -> void;
    [[nodiscard]] auto findHandler(const std::string &path) const -> const Handler *;
    auto limitPhase(Caller &caller, Phase phase, Duration limit) -> void;
    auto closeLater(evhtp_connection_t *raw) -> void;
    auto closeMarked() -> void;
    auto reportIfStopped() -> void;

    task::EventLoop &loop_;
    ServerOptions options_;
    std::unique_ptr<evhtp_t, EvhtpDeleter> raw_;
    std::map<std::string, Handler> routes_;
    std::map<evhtp_connection_t *, Caller> callers_;
    std::set<evhtp_connection_t *> marked_; ///< to be closed on the loop's next turn
    task::Watch closing_;
    bool isListening_ = false;
    bool isStopping_ = false;
    std::function<void()> onStopped_;
    task::Watch stopped_;
};

Server::Impl::Impl(task::EventLoop &loop, const ServerOptions &options)
    : loop_(loop)
    , options_(options)
    , raw_(evhtp_new(loop.base(), nullptr))
{
    evhtp_set_max_body_size(raw_.get(), options.bodyBytes);
    evhtp_set_pre_accept_cb(raw_.get(), onPreAccept, this);
    evhtp_set_post_accept_cb(raw_.get(), onPostAccept, this);
    evhtp_set_gencb(raw_.get(), onRequest, this);
}

Server::Impl::~Impl()
{
    if (isListening_) {
        evhtp_unbind_socket(raw_.get());
    }
    while (!callers_.empty()) {
        evhtp_connection_free(callers_.begin()->first);
    }
}

auto Server::Impl::route(const std::string &path, Handler handler) -> void
{
    routes_[path] = std::move(handler);
}

auto Server::Impl::listen(const std::string &address) -> std::string
{
    constexpr int Backlog = 128;
    const auto endpoint = net::parseEndpoint(address);
    if (!endpoint) {
        throw std::runtime_error("listen " + address + ": not an IP number and port");
    }
    auto target = net::toSocketAddress(*endpoint);
    errno = 0;
    if (evhtp_bind_sockaddr(raw_.get(), target.get(), target.size, Backlog) != 0) {
        throw std::system_error(errno, std::generic_category(), "listen " + address);
    }
    isListening_ = true;
    ::getsockname(evconnlistener_get_fd(raw_->server), target.get(), &target.size);
    return net::formatAddress(target.get());
}

auto Server::Impl::stop(std::function<void()> onStopped) -> void
{
    isStopping_ = true;
    onStopped_ = std::move(onStopped);
    if (std::exchange(isListening_, false)) {
        evhtp_unbind_socket(raw_.get());
    }
    for (auto &[raw, caller] : callers_) {
        if (caller.phase == Phase::Idle) {
            closeLater(raw);
        }
        caller.closesAfterAnswer = true;
        if (const auto pending = caller.pending.lock()) {
            pending->closesConnection = true;
        }
    }
    reportIfStopped();
}

auto Server::Impl::connectionCount() const -> std::size_t
{
    return callers_.size();
}

auto Server::Impl::onPreAccept(evhtp_connection_t * /*raw*/, void *context) -> evhtp_res
{
    const auto &self = *static_cast<Impl *>(context);
    return self.callers_.size() < self.options_.connections ? EVHTP_RES_OK : EVHTP_RES_ERROR;
}

auto Server::Impl::onPostAccept(evhtp_connection_t *raw, void *context) -> evhtp_res
{
    auto &self = *static_cast<Impl *>(context);
    auto &caller = self.callers_[raw];
    caller.raw = raw;
    const auto hook = [raw, context](evhtp_hook_type type, auto *function) {
        evhtp_connection_set_hook(raw, type, reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function)), context);
    };
    hook(evhtp_hook_on_connection_fini, onConnectionEnd);
    hook(evhtp_hook_on_headers_start, onHeadersStart);
    hook(evhtp_hook_on_header, onHeader);
    hook(evhtp_hook_on_headers, onHeaders);
    hook(evhtp_hook_on_request_fini, onRequestEnd);
    hook(evhtp_hook_on_write, onWritten);
    self.limitPhase(caller, Phase::Idle, self.options_.readTimeout);
    return EVHTP_RES_OK;
}

auto Server::Impl::onConnectionEnd(evhtp_connection_t *raw, void *context) -> evhtp_res
{
    auto &self = *static_cast<Impl *>(context);
    const auto found = self.callers_.find(raw);
    if (found != self.callers_.end()) {
        if (const auto pending = found->second.pending.lock()) {
            pending->raw = nullptr;
        }
        self.callers_.erase(found);
    }
    self.marked_.erase(raw);
    self.reportIfStopped();
    return EVHTP_RES_OK;
}

auto Server::Impl::onHeadersStart(evhtp_request_t *raw, void *context) -> evhtp_res
{
    auto &self = *static_cast<Impl *>(context);
    auto &caller = self.callers_.at(raw->conn);
    caller.headerBytes = 0;
    self.limitPhase(caller, Phase::Reading, self.options_.readTimeout);
    return EVHTP_RES_OK;
}

auto Server::Impl::onHeader(evhtp_request_t *raw, evhtp_header_t *header, void *context) -> evhtp_res
{
    auto &self = *static_cast<Impl *>(context);
    auto &caller = self.callers_.at(raw->conn);
    caller.headerBytes += header->klen + header->vlen;
    return caller.headerBytes <= self.options_.headerBytes ? EVHTP_RES_OK : EVHTP_RES_ERROR;
}

auto Server::Impl::onHeaders(evhtp_request_t *raw, evhtp_headers_t *headers, void *context) -> evhtp_res
{
    const auto &self = *static_cast<Impl *>(context);
    if (declaredLength(headers) <= self.options_.bodyBytes) {
        return EVHTP_RES_OK;
    }
    sendTooLarge(raw->conn);
    return EVHTP_RES_ERROR;
}

auto Server::Impl::onRequestEnd(evhtp_request_t *raw, void *context) -> evhtp_res
{
    auto &self = *static_cast<Impl *>(context);
    const auto found = self.callers_.find(raw->conn);
    if (found == self.callers_.end()) {
        return EVHTP_RES_OK;
    }
    const auto pending = found->second.pending.lock();
    if (pending && pending->raw == raw) {
        pending->raw = nullptr;
    }
    return EVHTP_RES_OK;
}

// libevhtp leaves a connection open that was paused for its answer, also if it is to close, until the next byte arrives.
// Its caller would wait for an end that never comes, so the end of the answer is noticed here.
auto Server::Impl::onWritten(evhtp_connection_t *raw, void *context) -> evhtp_res
{
    auto &self = *static_cast<Impl *>(context);
    auto &caller = self.callers_.at(raw);
    const auto pending = caller.pending.lock();
    const auto isAnswered = caller.phase == Phase::Answering && (!pending || pending->raw == nullptr);
    if (!isAnswered || evbuffer_get_length(bufferevent_get_output(raw->bev)) > 0) {
        return EVHTP_RES_OK;
    }
    self.limitPhase(caller, Phase::Idle, self.options_.idleTimeout);
    if (caller.closesAfterAnswer) {
        self.closeLater(raw);
    }
    return EVHTP_RES_OK;
}

auto Server::Impl::onRequest(evhtp_request_t *raw, void *context) -> void
{
    auto &self = *static_cast<Impl *>(context);
    const auto found = self.callers_.find(raw->conn);
    if (found != self.callers_.end()) {
        self.dispatch(raw, found->second);
    }
}

auto Server::Impl::dispatch(evhtp_request_t *raw, Caller &caller) -> void
{
    caller.phase = Phase::Answering;
    caller.timer = {};
    caller.closesAfterAnswer = isStopping_ || (raw->flags & EVHTP_REQ_FLAG_KEEPALIVE) == 0;
    const auto pending = std::make_shared<detail::PendingReply>();
    pending->raw = raw;
    pending->closesConnection = isStopping_;
    pending->closeLater = [this](evhtp_connection_t *connection) { closeLater(connection); };
    caller.pending = pending;
    const Replier replier(pending);

    const auto method = toMethod(raw->method);
    if (!method) {
        replier.replyError(MethodStatus, "unknown method");
        return;
    }
    const auto request = readRequest(raw, *method);
    const auto *handler = findHandler(request.path);
    if (handler == nullptr) {
        replier.replyError(NotFoundStatus, "unknown path " + request.path);
        return;
    }
    try {
        (*handler)(request, replier);
    } catch (const std::exception &exception) {
        replier.replyError(InternalStatus, exception.what());
    }
    // a request that waits for its answer must not be followed by the next one of the same connection
    if (pending->raw != nullptr || marked_.contains(raw->conn)) {
        pending->isPaused = true;
        evhtp_request_pause(raw);
    }
}

auto Server::Impl::findHandler(const std::string &path) const -> const Handler *
{
    const auto exact = routes_.find(path);
    if (exact != routes_.end()) {
        return &exact->second;
    }
    for (auto end = path.rfind('/'); end != std::string::npos; end = end == 0 ? std::string::npos : path.rfind('/', end - 1)) {
        const auto prefix = routes_.find(path.substr(0, end + 1));
        if (prefix != routes_.end()) {
            return &prefix->second;
        }
    }
    return nullptr;
}

// A caller that sends a byte now and then never lets a read timeout expire, so the limit spans the whole phase.
auto Server::Impl::limitPhase(Caller &caller, Phase phase, Duration limit) -> void
{
    caller.phase = phase;
    caller.timer = loop_.after(limit, [raw = caller.raw]() { evhtp_connection_free(raw); });
}

// Freeing a connection from within one of its own hooks would pull it from under libevhtp.
auto Server::Impl::closeLater(evhtp_connection_t *raw) -> void
{
    marked_.insert(raw);
    closing_ = loop_.after(Duration(0), [this]() { closeMarked(); });
}

auto Server::Impl::closeMarked() -> void
{
    while (!marked_.empty()) {
        evhtp_connection_free(*marked_.begin());
    }
}

auto Server::Impl::reportIfStopped() -> void
{
    if (isStopping_ && callers_.empty() && onStopped_) {
        stopped_ = loop_.after(Duration(0), [onStopped = std::exchange(onStopped_, nullptr)]() { onStopped(); });
    }
}

Replier::Replier(std::shared_ptr<detail::PendingReply> pending)
    : pending_(std::move(pending))
{
}

auto Replier::reply(int status, std::string_view contentType, std::string_view body, const Headers &headers) const -> void
{
    pending_->send(status, contentType, body, headers);
}

auto Replier::replyJson(int status, const nlohmann::json &body, const Headers &headers) const -> void
{
    reply(status, JsonType, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), headers);
}

auto Replier::replyError(int status, std::string_view text) const -> void
{
    replyJson(status, { { "error", text } });
}

auto Replier::abort() const -> void
{
    pending_->abort();
}

auto Replier::isOpen() const -> bool
{
    return pending_->raw != nullptr;
}

Server::Server(task::EventLoop &loop, ServerOptions options)
    : impl_(std::make_unique<Impl>(loop, options))
{
}

Server::~Server() = default;

auto Server::route(const std::string &path, Handler handler) -> void
{
    impl_->route(path, std::move(handler));
}

auto Server::listen(const std::string &address) -> std::string
{
    return impl_->listen(address);
}

auto Server::stop(std::function<void()> onStopped) -> void
{
    impl_->stop(std::move(onStopped));
}

auto Server::connectionCount() const -> std::size_t
{
    return impl_->connectionCount();
}

} // namespace auburnspread::http
