#include "entry/backend/backendtask.h"

#include "entry/backend/internal/attempt.h"
#include "entry/backend/internal/connectionpool.h"
#include "runtime/task/eventloop.h"
#include "wire/chat/chatrequest.h"
#include "wire/http/evhttpheaders.h"
#include "wire/http/framing.h"
#include "wire/http/sendrequest.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspread::entry
{

namespace
{

constexpr Duration SweepInterval = std::chrono::milliseconds(20);
constexpr Duration LongestRegularGap = std::chrono::milliseconds(300); // between sweeps; beyond it the process was paused
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
constexpr std::size_t MaxProbeAnswerBytes = std::size_t{ 64 } * 1024;
/// Between two chunks of an answer.
constexpr std::size_t MaxChunkLineBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t MaxChunkBytes = std::size_t{ 1024 } * 1024;
constexpr int OkStatus = 200;
constexpr int UnavailableStatus = 503;

auto nameOfMethod(const std::string &method) -> evhttp_cmd_type
{
    constexpr auto Methods = std::to_array<std::pair<std::string_view, evhttp_cmd_type>>({
        { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST },
        { "PUT", EVHTTP_REQ_PUT },
        { "DELETE", EVHTTP_REQ_DELETE },
        { "HEAD", EVHTTP_REQ_HEAD },
        { "OPTIONS", EVHTTP_REQ_OPTIONS },
        { "PATCH", EVHTTP_REQ_PATCH },
    });
    for (const auto &[name, command] : Methods) {
        if (name == method) {
            return command;
        }
    }
    return EVHTTP_REQ_GET;
}

auto headerOf(evhttp_request *request, const char *name) -> std::string
{
    const auto *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string() : std::string(value);
}

auto takeBytes(evbuffer *buffer) -> std::string_view
{
    const auto length = evbuffer_get_length(buffer);
    const auto *bytes = evbuffer_pullup(buffer, -1);
    return { reinterpret_cast<const char *>(bytes), length };
}

auto isChat(const Attempt &attempt) -> bool
{
    return attempt.payload->kind == routing::CallKind::Chat;
}

//! NOTE a connection that was never made has put nothing into its output buffer: the library writes the request
//! only once the connection stands. So a byte in the output buffer is the moment from which the request may run.
auto onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *context) -> void
{
    if (info->n_added > 0) {
        static_cast<Attempt *>(context)->sent = true;
    }
}

auto onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *context) -> void
{
    if (info->n_added > 0) {
        http::guardResponse(static_cast<Attempt *>(context)->guard, buffer, info->n_added);
    }
}

auto giveUp(const Attempt &attempt) -> void
{
    if (attempt.pooled.connection != nullptr) {
        const auto mayRunOnce = !isChat(attempt);
        ConnectionPool::giveUp(attempt.pooled, mayRunOnce ? http::Interruption::Harmful : http::Interruption::Allowed);
    }
}

auto onHeaders(evhttp_request *request, void *context) -> int
{
    auto &attempt = *static_cast<Attempt *>(context);
    if (attempt.over) {
        return 0;
    }
    attempt.status = evhttp_request_get_response_code(request);
    if (attempt.status < OkStatus) {
        fail(attempt, Failure::BadResponse); // an interim head was not asked for, and is not the answer's
        return 0;
    }
    const auto headers = http::readHeaders(evhttp_request_get_input_headers(request));
    if (!http::isFramingClear(headers)) {
        fail(attempt, Failure::BadResponse);
        return 0;
    }
    if (http::framingOf(attempt.status, headers) == http::Framing::ConnectionEnd) {
        http::readBodyToConnectionEnd(request);
    }
    const auto notStarted = headerOf(request, "Request-Not-Started") == "true";
    if (attempt.status == UnavailableStatus && notStarted) {
        fail(attempt, Failure::NotStarted);
        return 0;
    }
    if (!isChat(attempt)) {
        receiveServiceHeaders(attempt, headers);
        return 0;
    }
    if (attempt.status != OkStatus) {
        fail(attempt, Failure::ServerError);
    }
    return 0;
}

auto onBody(evhttp_request *request, void *context) -> void
{
    auto &attempt = *static_cast<Attempt *>(context);
    if (attempt.over) {
        return;
    }
    const auto bytes = takeBytes(evhttp_request_get_input_buffer(request));
    if (isChat(attempt)) {
        receiveChatBytes(attempt, bytes);
    } else {
        receiveServiceBytes(attempt, bytes);
    }
}

auto failureOfBreak(const Attempt &attempt) -> Failure
{
    if (!attempt.sent) {
        return Failure::ConnectFailed;
    }
    return attempt.started ? Failure::BrokenStream : Failure::BrokenBeforeFirstByte;
}

auto onDone(evhttp_request *request, void *context) -> void
{
    auto &attempt = *static_cast<Attempt *>(context);
    attempt.request = nullptr;
    attempt.guard.request = nullptr;
    if (attempt.over) {
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        fail(attempt, failureOfBreak(attempt));
        return;
    }
    if (isChat(attempt)) {
        endChatAnswer(attempt);
    } else {
        endServiceAnswer(attempt);
    }
}

/// Failure: what comes back is not HTTP, or its headers do not end. Symptom: the library only says that the request
/// failed, which is taken for a crash, and the request is quarantined although it did no harm. The library tells
/// this cause apart before it calls onDone, so a BadResponse is reported first.
auto onError(evhttp_request_error error, void *context) -> void
{
    auto &attempt = *static_cast<Attempt *>(context);
    attempt.guard.request = nullptr;
    if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG) {
        fail(attempt, Failure::BadResponse);
    }
}

auto addHeader(evkeyvalq *headers, const char *name, const std::string &value) -> void
{
    if (!value.empty()) {
        evhttp_add_header(headers, name, value.c_str());
    }
}

auto setBlocked(Attempt &attempt, bool blocked) -> void
{
    if (std::exchange(attempt.blocked, blocked) == blocked) {
        return;
    }
    auto *bev = evhttp_connection_get_bufferevent(attempt.pooled.connection);
    if (blocked) {
        bufferevent_disable(bev, EV_READ);
        return;
    }
    bufferevent_enable(bev, EV_READ);
    extendDeadline(attempt);
}

struct Probe {
    std::string backend;
    PooledConnection pooled;
    TimePoint deadline;
    bool over = false;
    bool healthy = false;
};

auto onProbeDone(evhttp_request *request, void *context) -> void
{
    auto &probe = *static_cast<Probe *>(context);
    probe.over = true;
    probe.healthy = request != nullptr && evhttp_request_get_response_code(request) == OkStatus;
}

} // namespace

struct BackendTask::State {
    State(BackendTaskOptions taskOptions, Mailboxes &all)
        : options(std::move(taskOptions))
        , mailboxes(all)
        , pool(loop, options.idleAge)
        , context{ .mailboxes = all, .mostEventBytes = options.mostEventBytes, .failed = options.failed, .ended = [this](AttemptId id, bool reusable) {
                      end(id, reusable);
                  } }
    {
    }
    ~State();
    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    auto take(BackendMessage message) -> void;
    auto start(DispatchOrder order) -> void;
    auto send(Attempt &attempt) -> void;
    auto sendChat(Attempt &attempt) -> void;
    auto sendService(Attempt &attempt) -> void;
    auto launch(Attempt &attempt, evhttp_cmd_type command, const std::string &path, std::string_view body) -> void;
    auto end(AttemptId id, bool reusable) -> void;
    auto cancel(AttemptId id) -> void;
    auto block(const CallerBlocked &message) -> void;
    auto startProbe(const routing::ProbeBackend &order) -> void;
    auto sweep() -> void;
    auto forgivePause(TimePoint now) -> void;
    auto sweepAttempts(TimePoint now) -> void;
    auto noteSilence(Attempt &attempt, TimePoint now) const -> void;
    auto sweepProbes(TimePoint now) -> void;
    auto closeEnded() -> void;

    BackendTaskOptions options;
    Mailboxes &mailboxes;
    task::EventLoop loop;
    ConnectionPool pool;
    AttemptContext context;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts;
    std::unordered_map<RequestId, std::shared_ptr<RequestRelay>> relays; ///< of requests with live attempts
    std::vector<std::pair<std::unique_ptr<Attempt>, bool>> ended;        ///< with whether the connection may be kept
    std::vector<std::unique_ptr<Probe>> probes;
    task::Watch closing;
    TimePoint lastSweep = task::monotonicNow();
};

/// The library does not free connections with its event loop: those in use are closed here, the pool closes idle ones.
BackendTask::State::~State()
{
    for (auto &[id, attempt] : attempts) {
        giveUp(*attempt);
        ended.emplace_back(std::move(attempt), false);
    }
    closeEnded();
    for (const auto &probe : probes) {
        if (probe->pooled.connection != nullptr) {
            pool.close(probe->pooled);
        }
    }
}

auto BackendTask::State::take(BackendMessage message) -> void
{
    if (auto *order = std::get_if<DispatchOrder>(&message)) {
        start(std::move(*order));
    } else if (const auto *committed = std::get_if<routing::CommitAttempt>(&message)) {
        const auto found = attempts.find(committed->attempt);
        if (found != attempts.end()) {
            commit(*found->second, committed->relayedTokens);
        }
    } else if (const auto *cancelled = std::get_if<routing::CancelAttempt>(&message)) {
        cancel(cancelled->attempt);
    } else if (const auto *probe = std::get_if<routing::ProbeBackend>(&message)) {
        startProbe(*probe);
    } else if (const auto *blocked = std::get_if<CallerBlocked>(&message)) {
        block(*blocked);
    }
}

auto BackendTask::State::start(DispatchOrder order) -> void
{
    const auto id = order.dispatch.attempt;
    auto wireId = options.attemptPrefix + "-" + std::to_string(static_cast<std::uint64_t>(id));
    auto &relay = relays[order.dispatch.request];
    if (relay == nullptr) {
        relay = std::make_shared<RequestRelay>();
    }
    relay->attempts.push_back(id);
    auto &attempt = *(attempts[id] = std::make_unique<Attempt>(std::move(order.dispatch), std::move(order.payload), std::move(wireId), relay, context));
    send(attempt);
}

auto BackendTask::State::send(Attempt &attempt) -> void
{
    try {
        attempt.pooled = pool.acquire(attempt.dispatch.address, attempt.dispatch.freshConnection);
    } catch (const std::exception &) {
        fail(attempt, Failure::ConnectFailed);
        return;
    }
    const auto now = task::monotonicNow();
    attempt.connectDeadline = now + options.connectTimeout;
    attempt.deadline = now + attempt.dispatch.firstTokenTimeout;
    auto *bev = evhttp_connection_get_bufferevent(attempt.pooled.connection);
    attempt.outputWatch = evbuffer_add_cb(bufferevent_get_output(bev), onOutput, &attempt);
    attempt.inputWatch = evbuffer_add_cb(bufferevent_get_input(bev), onInput, &attempt);
    attempt.guard.maxLineBytes = MaxChunkLineBytes;
    attempt.guard.maxChunkBytes = MaxChunkBytes;
    if (isChat(attempt)) {
        sendChat(attempt);
    } else {
        sendService(attempt);
    }
}

auto BackendTask::State::sendChat(Attempt &attempt) -> void
{
    const auto &dispatch = attempt.dispatch;
    attempt.request = evhttp_request_new(onDone, &attempt);
    auto *headers = evhttp_request_get_output_headers(attempt.request);
    addHeader(headers, "Content-Type", "application/json");
    addHeader(headers, "Priority", "u=" + std::to_string(dispatch.priority));
    if (dispatch.resumeOffset > 0) {
        addHeader(headers, "Resume-Offset", std::to_string(dispatch.resumeOffset));
    }
    const auto body = chat::makeBackendBody(attempt.payload->chatBody, dispatch.model, dispatch.version, dispatch.adapter);
    launch(attempt, EVHTTP_REQ_POST, "/v1/chat/completions", body);
}

auto BackendTask::State::sendService(Attempt &attempt) -> void
{
    const auto &payload = *attempt.payload;
    attempt.request = evhttp_request_new(onDone, &attempt);
    auto *headers = evhttp_request_get_output_headers(attempt.request);
    addHeader(headers, "Content-Type", payload.contentType);
    addHeader(headers, "Idempotency-Key", payload.idempotencyKey);
    launch(attempt, nameOfMethod(payload.method), payload.pathAndQuery, payload.body);
}

auto BackendTask::State::launch(Attempt &attempt, evhttp_cmd_type command, const std::string &path, std::string_view body) -> void
{
    auto *headers = evhttp_request_get_output_headers(attempt.request);
    addHeader(headers, "Host", attempt.dispatch.address);
    addHeader(headers, "X-Request-Id", attempt.stream.attemptId);
    evhttp_request_set_header_cb(attempt.request, onHeaders);
    evhttp_request_set_chunked_cb(attempt.request, onBody);
    evhttp_request_set_error_cb(attempt.request, onError);
    http::beginResponse(attempt.guard, attempt.request);
    if (!http::sendRequest(attempt.pooled.connection, attempt.request, command, path, body)) {
        attempt.request = nullptr;
        attempt.guard.request = nullptr;
        fail(attempt, failureOfBreak(attempt));
    }
}

auto BackendTask::State::end(AttemptId id, bool reusable) -> void
{
    const auto found = attempts.find(id);
    if (found == attempts.end()) {
        return;
    }
    const auto &attempt = *found->second;
    std::erase(attempt.shared->attempts, id);
    if (attempt.shared->attempts.empty()) {
        relays.erase(attempt.dispatch.request);
    }
    if (!reusable) {
        giveUp(attempt);
    }
    ended.emplace_back(std::move(found->second), reusable);
    attempts.erase(found);
    //! NOTE a connection must not be closed from within its own callback
    closing = loop.afterThisEvent([this]() { closeEnded(); });
}

auto BackendTask::State::closeEnded() -> void
{
    for (auto &[attempt, reusable] : std::exchange(ended, {})) {
        if (attempt->pooled.connection == nullptr) {
            continue;
        }
        if (attempt->outputWatch != nullptr) {
            auto *bev = evhttp_connection_get_bufferevent(attempt->pooled.connection);
            evbuffer_remove_cb_entry(bufferevent_get_output(bev), attempt->outputWatch);
            evbuffer_remove_cb_entry(bufferevent_get_input(bev), attempt->inputWatch);
        }
        if (reusable && attempt->request == nullptr) {
            pool.release(attempt->pooled);
        } else {
            pool.close(attempt->pooled);
        }
    }
}

auto BackendTask::State::cancel(AttemptId id) -> void
{
    const auto found = attempts.find(id);
    if (found == attempts.end()) {
        return;
    }
    auto &attempt = *found->second;
    if (attempt.committed && attempt.complete) {
        attempt.broken = true;
        finish(attempt); // the caller has the whole answer but its end
        return;
    }
    attempt.over = true;
    end(id, false);
}

auto BackendTask::State::block(const CallerBlocked &message) -> void
{
    const auto relay = relays.find(message.request);
    if (relay == relays.end()) {
        return;
    }
    for (const auto id : relay->second->attempts) {
        setBlocked(*attempts.at(id), message.blocked);
    }
}

auto BackendTask::State::startProbe(const routing::ProbeBackend &order) -> void
{
    auto &probe = *probes.emplace_back(std::make_unique<Probe>());
    probe.backend = order.backend;
    probe.deadline = task::monotonicNow() + ProbeTimeout;
    try {
        probe.pooled = pool.acquire(order.address, true);
    } catch (const std::exception &) {
        probe.over = true;
        return;
    }
    evhttp_connection_set_max_body_size(probe.pooled.connection, MaxProbeAnswerBytes);
    auto *request = evhttp_request_new(onProbeDone, &probe);
    addHeader(evhttp_request_get_output_headers(request), "Host", order.address);
    if (evhttp_make_request(probe.pooled.connection, request, EVHTTP_REQ_GET, "/health") != 0) {
        probe.over = true;
    }
}

/// Failure: this process is paused for longer than a timeout, then goes on. Symptom: every stream is judged silent
/// although its tokens wait unread in the sockets, and all are retried at once. The time of the pause is not
/// counted against backend servers.
auto BackendTask::State::forgivePause(TimePoint now) -> void
{
    const auto pause = now - std::exchange(lastSweep, now);
    if (pause < LongestRegularGap) {
        return;
    }
    for (auto &[id, attempt] : attempts) {
        attempt->deadline += pause;
        attempt->connectDeadline += pause;
    }
}

auto BackendTask::State::sweep() -> void
{
    const auto now = task::monotonicNow();
    forgivePause(now);
    sweepAttempts(now);
    sweepProbes(now);
    pool.expire(now);
}

/// A timeout ends no attempt: whether another one may be had is the router's to find out first.
auto BackendTask::State::sweepAttempts(TimePoint now) -> void
{
    std::vector<std::pair<AttemptId, Failure>> late;
    for (auto &[id, attempt] : attempts) {
        if (!attempt->sent && now >= attempt->connectDeadline) {
            late.emplace_back(id, Failure::ConnectFailed);
            continue;
        }
        const auto awaitsCommit = attempt->complete && !attempt->committed;
        if (attempt->blocked || awaitsCommit || now < attempt->deadline) {
            continue;
        }
        if (attempt->complete) {
            late.emplace_back(id, Failure::ProgressTimeout); // nothing of the answer is missing: it finishes
        } else {
            noteSilence(*attempt, now);
        }
    }
    for (const auto &[id, failure] : late) {
        fail(*attempts.at(id), failure);
    }
}

auto BackendTask::State::noteSilence(Attempt &attempt, TimePoint now) const -> void
{
    const auto isNew = !attempt.silent;
    reportSilence(attempt, now);
    if (isNew && options.silent) {
        options.silent({
            .request = attempt.payload->publicId,
            .attempt = attempt.stream.attemptId,
            .backend = attempt.dispatch.backend,
            .failure = timeoutOf(attempt),
        });
    }
}

auto BackendTask::State::sweepProbes(TimePoint now) -> void
{
    std::erase_if(probes, [&](const std::unique_ptr<Probe> &probe) {
        if (!probe->over && now < probe->deadline) {
            return false;
        }
        mailboxes.router.post(routing::Event(routing::ProbeSettled{ .backend = probe->backend, .healthy = probe->healthy }));
        if (probe->pooled.connection != nullptr) {
            pool.close(probe->pooled);
        }
        return true;
    });
}

BackendTask::BackendTask(BackendTaskOptions options, Mailboxes &mailboxes)
    : state_(std::make_unique<State>(std::move(options), mailboxes))
{
}

BackendTask::~BackendTask() = default;

auto BackendTask::run() -> void
{
    auto &state = *state_;
    const auto inbox = state.loop.receive(state.mailboxes.backend, [&state](BackendMessage message) { state.take(std::move(message)); });
    const auto sweeper = state.loop.every(SweepInterval, [&state]() { state.sweep(); });
    state.loop.run();
}

auto BackendTask::stop() -> void
{
    state_->loop.stop();
}

} // namespace auburnspread::entry
