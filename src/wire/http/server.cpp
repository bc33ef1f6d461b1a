#include "wire/http/server.h"

#include "runtime/logging/logging.h"
#include "runtime/net/endpoint.h"
#include "wire/http/acceptpause.h"
#include "wire/http/heldconnection.h"
#include "wire/http/internal/pendingreply.h"
#include "wire/http/internal/requestreader.h"
#include "wire/http/lastresponse.h"
#include "wire/http/lingeringclose.h"
#include "wire/http/wholefirstline.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnspread::http
{

namespace
{

constexpr int NotFoundStatus = 404;
constexpr int MethodStatus = 405;
constexpr int InternalStatus = 500;

/// Of a connection that is not read, as a whole request need not lie there.
constexpr std::size_t MaxInputBytes = std::size_t{ 64 } * 1024;
/// Answers that a caller has not read. It gets no further one, and its connection is closed.
constexpr std::size_t MaxUnsentBytes = std::size_t{ 64 } * 1024;

struct EvhtpDeleter {
    auto operator()(evhtp_t *raw) const -> void
    {
        evhtp_free(raw);
    }
};

enum class Phase {
    Idle,
    Reading,
    Answering, ///< the handler works
    Sending,
};

/// One accepted connection.
struct Caller {
    evhtp_connection_t *raw = nullptr;
    Phase phase = Phase::Idle;
    std::size_t headerBytes = 0; ///< of the request that is being read
    bool closesAfterAnswer = false;
    bool isAnswered = false; ///< and to be closed
    TimePoint phaseBeganAt;
    task::Watch timer; ///< ends the connection if it stays idle or its request is not read in time
    std::unique_ptr<HeldConnection> held;
    std::weak_ptr<detail::PendingReply> pending;
};

auto makeTooLargeAnswer() -> LastResponse
{
    constexpr int Status = 413;
    return { .status = Status, .phrase = "Content Too Large" };
}

auto makeNoRoomAnswer() -> LastResponse
{
    constexpr int Status = 503;
    return { .status = Status, .phrase = "Service Unavailable", .headers = { { .name = "Retry-After", .value = "1" } } };
}

} // namespace

class Server::Impl
{
public:
    Impl(task::EventLoop &loop, const ServerOptions &options, memory::Account *account);
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
    static auto closeForMemory(Caller &caller) -> void;
    auto makeRoom() -> bool;
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
    std::unique_ptr<memory::Account> ownAccount_;
    memory::Account *account_;
    AcceptPause acceptPause_;
    LingeringClose lingering_; ///< answered connections whose callers have not closed them
    bool isListening_ = false;
    bool isStopping_ = false;
    std::function<void()> onStopped_;
    task::Watch stopped_;
};

Server::Impl::Impl(task::EventLoop &loop, const ServerOptions &options, memory::Account *account)
    : loop_(loop)
    , options_(options)
    , raw_(evhtp_new(loop.base(), nullptr))
    , ownAccount_(account == nullptr ? std::make_unique<memory::Account>(loop, memory::limitsOf(memory::SmallestVmBytes)) : nullptr)
    , account_(account == nullptr ? ownAccount_.get() : account)
    , acceptPause_(loop, [this]() { return makeRoom(); })
    , lingering_(loop, [this]() { reportIfStopped(); })
{
    // an answer in several segments would wait for the acknowledgement of the first, which the other end delays by 40 ms
    evhtp_enable_flag(raw_.get(), EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_max_body_size(raw_.get(), options.bodyBytes);
    evhtp_set_pre_accept_cb(raw_.get(), onPreAccept, this);
    evhtp_set_post_accept_cb(raw_.get(), onPostAccept, this);
    evhtp_set_gencb(raw_.get(), onRequest, this);
}

Server::Impl::~Impl()
{
    acceptPause_.watch(nullptr);
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
    const auto descriptor = evconnlistener_get_fd(raw_->server);
    boundSocketBuffers(descriptor);
    acceptPause_.watch(raw_->server);
    ::getsockname(descriptor, target.get(), &target.size);
    return net::formatAddress(target.get());
}

auto Server::Impl::stop(std::function<void()> onStopped) -> void
{
    isStopping_ = true;
    onStopped_ = std::move(onStopped);
    if (std::exchange(isListening_, false)) {
        acceptPause_.watch(nullptr);
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
    auto &self = *static_cast<Impl *>(context);
    return self.callers_.size() < self.options_.connections || self.makeRoom() ? EVHTP_RES_OK : EVHTP_RES_ERROR;
}

auto Server::Impl::onPostAccept(evhtp_connection_t *raw, void *context) -> evhtp_res
{
    auto &self = *static_cast<Impl *>(context);
    readWholeFirstLines(raw);
    auto &caller = self.callers_[raw];
    caller.raw = raw;
    caller.held = std::make_unique<HeldConnection>(raw->bev,
                                                   *self.account_,
                                                   HeldConnectionLimits{ .requestBytes = self.options_.headerBytes + self.options_.bodyBytes,
                                                                         .inputBytes = MaxInputBytes,
                                                                         .readAheadBytes = MaxInputBytes,
                                                                         .memoryPerByte = EvhtpMemoryPerByte },
                                                   HeldConnectionCallbacks{ .close = [&caller](memory::CloseCause) { closeForMemory(caller); } });
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
        if (found->second.isAnswered) {
            self.lingering_.add(bufferevent_getfd(raw->bev));
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
    if (detail::declaredLength(headers) <= self.options_.bodyBytes) {
        return EVHTP_RES_OK;
    }
    sendLastResponse(bufferevent_getfd(raw->conn->bev), makeTooLargeAnswer());
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
    if (caller.phase != Phase::Sending || evbuffer_get_length(bufferevent_get_output(raw->bev)) > 0) {
        return EVHTP_RES_OK;
    }
    self.limitPhase(caller, Phase::Idle, self.options_.idleTimeout);
    // Of requests sent together libevhtp takes one or two and forgets the rest until another byte comes. Their caller would wait
    // in silence; the end of the connection tells it that they were not run.
    const auto hasForgotten = evbuffer_get_length(bufferevent_get_input(raw->bev)) > 0;
    if (caller.closesAfterAnswer || hasForgotten) {
        caller.isAnswered = true;
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
    if (evbuffer_get_length(bufferevent_get_output(raw->conn->bev)) > MaxUnsentBytes) {
        evhtp_request_pause(raw); // no further request of it is taken
        closeLater(raw->conn);
        return;
    }
    caller.phase = Phase::Answering;
    caller.timer = {};
    caller.held->beginWork();
    caller.closesAfterAnswer = isStopping_ || (raw->flags & EVHTP_REQ_FLAG_KEEPALIVE) == 0;
    const auto pending = std::make_shared<detail::PendingReply>();
    pending->raw = raw;
    pending->closesConnection = isStopping_;
    pending->onSent = [this](evhtp_connection_t *connection) { limitPhase(callers_.at(connection), Phase::Sending, options_.sendTimeout); };
    pending->closeLater = [this](evhtp_connection_t *connection) { closeLater(connection); };
    caller.pending = pending;
    const Replier replier(pending);

    const auto method = detail::toMethod(raw->method);
    if (!method) {
        replier.replyError(MethodStatus, "unknown method");
        return;
    }
    const auto request = detail::readRequest(raw, *method);
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
    caller.phaseBeganAt = task::monotonicNow();
    if (phase == Phase::Sending) {
        caller.held->beginResponse();
    } else if (phase == Phase::Idle) {
        caller.held->endRequest();
    }
    caller.timer = loop_.after(limit, [raw = caller.raw]() { evhtp_connection_free(raw); });
}

auto Server::Impl::closeForMemory(Caller &caller) -> void
{
    if (caller.phase == Phase::Reading) {
        caller.isAnswered = sendLastResponse(bufferevent_getfd(caller.raw->bev), makeNoRoomAnswer());
    }
    evhtp_connection_free(caller.raw);
}

/// Closes the connection that has been idle for longest, or else the one whose request has been arriving for longest.
auto Server::Impl::makeRoom() -> bool
{
    const auto rank = [](const Caller &caller) {
        const auto isSpared = caller.phase == Phase::Answering || caller.phase == Phase::Sending;
        return std::tuple(isSpared, caller.phase != Phase::Idle, caller.phaseBeganAt);
    };
    const auto found = std::min_element(callers_.begin(), callers_.end(), [rank](const auto &a, const auto &b) { return rank(a.second) < rank(b.second); });
    if (found == callers_.end() || std::get<0>(rank(found->second))) {
        return false;
    }
    logging::event(logging::Level::Warning,
                   "connection-closed-for-another",
                   { { "peer", "caller " + peerOf(found->first->bev) }, { "connections", callers_.size() }, { "limit", options_.connections } });
    evhtp_connection_free(found->first);
    return true;
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
    if (isStopping_ && callers_.empty() && lingering_.size() == 0 && onStopped_) {
        stopped_ = loop_.after(Duration(0), [onStopped = std::exchange(onStopped_, nullptr)]() { onStopped(); });
    }
}

Server::Server(task::EventLoop &loop, ServerOptions options, memory::Account *account)
    : impl_(std::make_unique<Impl>(loop, options, account))
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
