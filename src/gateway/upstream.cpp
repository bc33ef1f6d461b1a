#include "gateway/upstream.h"

#include "gateway/clock.h"
#include "gateway/eventsplitter.h"
#include "gateway/forwardmark.h"
#include "gateway/refusalanswer.h"
#include "platform/callerrequest.h"
#include "runtime/net/endpoint.h"
#include "wire/http/connectionpool.h"
#include "wire/http/evhttpheaders.h"
#include "wire/http/heldconnection.h"
#include "wire/http/sendrequest.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <sys/ioctl.h>

#include <algorithm>
#include <memory>
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
constexpr int FirstFinalStatus = 200;
constexpr int FirstSuccessStatus = 200;
constexpr int FirstRedirectStatus = 300;

/// Attempts have their own timeouts, so libevent's must never expire first.
constexpr int LibraryTimeoutSeconds = 86'400;
/// Idle connections are closed after this time if the server did not announce its idle timeout, which is some seconds for
/// engines.
constexpr Duration MaxIdleAge = std::chrono::seconds(4);
constexpr std::size_t MaxIdlePerServer = 32;
/// Interval at which an attempt is reported as silent while its server sends nothing.
constexpr Duration SilenceReportInterval = std::chrono::milliseconds(100);
/// A pause of this length between two reviews shows that this process did not run.
constexpr Duration MinOwnPause = std::chrono::milliseconds(200);
constexpr std::size_t MaxHeaderBytes = 65'536;
/// Of a relayed stream: some of the longest events.
constexpr std::size_t MaxStreamChunkBytes = std::size_t{ 1024 } * 1024;
constexpr std::size_t MaxBodyBytes = std::size_t{ 16 } * 1024 * 1024;

struct Attempt {
    AttemptId id{};
    std::string callerId;
    std::string server;
    bool isStream = false;
    bool isForwarded = false; ///< goes to another entry instead of a backend server
    bool isAtMostOnce = false;
    std::unique_ptr<http::Connection> connection;
    adapter::AnswerHead head;
    BufferedResponse response; ///< head of the response, and its body if it is not relayed as a stream
    EventSplitter splitter;
    http::Framing framing{};
    bool headReceived = false;
    bool isComplete = false;          ///< the response was received to its end
    bool isRelayed = false;           ///< the response is relayed event by event
    bool relayStarted = false;        ///< some of its events were relayed
    bool ignoresCallbacks = false;    ///< callbacks of libevent are ignored while the attempt starts and after it has ended
    std::optional<Failure> rejection; ///< why the response can't be used, known before its end
    TimePoint connectDeadline;
    TimePoint firstByteDeadline; ///< default value: none
    TimePoint progressDeadline;  ///< default value: none
    Duration progressTimeout{};
    TimePoint lastProgressAt; ///< when it was sent, or its response went on
    bool isSilent = false;    ///< its silence was reported
    memory::Share share;
    std::size_t bodyLimit = 0;      ///< bytes of the response's body at the most
    bool isPausedForCaller = false; ///< the caller has not read what was relayed
    bool isPausedForMemory = false;
};

auto isPaused(const Attempt &attempt) -> bool
{
    return attempt.isPausedForCaller || attempt.isPausedForMemory;
}

/// \return the default value, which means no deadline, for a timeout of 0
auto deadlineAfter(Duration timeout) -> TimePoint
{
    return timeout == Duration::zero() ? TimePoint() : now() + timeout;
}

auto hasPassed(TimePoint deadline, TimePoint now) -> bool
{
    return deadline != TimePoint() && now >= deadline;
}

auto extend(TimePoint &deadline, Duration pause) -> void
{
    if (deadline != TimePoint()) {
        deadline += pause;
    }
}

auto isSuccess(int status) -> bool
{
    return status >= FirstSuccessStatus && status < FirstRedirectStatus;
}

/// Statuses that tell the caller that the request was not executed. Only the backend server itself can know this.
auto claimsNotExecuted(int status) -> bool
{
    return status == RequestTimeoutStatus || status == MisdirectedStatus || status == LimitedStatus || status == UnavailableStatus;
}

auto bodyEndOf(const Attempt &attempt) -> BodyEnd
{
    return { .framing = attempt.framing, .partialEventBytes = attempt.splitter.pendingBytes() };
}

/// \return why a response with this head must not be passed on to the caller; nothing if it may
///
/// A response to another request, a late one or a corrupted one can arrive in place of the expected one, and the caller would
/// read another caller's data. A response is accepted only if it names this attempt and, if it is a success, carries the
/// backend server's signature and no additional content encoding.
auto checkResponseHead(const Attempt &attempt) -> std::optional<Failure>
{
    const auto status = attempt.response.status;
    if (status < FirstFinalStatus) {
        return Failure::BadResponse; // none was asked for, and they could go on without end
    }
    if (!http::isFramingClear(attempt.response.headers)) {
        return Failure::BadResponse;
    }
    if (attempt.head.isOthers) {
        return Failure::WrongAttempt;
    }
    if (attempt.isForwarded && !http::findHeader(attempt.response.headers, ReasonHeader).empty()) {
        return std::nullopt; // the other entry knows that the request did not run
    }
    if (attempt.head.wrongServer) {
        return Failure::WrongServer;
    }
    if (claimsNotExecuted(status)) {
        return attempt.head.notRun ? Failure::NotStarted : Failure::BadResponse;
    }
    if (isSuccess(status) && (!attempt.head.isSigned || !http::findHeader(attempt.response.headers, "Content-Encoding").empty())) {
        return Failure::BadResponse;
    }
    return std::nullopt;
}

/// Whether the head tells the server's rate limit. The absence of a limit counts only in a valid success, because an error
/// response may come from an intermediary.
auto carriesRateLimit(const Attempt &attempt) -> bool
{
    if (attempt.head.perSecond) {
        return !attempt.rejection || attempt.rejection == Failure::NotStarted;
    }
    return !attempt.rejection && isSuccess(attempt.response.status) && !attempt.head.isLimitUnreadable;
}

/// The same for the rejections that the server bears.
auto carriesBrittleness(const Attempt &attempt) -> bool
{
    if (attempt.head.rejectionsPerSecond) {
        return !attempt.rejection || attempt.rejection == Failure::NotStarted;
    }
    return !attempt.rejection && isSuccess(attempt.response.status) && !attempt.head.isBrittlenessUnreadable;
}

/// Whether the head states something about the availability of the attempt's server. That is independent of the request, so it also
/// counts in a response to an earlier request on the connection, but not if another server has the address.
auto carriesNotice(const Attempt &attempt) -> bool
{
    return !attempt.head.wrongServer && passthrough::isNotice(attempt.head.notice);
}

/// Whether the response broke off although the end of its connection is also a regular end. Only an event stream shows it: a
/// complete one has events and ends with one.
auto endsTooEarly(const Attempt &attempt) -> bool
{
    const auto contentType = http::findHeader(attempt.response.headers, "Content-Type");
    const auto mayBeEventStream = contentType.empty() || http::isEventStream(contentType);
    return attempt.isRelayed && attempt.framing == http::Framing::ConnectionEnd && mayBeEventStream && !attempt.splitter.endsWithEvent();
}

auto drainBuffer(evbuffer *buffer) -> std::string
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

auto transportOf(const http::Connection &connection) -> bufferevent *
{
    return evhttp_connection_get_bufferevent(connection.raw.get());
}

/// \return the timeout of the attempt that has passed, if any
auto passedTimeout(const Attempt &attempt, TimePoint now) -> std::optional<Failure>
{
    const auto isConnecting = attempt.connection && !attempt.connection->hasSent;
    if (isConnecting && hasPassed(attempt.connectDeadline, now)) {
        return Failure::ConnectFailed;
    }
    if (isPaused(attempt)) {
        return std::nullopt;
    }
    if (attempt.headReceived) {
        return hasPassed(attempt.progressDeadline, now) ? std::optional(Failure::ProgressTimeout) : std::nullopt;
    }
    return hasPassed(attempt.firstByteDeadline, now) ? std::optional(Failure::FirstTokenTimeout) : std::nullopt;
}

/// A body that grows by itself holds up to twice its size.
auto appendBody(Attempt &attempt, const std::string &bytes) -> void
{
    auto &body = attempt.response.body;
    constexpr std::size_t LargeBytes = std::size_t{ 64 } * 1024;
    if (body.empty() && attempt.bodyLimit > LargeBytes && attempt.framing == http::Framing::Length) {
        body.reserve(attempt.bodyLimit);
    }
    body += bytes;
}

/// Bytes that the kernel holds.
auto unreadBytes(const Attempt &attempt) -> std::size_t
{
    int unread = 0;
    const auto isKnown = attempt.connection && ::ioctl(bufferevent_getfd(transportOf(*attempt.connection)), FIONREAD, &unread) == 0;
    return isKnown ? static_cast<std::size_t>(unread) : 0;
}

/// Of the request, not in the socket.
auto unwrittenBytes(const Attempt &attempt) -> std::size_t
{
    return attempt.connection ? evbuffer_get_length(bufferevent_get_output(transportOf(*attempt.connection))) : 0;
}

auto sendQueueOf(const Attempt &attempt) -> std::optional<http::SendQueue>
{
    return attempt.connection ? http::sendQueueOf(bufferevent_getfd(transportOf(*attempt.connection))) : std::nullopt;
}

/// Whether the server can't have the whole request.
auto isIncompleteAtServer(const Attempt &attempt) -> bool
{
    const auto hasSent = attempt.connection && attempt.connection->hasSent;
    if (!hasSent || unwrittenBytes(attempt) > 0) {
        return true;
    }
    const auto queue = sendQueueOf(attempt);
    return queue && http::isIncompleteAtPeer(*queue);
}

auto heldBytes(const Attempt &attempt) -> std::size_t
{
    const auto unread = attempt.connection ? evbuffer_get_length(bufferevent_get_input(transportOf(*attempt.connection))) : 0;
    const auto &body = attempt.response.body;
    const auto bodyBytes = attempt.framing == http::Framing::Length ? body.size() : body.capacity();
    return bodyBytes + attempt.splitter.pendingBytes() + unread;
}

} // namespace

class Upstream::Impl
{
public:
    Impl(task::EventLoop &eventLoop, memory::Account &memoryAccount, UpstreamCallbacks upstreamCallbacks)
        : loop(eventLoop)
        , account(memoryAccount)
        , callbacks(std::move(upstreamCallbacks))
        , maxBodyBytes(std::min(MaxBodyBytes, memoryAccount.limits().bytes / 2))
        , pool(eventLoop, { .idleAge = MaxIdleAge, .idlePerAddress = MaxIdlePerServer, .headerBytes = MaxHeaderBytes, .bodyBytes = maxBodyBytes })
    {
    }

    auto open(AttemptId id, const std::string &callerId, const std::string &server) -> Attempt &;
    auto begin(Attempt &attempt, const std::string &address, const http::Headers &headers, const BufferedRequestPointer &message) -> void;
    auto start(Attempt &attempt, const std::string &address, const http::Headers &headers, const BufferedRequestPointer &message) -> bool;
    auto handleHead(Attempt &attempt, evhttp_request *request) -> void;
    auto handleBody(Attempt &attempt, evhttp_request *request) -> void;
    auto relay(Attempt &attempt, const std::string &events) -> void;
    auto handleDone(AttemptId id, evhttp_request *request) -> void;
    auto completeAttempt(Attempt &attempt) -> void;
    auto fail(Attempt &attempt, Failure failure) -> void;
    auto failSoon(AttemptId id, Failure failure) -> void;
    auto recordProgress(Attempt &attempt) -> void;
    auto extendTimeouts(TimePoint now) -> void;
    auto holdBytes(Attempt &attempt) const -> void;
    auto setPaused(AttemptId id, bool Attempt::*cause, bool isPaused) -> void;
    auto applyPauseSoon(AttemptId id) -> void;
    auto applyPauses() -> void;
    auto review(Attempt &attempt, TimePoint now) -> void;
    auto reportSilence(Attempt &attempt, Failure timeout, TimePoint now) -> void;
    auto close(Attempt &attempt, bool mayKeep) -> void;
    auto disconnectFailure(const Attempt &attempt) const -> Failure;

    task::EventLoop &loop;
    memory::Account &account;
    UpstreamCallbacks callbacks;
    std::size_t maxBodyBytes;
    http::ConnectionPool pool;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts;
    std::optional<TimePoint> reviewedAt;
    std::vector<std::pair<AttemptId, Failure>> dueFailures; ///< for the event loop's next iteration
    task::Watch dueFailuresTimer;
    std::vector<AttemptId> duePauses; ///< attempts whose pause has begun or ended in this iteration
    task::Watch duePausesTimer;
};

namespace
{

/// Context of libevent's callbacks, which leads to the attempt. The connection owns it, because libevent may drop a request
/// without a final callback.
struct RequestContext {
    http::ResponseGuard &guard; ///< of the connection
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
    contextOf(context).guard.request = nullptr;
    // copied, because the call may start the next exchange on the connection, which destroys this context
    const auto onDone = contextOf(context).onDone;
    onDone(request);
}

auto onErrorCallback(evhttp_request_error error, void *context) -> void
{
    contextOf(context).guard.request = nullptr;
    contextOf(context).onError(error);
}

} // namespace

auto Upstream::Impl::open(AttemptId id, const std::string &callerId, const std::string &server) -> Attempt &
{
    auto &slot = attempts[id];
    slot = std::make_unique<Attempt>();
    slot->id = id;
    slot->callerId = callerId;
    slot->server = server;
    slot->connectDeadline = now() + ConnectTimeout;
    slot->lastProgressAt = now();
    slot->share = account.open({
        .setPaused = [this, id](bool isPaused) { setPaused(id, &Attempt::isPausedForMemory, isPaused); },
        .close = [this, id](memory::CloseCause) { callbacks.onNoRoom(id); },
        .describe = [server]() { return "server " + server; },
    });
    return *slot;
}

/// Starts the attempt; a failure to start it is reported in the event loop's next iteration.
auto Upstream::Impl::begin(Attempt &attempt, const std::string &address, const http::Headers &headers, const BufferedRequestPointer &message) -> void
{
    const auto id = attempt.id;
    attempt.ignoresCallbacks = true; // while it starts: a connect that fails immediately calls back from within start()
    const auto started = start(attempt, address, headers, message);
    attempt.ignoresCallbacks = false;
    const auto descriptor = started && attempt.connection ? bufferevent_getfd(transportOf(*attempt.connection)) : -1;
    if (descriptor >= 0) {
        if (!attempt.connection->wasUsedBefore) {
            http::boundSocketBuffers(descriptor);
        }
        return;
    }
    failSoon(id, Failure::ConnectFailed);
}

/// \return false if the attempt could not be started
auto Upstream::Impl::start(Attempt &attempt, const std::string &address, const http::Headers &headers, const BufferedRequestPointer &message) -> bool
{
    const auto endpoint = net::parseEndpoint(address);
    if (!endpoint) {
        return false;
    }
    attempt.connection = pool.take(attempt.server, *endpoint, false);
    evhttp_connection_set_timeout(attempt.connection->raw.get(), LibraryTimeoutSeconds);
    const auto id = attempt.id;
    const auto ifOpen = [this, id](auto callback) {
        const auto found = attempts.find(id);
        if (found != attempts.end() && !found->second->ignoresCallbacks) {
            callback(*found->second);
        }
    };
    const auto context = std::make_shared<RequestContext>(RequestContext{
        .guard = attempt.connection->guard,
        .onHead = [this, ifOpen](evhttp_request *request) { ifOpen([&](Attempt &openAttempt) { handleHead(openAttempt, request); }); },
        .onBody = [this, ifOpen](evhttp_request *request) { ifOpen([&](Attempt &openAttempt) { handleBody(openAttempt, request); }); },
        .onDone = [this, id](evhttp_request *request) { handleDone(id, request); },
        .onError =
            [ifOpen](evhttp_request_error error) {
                ifOpen([&](Attempt &openAttempt) {
                    if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG) {
                        openAttempt.rejection = Failure::BadResponse;
                    }
                });
            },
    });
    attempt.connection->context = context;
    auto *request = evhttp_request_new(onDoneCallback, context.get());
    http::beginResponse(attempt.connection->guard, request);
    evhttp_request_set_header_cb(request, onHeadCallback);
    evhttp_request_set_chunked_cb(request, onBodyCallback);
    evhttp_request_set_error_cb(request, onErrorCallback);
    auto *output = evhttp_request_get_output_headers(request);
    for (const auto &header : headers) {
        evhttp_add_header(output, header.name.c_str(), header.value.c_str());
    }
    const std::shared_ptr<const std::string> body(message, &message->body);
    return http::sendRequest(attempt.connection->raw.get(), request, message->method, message->target, body);
}

auto Upstream::Impl::handleHead(Attempt &attempt, evhttp_request *request) -> void
{
    attempt.headReceived = true;
    attempt.response.status = evhttp_request_get_response_code(request);
    attempt.response.headers = http::readHeaders(evhttp_request_get_input_headers(request));
    attempt.framing = http::framingOf(attempt.response.status, attempt.response.headers);
    attempt.head = adapter::decodeAnswerHead(attempt.response.status, attempt.response.headers, attempt.callerId);
    if (attempt.framing == http::Framing::ConnectionEnd) {
        http::readBodyToConnectionEnd(request);
        attempt.head.closes = true;
    }
    attempt.rejection = checkResponseHead(attempt);
    attempt.isRelayed = attempt.isStream && isSuccess(attempt.response.status) && !attempt.rejection;
    if (attempt.isRelayed) {
        attempt.connection->guard.maxChunkBytes = MaxStreamChunkBytes;
    }
    recordProgress(attempt);
    attempt.share.begin(memory::Purpose::Receive);
    if (isPaused(attempt)) {
        applyPauseSoon(attempt.id); // a pause takes effect once there is a response
    }
    attempt.bodyLimit = std::min(http::contentLength(attempt.response.headers).value_or(maxBodyBytes), maxBodyBytes);
    if (carriesNotice(attempt)) {
        callbacks.onNotice(attempt.id, attempt.head.notice);
    }
    if (carriesRateLimit(attempt)) {
        callbacks.onRateLimit(attempt.id, attempt.head.perSecond);
    }
    if (carriesBrittleness(attempt)) {
        callbacks.onBrittleness(attempt.id, attempt.head.rejectionsPerSecond);
    }
    if (attempt.rejection) {
        // a short response ends in this iteration, so that its connection can be reused
        failSoon(attempt.id, *attempt.rejection);
    } else if (!attempt.isRelayed) {
        callbacks.onStarted(attempt.id, false);
    }
}

auto Upstream::Impl::holdBytes(Attempt &attempt) const -> void
{
    const auto held = heldBytes(attempt) + (isPaused(attempt) ? unreadBytes(attempt) : 0);
    attempt.share.hold(held, attempt.headReceived && !attempt.isRelayed ? attempt.bodyLimit - std::min(attempt.response.body.size(), attempt.bodyLimit) : 0);
}

/// libevent is reading while it calls back and would read on, so the change follows at the end of this iteration.
auto Upstream::Impl::setPaused(AttemptId id, bool Attempt::*cause, bool isPaused) -> void
{
    const auto found = attempts.find(id);
    if (found == attempts.end() || std::exchange((*found->second).*cause, isPaused) == isPaused) {
        return;
    }
    applyPauseSoon(id);
}

auto Upstream::Impl::applyPauseSoon(AttemptId id) -> void
{
    duePauses.push_back(id);
    if (duePauses.size() == 1) {
        duePausesTimer = loop.inThisTurn([this]() { applyPauses(); });
    }
}

auto Upstream::Impl::applyPauses() -> void
{
    for (const auto id : std::exchange(duePauses, {})) {
        const auto found = attempts.find(id);
        if (found == attempts.end() || !found->second->headReceived) {
            continue;
        }
        auto &attempt = *found->second;
        if (isPaused(attempt)) {
            bufferevent_disable(transportOf(*attempt.connection), EV_READ);
        } else {
            recordProgress(attempt);
            bufferevent_enable(transportOf(*attempt.connection), EV_READ);
        }
    }
}

auto Upstream::Impl::handleBody(Attempt &attempt, evhttp_request *request) -> void
{
    auto bytes = drainBuffer(evhttp_request_get_input_buffer(request));
    if (attempt.rejection) {
        return;
    }
    attempt.share.move(bytes.size());
    if (!attempt.isRelayed) {
        appendBody(attempt, bytes);
        holdBytes(attempt);
        return;
    }
    const auto id = attempt.id;
    relay(attempt, attempt.splitter.feed(bytes));
    const auto openAttempt = attempts.find(id); // relaying may detect that the caller has disconnected, which erases the attempt
    if (openAttempt != attempts.end() && openAttempt->second->splitter.exceedsLimit()) {
        fail(*openAttempt->second, Failure::BadResponse);
    }
}

auto Upstream::Impl::relay(Attempt &attempt, const std::string &events) -> void
{
    if (events.empty()) {
        return;
    }
    recordProgress(attempt);
    if (!std::exchange(attempt.relayStarted, true)) {
        callbacks.onStarted(attempt.id, true);
        callbacks.onStreamStarted(attempt.id, attempt.response.status, adapter::encodeAnswerHeaders(attempt.response.headers));
    }
    callbacks.onEvents(attempt.id, events);
}

auto Upstream::Impl::recordProgress(Attempt &attempt) -> void
{
    attempt.progressDeadline = deadlineAfter(attempt.progressTimeout);
    attempt.lastProgressAt = now();
    attempt.isSilent = false;
}

auto Upstream::Impl::handleDone(AttemptId id, evhttp_request *request) -> void
{
    const auto found = attempts.find(id);
    if (found == attempts.end() || found->second->ignoresCallbacks) {
        return;
    }
    auto &attempt = *found->second;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        fail(attempt, attempt.rejection.value_or(disconnectFailure(attempt)));
        return;
    }
    attempt.isComplete = true;
    if (attempt.rejection) {
        fail(attempt, *attempt.rejection);
        return;
    }
    if (endsTooEarly(attempt)) {
        fail(attempt, Failure::BrokenStream);
        return;
    }
    completeAttempt(attempt);
}

auto Upstream::Impl::completeAttempt(Attempt &attempt) -> void
{
    const auto id = attempt.id;
    const auto body = bodyEndOf(attempt);
    if (!attempt.isRelayed || !attempt.relayStarted) {
        attempt.response.body += attempt.splitter.takeRemainder();
        attempt.response.headers = adapter::encodeAnswerHeaders(attempt.response.headers);
        auto response = std::move(attempt.response);
        close(attempt, true);
        callbacks.onResponse(id, std::move(response), body);
        return;
    }
    const auto rest = attempt.splitter.takeRemainder();
    close(attempt, true);
    if (!rest.empty()) {
        callbacks.onEvents(id, rest);
    }
    callbacks.onStreamEnded(id, body);
}

auto Upstream::Impl::disconnectFailure(const Attempt &attempt) const -> Failure
{
    if (attempt.connection && !attempt.connection->hasSent) {
        return Failure::ConnectFailed;
    }
    return attempt.headReceived ? Failure::BrokenStream : Failure::BrokenBeforeFirstByte;
}

/// Fails the attempt in the event loop's next iteration, unless it ends before.
auto Upstream::Impl::failSoon(AttemptId id, Failure failure) -> void
{
    dueFailures.emplace_back(id, failure);
    if (dueFailures.size() > 1) {
        return; // a new timer each time could be replaced again and again before it expires
    }
    dueFailuresTimer = loop.after(Duration::zero(), [this]() {
        for (const auto &[dueAttempt, dueFailure] : std::exchange(dueFailures, {})) {
            const auto found = attempts.find(dueAttempt);
            if (found != attempts.end()) {
                fail(*found->second, dueFailure);
            }
        }
    });
}

auto Upstream::Impl::fail(Attempt &attempt, Failure failure) -> void
{
    const auto id = attempt.id;
    const AttemptFailure report{
        .failure = failure,
        .status = attempt.response.status,
        .relayStarted = attempt.relayStarted,
        .lastEventId = attempt.splitter.lastEventId(),
        .body = attempt.headReceived ? std::optional(bodyEndOf(attempt)) : std::nullopt,
    };
    // after a complete refusal the connection can be reused
    close(attempt, failure == Failure::NotStarted || failure == Failure::WrongServer);
    callbacks.onFailed(id, report);
}

/// Ends the attempt and keeps its connection for reuse if \p mayKeep and if no bytes are left in either direction. Bytes after a
/// complete response would be taken for the response to the next request on the connection. After a response that came before
/// its request was sent completely, the server would read the next request as the rest of the body.
auto Upstream::Impl::close(Attempt &attempt, bool mayKeep) -> void
{
    attempt.ignoresCallbacks = true;
    auto connection = std::move(attempt.connection);
    if (connection) {
        auto *transport = transportOf(*connection);
        const auto isClean = evbuffer_get_length(bufferevent_get_input(transport)) == 0 && evbuffer_get_length(bufferevent_get_output(transport)) == 0;
        connection->idleTime = attempt.head.idleTime;
        if (!attempt.isComplete) {
            pool.giveUp(std::move(connection), attempt.isAtMostOnce ? http::Interruption::Harmful : http::Interruption::Allowed);
        } else if (mayKeep && isClean && !attempt.head.closes) {
            pool.keep(std::move(connection));
        } else {
            pool.retire(std::move(connection));
        }
    }
    attempts.erase(attempt.id);
}

/// The servers may have sent something while this process did not run, which it has not read yet.
auto Upstream::Impl::extendTimeouts(TimePoint now) -> void
{
    const auto pause = reviewedAt ? now - *reviewedAt - ReviewInterval : Duration::zero();
    reviewedAt = now;
    if (pause < MinOwnPause) {
        return;
    }
    for (const auto &[id, attempt] : attempts) {
        extend(attempt->connectDeadline, pause);
        extend(attempt->firstByteDeadline, pause);
        extend(attempt->progressDeadline, pause);
        extend(attempt->lastProgressAt, pause);
    }
}

auto Upstream::Impl::review(Attempt &attempt, TimePoint now) -> void
{
    const auto timeout = passedTimeout(attempt, now);
    if (!timeout) {
        return;
    }
    if (*timeout == Failure::ConnectFailed) {
        pool.closeIdle(attempt.server);
        fail(attempt, *timeout);
        return;
    }
    auto &deadline = *timeout == Failure::FirstTokenTimeout ? attempt.firstByteDeadline : attempt.progressDeadline;
    deadline = now + SilenceReportInterval;
    reportSilence(attempt, *timeout, now);
}

auto Upstream::Impl::reportSilence(Attempt &attempt, Failure timeout, TimePoint now) -> void
{
    if (!std::exchange(attempt.isSilent, true)) {
        //! NOTE the cause of the silence may affect the idle connections to the same server as well
        pool.closeIdle(attempt.server);
    }
    callbacks.onSilent(attempt.id, { .timeout = timeout, .silentFor = now - attempt.lastProgressAt, .lastEventId = attempt.splitter.lastEventId() });
}

Upstream::Upstream(task::EventLoop &loop, memory::Account &account, UpstreamCallbacks callbacks)
    : impl_(std::make_unique<Impl>(loop, account, std::move(callbacks)))
{
}

Upstream::~Upstream()
{
    while (!impl_->attempts.empty()) {
        impl_->close(*impl_->attempts.begin()->second, false);
    }
}

auto Upstream::send(const passthrough::Send &action, const BufferedRequestPointer &message, const std::string &callerId) -> void
{
    auto &attempt = impl_->open(action.attempt, callerId, action.server);
    attempt.isStream = action.isStream;
    attempt.isAtMostOnce = action.isAtMostOnce;
    attempt.firstByteDeadline = deadlineAfter(action.startTimeout);
    attempt.progressTimeout = action.silenceTimeout;
    const auto headers = adapter::encodeAttemptHeaders(message->headers,
                                                       {
                                                           .server = action.server,
                                                           .workspace = action.workspace,
                                                           .rank = action.rank,
                                                           .remaining = action.remaining,
                                                           .lastEventId = action.lastEventId,
                                                           .fetchFrom = action.fetchFrom,
                                                       });
    impl_->begin(attempt, action.address, headers, message);
}

auto Upstream::forward(const passthrough::Forward &action, const BufferedRequestPointer &message, const std::string &callerId) -> void
{
    auto &attempt = impl_->open(action.attempt, callerId, action.peer);
    attempt.isStream = action.isStream;
    attempt.isAtMostOnce = action.isAtMostOnce;
    attempt.isForwarded = true;
    auto headers = adapter::encodeForwardHeaders(message->headers, action.remaining, action.lastEventId);
    headers.push_back(makeForwardMark(action.sends));
    if (action.origin) {
        headers.push_back(makeOriginHeader(*action.origin));
    }
    impl_->begin(attempt, action.peer, headers, message);
}

auto Upstream::cancel(AttemptId attempt) -> std::optional<CancelledAttempt>
{
    const auto found = impl_->attempts.find(attempt);
    if (found == impl_->attempts.end()) {
        return std::nullopt;
    }
    auto &cancelledAttempt = *found->second;
    CancelledAttempt cancelled{
        .callerId = cancelledAttempt.callerId,
        .server = cancelledAttempt.server,
        .isAnswerBegun = cancelledAttempt.headReceived,
        .unwrittenBytes = unwrittenBytes(cancelledAttempt),
        .sendQueue = sendQueueOf(cancelledAttempt),
    };
    impl_->close(cancelledAttempt, false);
    return cancelled;
}

auto Upstream::cancelIncomplete(AttemptId attempt) -> std::optional<CancelledAttempt>
{
    const auto found = impl_->attempts.find(attempt);
    return found != impl_->attempts.end() && isIncompleteAtServer(*found->second) ? cancel(attempt) : std::nullopt;
}

auto Upstream::reviewAttempts(TimePoint now) -> void
{
    impl_->extendTimeouts(now);
    for (const auto &[id, attempt] : impl_->attempts) {
        impl_->holdBytes(*attempt);
    }
    std::vector<AttemptId> due; // a callback may end other attempts
    for (const auto &[id, attempt] : impl_->attempts) {
        if (passedTimeout(*attempt, now)) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        const auto found = impl_->attempts.find(id);
        if (found != impl_->attempts.end()) {
            impl_->review(*found->second, now);
        }
    }
}

auto Upstream::setPaused(AttemptId attempt, bool isPaused) -> void
{
    impl_->setPaused(attempt, &Attempt::isPausedForCaller, isPaused);
}

auto Upstream::closeIdleConnections(const std::string &server) -> void
{
    impl_->pool.closeIdle(server);
}

auto Upstream::openAttempts() const -> std::size_t
{
    return impl_->attempts.size();
}

} // namespace auburnspread::gateway
