#include "gateway/upstream.h"

#include "gateway/clock.h"
#include "gateway/eventsplitter.h"
#include "platform/callerrequest.h"
#include "runtime/net/endpoint.h"
#include "wire/http/connectionpool.h"
#include "wire/http/evhttpheaders.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspread::gateway
{

namespace
{

constexpr int RequestTimeoutStatus = 408;
constexpr int MisdirectedStatus = 421;
constexpr int LimitedStatus = 429;
constexpr int UnavailableStatus = 503;
constexpr int FirstSuccessStatus = 200;
constexpr int FirstRedirectStatus = 300;

/// A connection on one network segment stands within a millisecond; a lost first packet is sent again after a second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// Attempts have time limits of their own, so the library's must never come first.
constexpr int LibraryTimeoutSeconds = 86'400;
/// Engines close idle connections after some seconds and say so; without a word this is the bound.
constexpr Duration IdleAge = std::chrono::seconds(4);
constexpr std::size_t IdlePerServer = 32;
constexpr std::size_t MostHeaderBytes = 65'536;
constexpr std::size_t MostBodyBytes = std::size_t{ 16 } * 1024 * 1024;

struct Attempt {
    AttemptId id{};
    std::string callerId;
    std::string server;
    bool isStream = false;
    std::unique_ptr<http::Connection> connection;
    adapter::AnswerHead head;
    WholeAnswer whole; ///< head of any answer, body of one that is not relayed as a stream
    EventSplitter splitter;
    bool headSeen = false;
    bool relays = false;            ///< the answer is a stream
    bool relayed = false;           ///< some of it was passed on
    bool over = false;              ///< calls back no more, or not yet
    std::optional<Failure> verdict; ///< why the answer can't be used, known before its end
    TimePoint connectBy;
    TimePoint startBy;  ///< not set: no bound
    TimePoint silentBy; ///< not set: no bound
    Duration silence{};
};

/// Not set for a timeout of 0.
auto boundAfter(Duration timeout) -> TimePoint
{
    return timeout == Duration::zero() ? TimePoint() : now() + timeout;
}

auto isSuccess(int status) -> bool
{
    return status >= FirstSuccessStatus && status < FirstRedirectStatus;
}

/// Statuses that promise the caller that nothing ran. Only the backend server itself can know.
auto promisesNotRun(int status) -> bool
{
    return status == RequestTimeoutStatus || status == MisdirectedStatus || status == LimitedStatus || status == UnavailableStatus;
}

/// Why an answer with this head can't be the caller's; nothing if it can.
///
/// Failure: an answer of another request, a late one or one that was spoilt on the way arrives where ours is due.
/// Symptom: a caller reads another's quote. Only an answer that names our attempt and, if it is a success, carries the
/// backend server's signature and no further encoding passes.
auto judgeHead(const Attempt &attempt) -> std::optional<Failure>
{
    const auto status = attempt.whole.status;
    if (attempt.head.isOthers) {
        return Failure::WrongAttempt;
    }
    if (attempt.head.wrongServer) {
        return Failure::WrongServer;
    }
    if (promisesNotRun(status)) {
        return attempt.head.notRun ? Failure::NotStarted : Failure::BadResponse;
    }
    if (isSuccess(status) && (!attempt.head.isSigned || !http::findHeader(attempt.whole.headers, "Content-Encoding").empty())) {
        return Failure::BadResponse;
    }
    return std::nullopt;
}

/// Whether the head says at which rate the server takes requests. Only a proper success says so by naming none: errors may come from
/// something before the server.
auto saysLimit(const Attempt &attempt) -> bool
{
    if (attempt.head.perSecond) {
        return !attempt.verdict || attempt.verdict == Failure::NotStarted;
    }
    return !attempt.verdict && isSuccess(attempt.whole.status) && !attempt.head.isLimitUnreadable;
}

auto takeBytes(evbuffer *buffer) -> std::string
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

auto transportOf(const http::Connection &connection) -> bufferevent *
{
    return evhttp_connection_get_bufferevent(connection.raw.get());
}

} // namespace

class Upstream::Impl
{
public:
    Impl(task::EventLoop &eventLoop, UpstreamCallbacks upstreamCallbacks)
        : loop(eventLoop)
        , callbacks(std::move(upstreamCallbacks))
        , pool(eventLoop, { .idleAge = IdleAge, .idlePerAddress = IdlePerServer, .headerBytes = MostHeaderBytes, .bodyBytes = MostBodyBytes })
    {
    }

    auto start(Attempt &attempt, const passthrough::Send &order, const Payload &payload) -> bool;
    auto takeHead(Attempt &attempt, evhttp_request *request) -> void;
    auto takeBody(Attempt &attempt, evhttp_request *request) -> void;
    auto relay(Attempt &attempt, const std::string &events) -> void;
    auto takeDone(AttemptId id, evhttp_request *request) -> void;
    auto takeEnd(Attempt &attempt) -> void;
    auto fail(Attempt &attempt, Failure failure) -> void;
    auto close(Attempt &attempt, bool mayKeep) -> void;
    auto failureOfBreak(const Attempt &attempt) const -> Failure;

    task::EventLoop &loop;
    UpstreamCallbacks callbacks;
    http::ConnectionPool pool;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts;
    std::vector<AttemptId> stillborn; ///< could not be started; failed on the loop's next turn
    task::Watch stillbornTimer;
};

namespace
{

/// evhttp's callbacks find their attempt through this. The connection owns it, because the library may drop a request
/// without a last callback.
struct RequestContext {
    std::function<void(evhttp_request *request)> onHead;
    std::function<void(evhttp_request *request)> onBody;
    std::function<void(evhttp_request *request)> onDone;
    std::function<void(evhttp_request_error error)> onError;
};

auto contextOf(void *context) -> RequestContext &
{
    return *static_cast<RequestContext *>(context);
}

auto onHeadCallback(evhttp_request *request, void *context) -> int
{
    contextOf(context).onHead(request);
    return 0;
}

auto onBodyCallback(evhttp_request *request, void *context) -> void
{
    contextOf(context).onBody(request);
}

auto onDoneCallback(evhttp_request *request, void *context) -> void
{
    // a copy: the call may begin the connection's next exchange, which ends this context
    const auto onDone = contextOf(context).onDone;
    onDone(request);
}

auto onErrorCallback(evhttp_request_error error, void *context) -> void
{
    contextOf(context).onError(error);
}

} // namespace

/// \return false if the attempt could not be started
auto Upstream::Impl::start(Attempt &attempt, const passthrough::Send &order, const Payload &payload) -> bool
{
    const auto endpoint = net::parseEndpoint(order.address);
    if (!endpoint) {
        return false;
    }
    attempt.connection = pool.take(order.server, *endpoint, false);
    evhttp_connection_set_timeout(attempt.connection->raw.get(), LibraryTimeoutSeconds);
    const auto id = attempt.id;
    const auto whenKnown = [this, id](auto action) {
        const auto found = attempts.find(id);
        if (found != attempts.end() && !found->second->over) {
            action(*found->second);
        }
    };
    const auto context = std::make_shared<RequestContext>(RequestContext{
        .onHead = [this, whenKnown](evhttp_request *request) { whenKnown([&](Attempt &known) { takeHead(known, request); }); },
        .onBody = [this, whenKnown](evhttp_request *request) { whenKnown([&](Attempt &known) { takeBody(known, request); }); },
        .onDone = [this, id](evhttp_request *request) { takeDone(id, request); },
        .onError =
            [whenKnown](evhttp_request_error error) {
                whenKnown([&](Attempt &known) {
                    if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG) {
                        known.verdict = Failure::BadResponse;
                    }
                });
            },
    });
    attempt.connection->context = context;
    auto *request = evhttp_request_new(onDoneCallback, context.get());
    evhttp_request_set_header_cb(request, onHeadCallback);
    evhttp_request_set_chunked_cb(request, onBodyCallback);
    evhttp_request_set_error_cb(request, onErrorCallback);
    auto *headers = evhttp_request_get_output_headers(request);
    const auto encoded = adapter::encodeAttemptHeaders(payload.headers,
                                                       {
                                                           .server = order.server,
                                                           .workspace = order.workspace,
                                                           .rank = order.rank,
                                                           .remaining = order.remaining,
                                                           .lastEventId = order.lastEventId,
                                                           .fetchFrom = order.fetchFrom,
                                                       });
    for (const auto &header : encoded) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), payload.body.data(), payload.body.size());
    return evhttp_make_request(attempt.connection->raw.get(), request, payload.method, payload.target.c_str()) == 0;
}

auto Upstream::Impl::takeHead(Attempt &attempt, evhttp_request *request) -> void
{
    attempt.headSeen = true;
    attempt.whole.status = evhttp_request_get_response_code(request);
    attempt.whole.headers = http::readHeaders(evhttp_request_get_input_headers(request));
    attempt.head = adapter::decodeAnswerHead(attempt.whole.status, attempt.whole.headers, attempt.callerId);
    attempt.verdict = judgeHead(attempt);
    attempt.relays = attempt.isStream && isSuccess(attempt.whole.status) && !attempt.verdict;
    attempt.silentBy = boundAfter(attempt.silence);
    if (saysLimit(attempt)) {
        callbacks.onLimit(attempt.id, attempt.head.perSecond);
    }
    if (!attempt.relays && !attempt.verdict) {
        callbacks.onStarted(attempt.id, false);
    }
}

auto Upstream::Impl::takeBody(Attempt &attempt, evhttp_request *request) -> void
{
    auto bytes = takeBytes(evhttp_request_get_input_buffer(request));
    if (attempt.verdict) {
        return;
    }
    if (!attempt.relays) {
        attempt.whole.body += bytes;
        return;
    }
    const auto id = attempt.id;
    relay(attempt, attempt.splitter.feed(bytes));
    const auto known = attempts.find(id); // relaying may find that the caller has gone, which ends the attempt
    if (known != attempts.end() && known->second->splitter.isTooLong()) {
        fail(*known->second, Failure::BadResponse);
    }
}

auto Upstream::Impl::relay(Attempt &attempt, const std::string &events) -> void
{
    if (events.empty()) {
        return;
    }
    attempt.silentBy = boundAfter(attempt.silence);
    if (!std::exchange(attempt.relayed, true)) {
        callbacks.onStarted(attempt.id, true);
        callbacks.onStreamBegun(attempt.id, attempt.whole.status, adapter::encodeAnswerHeaders(attempt.whole.headers));
    }
    callbacks.onEvents(attempt.id, events);
}

auto Upstream::Impl::takeDone(AttemptId id, evhttp_request *request) -> void
{
    const auto found = attempts.find(id);
    if (found == attempts.end() || found->second->over) {
        return;
    }
    auto &attempt = *found->second;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        fail(attempt, attempt.verdict.value_or(failureOfBreak(attempt)));
        return;
    }
    if (attempt.verdict) {
        fail(attempt, *attempt.verdict);
        return;
    }
    takeEnd(attempt);
}

auto Upstream::Impl::takeEnd(Attempt &attempt) -> void
{
    const auto id = attempt.id;
    if (!attempt.relays || !attempt.relayed) {
        attempt.whole.body += attempt.splitter.takeRest();
        attempt.whole.headers = adapter::encodeAnswerHeaders(attempt.whole.headers);
        auto answer = std::move(attempt.whole);
        close(attempt, true);
        callbacks.onAnswer(id, std::move(answer));
        return;
    }
    const auto rest = attempt.splitter.takeRest();
    close(attempt, true);
    if (!rest.empty()) {
        callbacks.onEvents(id, rest);
    }
    callbacks.onStreamEnded(id);
}

auto Upstream::Impl::failureOfBreak(const Attempt &attempt) const -> Failure
{
    if (attempt.connection && !attempt.connection->hasSent) {
        return Failure::ConnectFailed;
    }
    return attempt.headSeen ? Failure::BrokenStream : Failure::BrokenBeforeFirstByte;
}

auto Upstream::Impl::fail(Attempt &attempt, Failure failure) -> void
{
    const auto id = attempt.id;
    const AttemptFailure report{
        .failure = failure,
        .status = attempt.whole.status,
        .relayed = attempt.relayed,
        .lastEventId = attempt.splitter.lastEventId(),
    };
    // a whole refusal leaves the connection in order
    close(attempt, failure == Failure::NotStarted || failure == Failure::WrongServer);
    callbacks.onFailed(id, report);
}

/// Failure: bytes follow a complete answer, or an answer came before its request was sent to the end. Symptom: the next
/// request on the connection gets them as its answer, or the server reads a request where the rest of a body is due. A
/// connection is kept only if nothing is left in either direction.
auto Upstream::Impl::close(Attempt &attempt, bool mayKeep) -> void
{
    attempt.over = true;
    auto connection = std::move(attempt.connection);
    if (connection) {
        auto *transport = transportOf(*connection);
        const auto isClean = evbuffer_get_length(bufferevent_get_input(transport)) == 0 && evbuffer_get_length(bufferevent_get_output(transport)) == 0;
        connection->idleTime = attempt.head.idleTime;
        if (mayKeep && isClean && !attempt.head.closes && attempt.headSeen) {
            pool.keep(std::move(connection));
        } else {
            pool.retire(std::move(connection));
        }
    }
    attempts.erase(attempt.id);
}

Upstream::Upstream(task::EventLoop &loop, UpstreamCallbacks callbacks)
    : impl_(std::make_unique<Impl>(loop, std::move(callbacks)))
{
}

Upstream::~Upstream()
{
    for (auto &[id, attempt] : impl_->attempts) {
        attempt->over = true;
    }
}

auto Upstream::send(const passthrough::Send &order, const PayloadPointer &payload, const std::string &callerId) -> void
{
    auto &impl = *impl_;
    auto &slot = impl.attempts[order.attempt];
    slot = std::make_unique<Attempt>();
    auto &attempt = *slot;
    attempt.id = order.attempt;
    attempt.callerId = callerId;
    attempt.server = order.server;
    attempt.isStream = order.isStream;
    attempt.connectBy = now() + ConnectTimeout;
    attempt.startBy = boundAfter(order.startTimeout);
    attempt.silence = order.silenceTimeout;
    attempt.over = true; // while it starts: a connect that fails at once calls back from within
    const auto started = impl.start(attempt, order, *payload);
    attempt.over = false;
    const auto isOpen = started && attempt.connection && bufferevent_getfd(transportOf(*attempt.connection)) >= 0;
    if (!isOpen) {
        impl.stillborn.push_back(order.attempt);
        impl.stillbornTimer = impl.loop.after(Duration::zero(), [&impl]() {
            for (const auto id : std::exchange(impl.stillborn, {})) {
                const auto found = impl.attempts.find(id);
                if (found != impl.attempts.end()) {
                    impl.fail(*found->second, Failure::ConnectFailed);
                }
            }
        });
    }
}

auto Upstream::cancel(AttemptId attempt) -> void
{
    const auto found = impl_->attempts.find(attempt);
    if (found != impl_->attempts.end()) {
        impl_->close(*found->second, false);
    }
}

auto Upstream::sweep(TimePoint now) -> void
{
    std::vector<std::pair<AttemptId, Failure>> late;
    for (const auto &[id, attempt] : impl_->attempts) {
        const auto isConnecting = attempt->connection && !attempt->connection->hasSent;
        const auto isPast = [now](TimePoint bound) { return bound != TimePoint() && now >= bound; };
        if (isConnecting && isPast(attempt->connectBy)) {
            late.emplace_back(id, Failure::ConnectFailed);
        } else if (!attempt->headSeen && isPast(attempt->startBy)) {
            late.emplace_back(id, Failure::FirstTokenTimeout);
        } else if (attempt->headSeen && isPast(attempt->silentBy)) {
            late.emplace_back(id, Failure::ProgressTimeout);
        }
    }
    for (const auto &[id, failure] : late) {
        const auto found = impl_->attempts.find(id);
        if (found != impl_->attempts.end()) {
            //! NOTE what struck one connection may have struck the idle ones to the same server
            impl_->pool.closeIdle(found->second->server);
            impl_->fail(*found->second, failure);
        }
    }
}

auto Upstream::closeIdle(const std::string &server) -> void
{
    impl_->pool.closeIdle(server);
}

auto Upstream::attempts() const -> std::size_t
{
    return impl_->attempts.size();
}

} // namespace auburnspread::gateway
