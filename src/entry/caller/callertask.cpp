#include "entry/caller/callertask.h"

#include "entry/caller/internal/exchange.h"
#include "entry/caller/internal/requestreader.h"
#include "runtime/logging/logging.h"
#include "runtime/memory/account.h"
#include "runtime/task/eventloop.h"
#include "wire/http/acceptedsockets.h"
#include "wire/http/acceptpause.h"
#include "wire/http/heldconnection.h"
#include "wire/http/lastresponse.h"
#include "wire/http/lingeringclose.h"
#include "wire/http/wholefirstline.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <functional>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspread::entry
{

namespace
{

constexpr Duration SweepInterval = std::chrono::milliseconds(250);
constexpr int ListenBacklog = 1024;
/// Of a connection that is not read, as a whole request need not lie there.
constexpr std::size_t MaxInputBytes = std::size_t{ 64 } * 1024;
constexpr int RedirectStatus = 307;
constexpr std::size_t HeaderCutFactor = 4;      // beyond the answerable bound by this much the connection is cut
constexpr std::size_t ConnectionsCutFactor = 2; // up to here a connection too many is answered; beyond, the oldest idle one is cut
constexpr auto ChatPath = "/v1/chat/completions";
constexpr auto EntriesPath = "/v1/entries";
constexpr auto TicketsPath = "/v1/tickets";
constexpr std::uint32_t MostTickets = 100;
constexpr std::string_view ServicesPrefix = "/services/";
constexpr Duration RedirectRetryAfter = std::chrono::seconds(1);

struct HtpDeleter {
    auto operator()(evhtp *server) const -> void
    {
        evhtp_unbind_socket(server);
        evhtp_free(server);
    }
};

//! NOTE evhtp_request_set_keepalive(request, 0) leaves the flag as it is, so the connection would stay open
auto endAfterReply(evhtp_request *request) -> void
{
    evhtp_request_disable_flag(request, EVHTP_REQ_FLAG_KEEPALIVE);
    addReplyHeader(request, "Connection", "close");
}

template <typename Callback>
auto asHook(Callback callback) -> evhtp_hook
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(callback));
}

} // namespace

struct CallerTask::State {
    /// What is known of a caller's connection.
    struct Connection {
        State *owner = nullptr;
        evhtp_connection *handle = nullptr;
        TimePoint since;        ///< of the accept, the first header or the end of the last answer
        bool reading = true;    ///< a request has begun
        bool answering = false; ///< a request is complete and its answer is due
        std::size_t headerBytes = 0;
        std::size_t bodyBytes = 0;
        RequestId exchange{}; ///< while answering
        std::unique_ptr<http::HeldConnection> held;
    };

    State(CallerTaskOptions taskOptions, Mailboxes &all)
        : options(std::move(taskOptions))
        , mailboxes(all)
        , account(loop, memory::limitsOf(options.memoryBytes))
        , acceptPause(loop, [this]() { return makeRoom(); })
        , lingering(loop)
        , server(evhtp_new(loop.base(), nullptr))
    {
    }

    ~State()
    {
        sockets.release(); // the server closes its listener before its connections
    }

    State(const State &) = delete;
    auto operator=(const State &) -> State & = delete;

    auto accept(evhtp_connection *handle) -> evhtp_res;
    auto closeForMemory(const Connection &connection) -> void;
    auto refuseForMemory(const Connection &connection) -> void;
    auto makeRoom() -> bool;
    auto closeSoon(evhtp_connection *handle) -> void;
    auto setHooks(Connection &connection) -> void;
    auto takeHeader(Connection &connection, std::size_t bytes) const -> evhtp_res;
    auto takeBody(Connection &connection, evbuffer *bytes) const -> void;
    auto finiRequest(Connection &connection) -> void;

    auto handle(evhtp_request *request) -> void;
    auto route(evhtp_request *request, Connection &connection) -> void;
    auto checkBounds(const Connection &connection) const -> void;
    auto submit(evhtp_request *request, Connection &connection, Submission submission) -> void;
    auto watchCaller(Exchange &exchange) -> void;
    auto open(evhtp_request *request, Connection &connection, RequestId id) -> Exchange &;
    auto askEntries(evhtp_request *request, Connection &connection) -> void;
    auto answerEntries(const EntriesAnswered &answer) -> void;
    auto askTickets(evhtp_request *request, Connection &connection) -> void;
    auto answerTickets(const TicketsAnswered &answer) -> void;
    auto answerStored(const StoredAnswer &answer) -> void;
    auto endAnswer(Exchange &exchange) -> void;
    auto writeJson(Exchange &exchange, const nlohmann::json &document) -> void;
    auto answerDraining(evhtp_request *request) -> void;
    auto writeDraining(evhtp_request *request) -> void;
    auto refuseInput(evhtp_request *request, const RefusedInput &input) -> void;
    auto prepareReply(evhtp_request *request) const -> void;

    auto take(const CallerMessage &message) -> void;
    auto takeRefusal(const routing::Refuse &refuse) -> void;
    auto end(Exchange &exchange) -> void;
    auto callerGone(RequestId id) -> void;
    auto checkBacklog(Exchange &exchange) -> void;
    auto find(RequestId id) -> Exchange *;
    auto publicIdOf(RequestId id) const -> std::string;
    auto sweep() -> void;
    auto isIdle() const -> bool;

    CallerTaskOptions options;
    Mailboxes &mailboxes;
    task::EventLoop loop;
    memory::Account account;
    http::AcceptPause acceptPause;
    http::AcceptedSockets sockets;
    http::LingeringClose lingering;            ///< refused connections whose callers may still send
    std::vector<evhtp_connection *> dueCloses; ///< outside of the library's calls
    task::Watch closing;
    std::unordered_map<evhtp_connection *, Connection> connections;
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> exchanges;
    std::shared_ptr<const EntriesView> entries = std::make_shared<EntriesView>();
    std::uint64_t lastId = 0;
    bool draining = false;
    std::atomic<bool> stopping = false;
    std::unique_ptr<evhtp, HtpDeleter> server; //!< NOTE last: ending it calls the hooks, which use the maps
};

auto CallerTask::State::accept(evhtp_connection *handle) -> evhtp_res
{
    http::readWholeFirstLines(handle);
    if (connections.size() >= ConnectionsCutFactor * options.connections) {
        makeRoom();
    }
    auto &connection = connections[handle];
    sockets.setOpen(connections.size());
    connection.owner = this;
    connection.handle = handle;
    connection.since = task::monotonicNow();
    setHooks(connection);
    connection.held = std::make_unique<http::HeldConnection>(
        handle->bev,
        account,
        http::HeldConnectionLimits{ .requestBytes = HeaderCutFactor * options.headerBytes + options.bodyBytes,
                                    .inputBytes = MaxInputBytes,
                                    .readAheadBytes = MaxInputBytes,
                                    .memoryPerByte = http::EvhtpMemoryPerByte },
        http::HeldConnectionCallbacks{ .close = [this, &connection](memory::CloseCause) { closeForMemory(connection); } });
    const auto noDelay = 1;
    ::setsockopt(bufferevent_getfd(handle->bev), IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    return EVHTP_RES_OK;
}

auto CallerTask::State::closeForMemory(const Connection &connection) -> void
{
    if (connection.held->isReceiving()) {
        refuseForMemory(connection);
    }
    evhtp_connection_free(connection.handle);
}

auto CallerTask::State::refuseForMemory(const Connection &connection) -> void
{
    const routing::Refuse refuse{ .reason = Reason::MemoryFull, .outcome = Outcome::NotRun, .retryAfter = RedirectRetryAfter, .step = "read" };
    const auto peer = "caller " + http::peerOf(connection.handle->bev);
    if (options.refused) {
        options.refused(refuse, peer);
    }
    const chat::Refusal refusal{ .reason = refuse.reason, .outcome = refuse.outcome, .retryAfter = refuse.retryAfter, .step = refuse.step };
    auto headers = refusalHeaders(refusal);
    headers.push_back({ .name = "Content-Type", .value = "application/json" });
    const auto descriptor = bufferevent_getfd(connection.handle->bev);
    const http::LastResponse response{ .status = reasonInfo(refusal.reason).status, .headers = std::move(headers), .body = chat::makeRefusalBody(refusal) };
    if (http::sendLastResponse(descriptor, response) && lingering.size() < options.connections / http::MaxLingeringPart) {
        lingering.add(descriptor);
    }
}

/// Closes the connection that has been without a complete request for longest.
auto CallerTask::State::makeRoom() -> bool
{
    const Connection *oldest = nullptr;
    for (const auto &[handle, connection] : connections) {
        if (!connection.answering && (oldest == nullptr || connection.since < oldest->since)) {
            oldest = &connection;
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    logging::event(logging::Level::Warning,
                   "connection-closed-for-another",
                   { { "peer", "caller " + http::peerOf(oldest->handle->bev) }, { "connections", connections.size() }, { "limit", options.connections } });
    evhtp_connection_free(oldest->handle);
    return true;
}

auto CallerTask::State::closeSoon(evhtp_connection *handle) -> void
{
    dueCloses.push_back(handle);
    closing = loop.after(Duration::zero(), [this]() {
        for (auto *due : std::exchange(dueCloses, {})) {
            if (connections.contains(due)) {
                evhtp_connection_free(due);
            }
        }
    });
}

auto CallerTask::State::setHooks(Connection &connection) -> void
{
    auto *handle = connection.handle;
    const auto onStart = [](evhtp_request * /*request*/, void *context) -> evhtp_res {
        auto &known = *static_cast<Connection *>(context);
        known.reading = true;
        known.since = task::monotonicNow();
        known.headerBytes = 0;
        known.bodyBytes = 0;
        return EVHTP_RES_OK;
    };
    const auto onHeader = [](evhtp_request * /*request*/, evhtp_header_t *header, void *context) -> evhtp_res {
        auto &known = *static_cast<Connection *>(context);
        return known.owner->takeHeader(known, header->klen + header->vlen);
    };
    const auto onRead = [](evhtp_request * /*request*/, evbuffer *bytes, void *context) -> evhtp_res {
        auto &known = *static_cast<Connection *>(context);
        known.owner->takeBody(known, bytes);
        return EVHTP_RES_OK;
    };
    const auto onRequestFini = [](evhtp_request *request, void *context) -> evhtp_res {
        auto &self = *static_cast<State *>(context);
        const auto found = self.connections.find(request->conn); //!< NOTE the connection may have ended before its request
        if (found != self.connections.end()) {
            self.finiRequest(found->second);
        }
        return EVHTP_RES_OK;
    };
    const auto onFini = [](evhtp_connection *ended, void *context) -> evhtp_res {
        const auto &known = *static_cast<Connection *>(context);
        auto &self = *known.owner;
        if (known.answering) {
            self.callerGone(known.exchange);
        }
        self.connections.erase(ended);
        self.sockets.setOpen(self.connections.size());
        return EVHTP_RES_OK;
    };
    evhtp_connection_set_hook(handle, evhtp_hook_on_headers_start, asHook(+onStart), &connection);
    evhtp_connection_set_hook(handle, evhtp_hook_on_header, asHook(+onHeader), &connection);
    evhtp_connection_set_hook(handle, evhtp_hook_on_read, asHook(+onRead), &connection);
    evhtp_connection_set_hook(handle, evhtp_hook_on_request_fini, asHook(+onRequestFini), this);
    evhtp_connection_set_hook(handle, evhtp_hook_on_connection_fini, asHook(+onFini), &connection);
}

/// Failure: a caller sends headers without end. Symptom: memory grows. Up to a multiple of the bound the request
/// is read on, so that its caller gets an answer; beyond it the connection is cut.
auto CallerTask::State::takeHeader(Connection &connection, std::size_t bytes) const -> evhtp_res
{
    connection.headerBytes += bytes;
    return connection.headerBytes > HeaderCutFactor * options.headerBytes ? EVHTP_RES_FATAL : EVHTP_RES_OK;
}

/// Failure: a body without end. What exceeds the bound is thrown away as it comes: memory stays bounded, the
/// caller still gets its 413, and the read timeout bounds how long it may go on.
auto CallerTask::State::takeBody(Connection &connection, evbuffer *bytes) const -> void
{
    connection.bodyBytes += evbuffer_get_length(bytes);
    if (connection.bodyBytes > options.bodyBytes) {
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
    }
}

auto CallerTask::State::finiRequest(Connection &connection) -> void
{
    if (connection.answering) {
        callerGone(connection.exchange);
    }
    connection.answering = false;
    connection.reading = false;
    connection.since = task::monotonicNow();
    connection.held->endRequest();
}

auto CallerTask::State::handle(evhtp_request *request) -> void
{
    const auto found = connections.find(request->conn);
    if (found == connections.end()) {
        return;
    }
    found->second.reading = false;
    if (evbuffer_get_length(bufferevent_get_output(request->conn->bev)) > options.streamBufferBytes) {
        evhtp_request_pause(request); // its caller does not read the answers that it has
        closeSoon(request->conn);
        return;
    }
    found->second.held->beginWork();
    prepareReply(request);
    try {
        checkBounds(found->second);
        route(request, found->second);
    } catch (const RefusedInput &input) {
        refuseInput(request, input);
    }
}

auto CallerTask::State::checkBounds(const Connection &connection) const -> void
{
    if (connection.headerBytes > options.headerBytes) {
        throw RefusedInput(Reason::HeaderTooLarge, "headers: more than " + std::to_string(options.headerBytes) + " bytes");
    }
    if (connection.bodyBytes > options.bodyBytes) {
        throw RefusedInput(Reason::BodyTooLarge, "body: more than " + std::to_string(options.bodyBytes) + " bytes");
    }
    if (connections.size() > options.connections) {
        throw RefusedInput(Reason::TooManyConnections, "connections: more than " + std::to_string(options.connections));
    }
}

auto CallerTask::State::route(evhtp_request *request, Connection &connection) -> void
{
    const auto path = pathAndQueryOf(request);
    const auto bare = path.substr(0, path.find('?'));
    const auto isPost = evhtp_request_get_method(request) == htp_method_POST;
    const auto isService = bare.starts_with(ServicesPrefix);
    if (bare == EntriesPath) {
        askEntries(request, connection);
        return;
    }
    if (bare == TicketsPath && isPost) {
        askTickets(request, connection);
        return;
    }
    if (!(bare == ChatPath && isPost) && !isService) {
        throw RefusedInput(Reason::BadRequest, "path: no such method and path: " + bare);
    }
    if (draining) {
        answerDraining(request);
        return;
    }
    const auto id = RequestId{ ++lastId };
    const auto publicId = publicIdOf(id);
    submit(request, connection, isService ? readServiceSubmission(request, id, publicId) : readChatSubmission(request, id, publicId));
}

auto CallerTask::State::submit(evhtp_request *request, Connection &connection, Submission submission) -> void
{
    auto &exchange = open(request, connection, submission.arrived.request);
    exchange.publicId = submission.payload->publicId;
    exchange.kind = submission.arrived.kind;
    exchange.stream = submission.payload->stream;
    exchange.keepAnswer = exchange.kind == routing::CallKind::Service && !submission.payload->idempotencyKey.empty();
    exchange.whole.requestId = exchange.publicId;
    exchange.whole.model = submission.arrived.model;
    mailboxes.router.post(std::move(submission));
}

auto CallerTask::State::open(evhtp_request *request, Connection &connection, RequestId id) -> Exchange &
{
    auto &exchange = *(exchanges[id] = std::make_unique<Exchange>());
    exchange.id = id;
    exchange.request = request;
    connection.answering = true;
    connection.exchange = id;
    evhtp_request_pause(request);
    watchCaller(exchange);
    return exchange;
}

//! NOTE a paused connection is not read, so the library does not see the caller close it
auto CallerTask::State::watchCaller(Exchange &exchange) -> void
{
    auto *connection = exchange.request->conn;
    exchange.disconnectWatch = http::DisconnectWatch(loop, bufferevent_getfd(connection->bev), [connection]() { evhtp_connection_free(connection); });

    const auto onOutput = [](evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *context) {
        if (info->n_deleted > 0) {
            auto &known = *static_cast<Connection *>(context);
            if (auto *open = known.owner->find(known.exchange)) {
                known.owner->checkBacklog(*open);
            }
        }
    };
    exchange.drainWatch = evbuffer_add_cb(bufferevent_get_output(connection->bev), onOutput, &connections.at(connection));
}

auto CallerTask::State::askEntries(evhtp_request *request, Connection &connection) -> void
{
    const auto id = RequestId{ ++lastId };
    open(request, connection, id);
    mailboxes.control.post(EntriesAsked{
        .request = id,
        .workspace = queryOf(request, "workspace"),
        .requestClass = queryOf(request, "class"),
        .caller = callerOf(request),
    });
}

auto CallerTask::State::answerEntries(const EntriesAnswered &answer) -> void
{
    auto *exchange = find(answer.request);
    if (exchange == nullptr) {
        return;
    }
    const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(answer.view.keep).count();
    const nlohmann::json document = {
        { "addresses", answer.view.addresses },
        { "keep_ms", keep },
        { "membership_version", answer.view.membershipVersion },
    };
    writeJson(*exchange, document);
}

auto CallerTask::State::writeJson(Exchange &exchange, const nlohmann::json &document) -> void
{
    writeDocument(exchange.request, EVHTP_RES_OK, "application/json", document.dump());
    end(exchange);
}

auto CallerTask::State::askTickets(evhtp_request *request, Connection &connection) -> void
{
    const auto count = queryOf(request, "count");
    std::uint32_t wanted = 1;
    if (!count.empty()) {
        const auto [last, error] = std::from_chars(count.data(), count.data() + count.size(), wanted);
        if (error != std::errc() || last != count.data() + count.size() || wanted < 1 || wanted > MostTickets) {
            throw RefusedInput(Reason::BadRequest, "count: expected 1 to " + std::to_string(MostTickets) + ", got " + count);
        }
    }
    const auto workspace = queryOf(request, "workspace");
    if (workspace.empty()) {
        throw RefusedInput(Reason::BadRequest, "workspace: query argument is missing");
    }
    const auto id = RequestId{ ++lastId };
    open(request, connection, id);
    mailboxes.control.post(TicketsAsked{ .request = id, .workspace = workspace, .count = wanted });
}

auto CallerTask::State::answerTickets(const TicketsAnswered &answer) -> void
{
    if (auto *exchange = find(answer.request)) {
        writeJson(*exchange, { { "tickets", answer.tickets }, { "address", options.address } });
    }
}

auto CallerTask::State::answerStored(const StoredAnswer &answer) -> void
{
    auto *exchange = find(answer.request);
    if (exchange == nullptr || exchange->begun) {
        return;
    }
    addReplyHeader(exchange->request, "Auburnspread-Request", exchange->publicId);
    addReplyHeader(exchange->request, "Auburnspread-Repeated", "yes");
    writeDocument(exchange->request, answer.status, answer.contentType, answer.body);
    end(*exchange);
}

auto CallerTask::State::endAnswer(Exchange &exchange) -> void
{
    if (isKept(exchange)) {
        mailboxes.control.post(AnswerKept{ {
            .request = exchange.id,
            .status = exchange.serviceStatus,
            .contentType = exchange.serviceContentType,
            .body = exchange.keptBody,
        } });
    }
    writeEnd(exchange);
    end(exchange);
}

/// A caller that kept an old answer of /v1/entries is sent to a peer; nothing was run.
auto CallerTask::State::answerDraining(evhtp_request *request) -> void
{
    const routing::Refuse refuse{ .reason = Reason::Draining, .outcome = Outcome::NotRun, .retryAfter = RedirectRetryAfter, .step = "admit" };
    if (options.refused) {
        options.refused(refuse, "");
    }
    writeDraining(request);
}

auto CallerTask::State::writeDraining(evhtp_request *request) -> void
{
    const chat::Refusal refusal{ .reason = Reason::Draining, .outcome = Outcome::NotRun, .retryAfter = RedirectRetryAfter, .step = "admit" };
    addRefusalHeaders(request, refusal);
    if (entries->addresses.empty()) {
        writeDocument(request, reasonInfo(Reason::Draining).status, "application/json", chat::makeRefusalBody(refusal));
        return;
    }
    const auto turn = static_cast<std::size_t>(++lastId) % entries->addresses.size();
    addReplyHeader(request, "Location", "http://" + entries->addresses.at(turn) + pathAndQueryOf(request));
    writeDocument(request, RedirectStatus, "application/json", chat::makeRefusalBody(refusal));
}

auto CallerTask::State::refuseInput(evhtp_request *request, const RefusedInput &input) -> void
{
    const auto &entry = reasonInfo(input.reason());
    routing::Refuse refuse{ .reason = input.reason(), .outcome = Outcome::NotRun, .step = "identify" };
    if (entry.retryHelps) {
        refuse.retryAfter = RedirectRetryAfter;
    }
    if (options.refused) {
        options.refused(refuse, input.what());
    }
    const chat::Refusal refusal{
        .reason = refuse.reason,
        .outcome = refuse.outcome,
        .retryAfter = refuse.retryAfter,
        .step = refuse.step,
        .detail = input.what(),
    };
    addRefusalHeaders(request, refusal);
    endAfterReply(request);
    writeDocument(request, entry.status, "application/json", chat::makeRefusalBody(refusal));
}

auto CallerTask::State::prepareReply(evhtp_request *request) const -> void
{
    if (draining) {
        endAfterReply(request);
    }
}

auto CallerTask::State::take(const CallerMessage &message) -> void
{
    if (const auto *part = std::get_if<AnswerPart>(&message)) {
        if (auto *exchange = find(part->request)) {
            writePart(*exchange, *part);
            checkBacklog(*exchange);
        }
    } else if (const auto *ended = std::get_if<AnswerEnded>(&message)) {
        if (auto *exchange = find(ended->request)) {
            endAnswer(*exchange);
        }
    } else if (const auto *refuse = std::get_if<routing::Refuse>(&message)) {
        takeRefusal(*refuse);
    } else if (const auto *restarted = std::get_if<AnswerRestarted>(&message)) {
        if (auto *exchange = find(restarted->request)) {
            exchange->whole.content.clear();
        }
    } else if (const auto *service = std::get_if<ServiceAnswer>(&message)) {
        if (auto *exchange = find(service->request)) {
            exchange->serviceStatus = service->status;
            exchange->serviceContentType = service->contentType;
        }
    } else if (const auto *published = std::get_if<EntriesPublished>(&message)) {
        entries = published->view;
    } else if (const auto *addresses = std::get_if<EntriesAnswered>(&message)) {
        answerEntries(*addresses);
    } else if (const auto *tickets = std::get_if<TicketsAnswered>(&message)) {
        answerTickets(*tickets);
    } else if (const auto *stored = std::get_if<StoredAnswer>(&message)) {
        answerStored(*stored);
    } else if (std::holds_alternative<routing::DrainStarted>(message)) {
        draining = true;
    }
}

auto CallerTask::State::takeRefusal(const routing::Refuse &refuse) -> void
{
    if (options.refused) {
        options.refused(refuse, "");
    }
    auto *exchange = find(refuse.request);
    if (exchange == nullptr) {
        return;
    }
    //! NOTE the router may know of the drain before this task does; its refusal means the same
    if (refuse.reason == Reason::Draining && !exchange->begun) {
        endAfterReply(exchange->request);
        writeDraining(exchange->request);
        end(*exchange);
        return;
    }
    const auto proper = writeRefusal(*exchange,
                                     {
                                         .reason = refuse.reason,
                                         .outcome = refuse.outcome,
                                         .retryAfter = refuse.retryAfter,
                                         .step = refuse.step,
                                         .peer = refuse.peer,
                                         .requestId = exchange->publicId,
                                     });
    if (proper) {
        end(*exchange);
        return;
    }
    //! NOTE a service's answer that broke off has no error event; ending the connection without the last chunk
    //! is what tells the caller that the answer is not whole
    auto *connection = exchange->request->conn;
    connections.at(connection).answering = false;
    exchanges.erase(refuse.request);
    evhtp_connection_free(connection);
}

auto CallerTask::State::end(Exchange &exchange) -> void
{
    auto *request = exchange.request;
    auto &connection = connections.at(request->conn);
    connection.answering = false;
    connection.since = task::monotonicNow();
    evbuffer_remove_cb_entry(bufferevent_get_output(request->conn->bev), exchange.drainWatch);
    exchanges.erase(exchange.id);
    evhtp_request_resume(request);
}

auto CallerTask::State::callerGone(RequestId id) -> void
{
    exchanges.erase(id);
    mailboxes.router.post(routing::Event(routing::CallerGone{ .request = id }));
}

auto CallerTask::State::checkBacklog(Exchange &exchange) -> void
{
    const auto waiting = evbuffer_get_length(bufferevent_get_output(exchange.request->conn->bev));
    const auto blocked = exchange.blocked ? waiting > options.streamBufferBytes / 2 : waiting > options.streamBufferBytes;
    if (blocked == exchange.blocked) {
        return;
    }
    exchange.blocked = blocked;
    mailboxes.backend.post(CallerBlocked{ .request = exchange.id, .blocked = blocked });
}

auto CallerTask::State::find(RequestId id) -> Exchange *
{
    const auto found = exchanges.find(id);
    return found == exchanges.end() ? nullptr : found->second.get();
}

auto CallerTask::State::publicIdOf(RequestId id) const -> std::string
{
    return options.publicPrefix + "-" + std::to_string(static_cast<std::uint64_t>(id));
}

/// Failure: callers that send a byte now and then, or nothing, hold connections open. Symptom: no connection is
/// left for others. A request must be complete within a bounded time from its beginning, whatever trickles in.
auto CallerTask::State::sweep() -> void
{
    const auto now = task::monotonicNow();
    std::vector<evhtp_connection *> late;
    for (const auto &[handle, connection] : connections) {
        const auto bound = connection.reading ? options.readTimeout : options.idleTimeout;
        if (!connection.answering && now - connection.since > bound) {
            late.push_back(handle);
        }
    }
    for (auto *handle : late) {
        evhtp_connection_free(handle);
    }
    if (stopping && isIdle()) {
        loop.stop();
    }
}

auto CallerTask::State::isIdle() const -> bool
{
    if (!exchanges.empty()) {
        return false;
    }
    return std::all_of(
        connections.begin(), connections.end(), [](const auto &known) { return evbuffer_get_length(bufferevent_get_output(known.second.handle->bev)) == 0; });
}

CallerTask::CallerTask(CallerTaskOptions options, Mailboxes &mailboxes)
    : state_(std::make_unique<State>(std::move(options), mailboxes))
{
}

CallerTask::~CallerTask() = default;

auto CallerTask::listen() -> void
{
    auto &state = *state_;
    const auto &address = state.options.address;
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos) {
        throw std::runtime_error("listen: expected IP:PORT, got " + address);
    }
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    const auto onRequest = [](evhtp_request *request, void *context) { static_cast<State *>(context)->handle(request); };
    const auto onAccept = [](evhtp_connection *connection, void *context) -> evhtp_res { return static_cast<State *>(context)->accept(connection); };
    evhtp_set_gencb(state.server.get(), onRequest, &state);
    evhtp_set_post_accept_cb(state.server.get(), onAccept, &state);
    if (evhtp_bind_socket(state.server.get(), address.substr(0, colon).c_str(), port, ListenBacklog) != 0) {
        throw std::runtime_error("listen: cannot bind " + address + ": " + std::strerror(errno));
    }
    state.sockets.watch(evconnlistener_get_fd(state.server->server));
    state.acceptPause.watch(state.server->server);
}

auto CallerTask::address() const -> std::string
{
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    ::getsockname(evconnlistener_get_fd(state_->server->server), reinterpret_cast<sockaddr *>(&bound), &length);
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &bound.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(bound.sin_port));
}

auto CallerTask::run() -> void
{
    auto &state = *state_;
    const auto inbox = state.loop.receive(state.mailboxes.caller, [&state](const CallerMessage &message) { state.take(message); });
    const auto sweeper = state.loop.every(SweepInterval, [&state]() { state.sweep(); });
    state.loop.run();
}

auto CallerTask::stopWhenIdle() -> void
{
    state_->stopping = true;
}

} // namespace auburnspread::entry
