#include "wire/http/client.h"

#include "core/base/nametable.h"
#include "wire/http/connectionpool.h"
#include "wire/http/internal/rawrequest.h"
#include "wire/http/sendrequest.h"

#include <event2/http.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

namespace auburnspread::http
{

namespace
{

constexpr auto Steps = std::to_array<NamedValue<Step>>({
    { Step::Prepare, "prepare" },
    { Step::Connect, "connect" },
    { Step::Wait, "wait" },
    { Step::Receive, "receive" },
});

constexpr auto Causes = std::to_array<NamedValue<Cause>>({
    { Cause::Invalid, "invalid" },
    { Cause::Timeout, "timeout" },
    { Cause::Closed, "closed" },
    { Cause::Malformed, "malformed" },
    { Cause::TooLarge, "too-large" },
});

auto describe(const Error &error) -> std::string
{
    auto text = std::string(stepName(error.step)) + " " + error.peer + ": " + std::string(causeName(error.cause));
    // an answer that was cut off half-way through differs from a peer that did not answer
    if (error.receivedBytes > 0) {
        text += " after " + std::to_string(error.receivedBytes) + " bytes";
    }
    return error.reusedConnection ? text + " (reused connection)" : text;
}

auto reachedStep(const Connection &connection) -> Step
{
    if (connection.receivedBytes > 0) {
        return Step::Receive;
    }
    return connection.hasSent ? Step::Wait : Step::Connect;
}

auto makeError(const Connection &connection, Cause cause) -> Error
{
    Error error{
        .step = reachedStep(connection),
        .cause = cause,
        .peer = connection.peer,
        .receivedBytes = connection.receivedBytes,
        .reusedConnection = connection.wasUsedBefore,
    };
    error.text = describe(error);
    return error;
}

/// Whether the peer had most likely ended the connection while it was idle.
auto isStaleConnection(const Error &error) -> bool
{
    return error.reusedConnection && error.step == Step::Wait && error.cause == Cause::Closed;
}

auto makeInvalid(const std::string &peer, std::string_view what) -> Error
{
    return Error{ .peer = peer, .text = "prepare " + peer + ": invalid " + std::string(what) };
}

/// Our own timer decides; evhttp's stays behind it, so that it cannot cut a long poll short.
auto placeLibraryTimeout(const Connection &connection, Duration timeout) -> void
{
    constexpr int SecondsBehind = 60;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout).count();
    evhttp_connection_set_timeout(connection.raw.get(), static_cast<int>(seconds) + SecondsBehind);
}

struct Exchange {
    OnDone onDone;
    std::optional<Request> resend; ///< what to send if the reused connection turns out to be dead
    std::unique_ptr<Connection> connection;
    TimePoint endsAt; ///< of the whole exchange
    std::optional<Duration> silenceTimeout;
    task::Watch timer;
};

} // namespace

class Client::Impl
{
public:
    Impl(task::EventLoop &loop, const ClientOptions &options)
        : loop_(loop)
        , pool_(loop, options)
    {
    }

    auto fetch(const Request &request, OnDone onDone) -> Handle;
    auto cancel(Handle handle) -> void;
    [[nodiscard]] auto idleConnections() const -> std::size_t;

private:
    auto begin(Handle handle, Exchange &exchange, const Request &request) -> void;
    auto start(Handle handle, Exchange &exchange, const Request &request) -> std::optional<Error>;
    auto takeResponse(Handle handle, evhttp_request *raw) -> void;
    auto armTimer(Handle handle, Exchange &exchange, TimePoint heardAt) -> void;
    auto checkTimeout(Handle handle) -> void;
    auto timeOut(Handle handle) -> void;
    auto finish(Handle handle, Result result) -> void;

    task::EventLoop &loop_;
    ConnectionPool pool_;
    std::uint64_t lastHandle_ = 0;
    std::map<Handle, Exchange> exchanges_;
};

auto Client::Impl::fetch(const Request &request, OnDone onDone) -> Handle
{
    const auto handle = static_cast<Handle>(++lastHandle_);
    auto &exchange = exchanges_[handle];
    exchange.onDone = std::move(onDone);
    if (request.isIdempotent) {
        exchange.resend = request;
        exchange.resend->freshConnection = true;
    }
    const auto now = task::monotonicNow();
    exchange.endsAt = now + request.timeout;
    exchange.silenceTimeout = request.silenceTimeout;
    armTimer(handle, exchange, now);
    begin(handle, exchange, request);
    return handle;
}

// An error at once is told on the loop's next turn, when the caller knows its handle.
auto Client::Impl::begin(Handle handle, Exchange &exchange, const Request &request) -> void
{
    if (const auto error = start(handle, exchange, request)) {
        exchange.timer = loop_.after(Duration(0), [this, handle, error]() { finish(handle, *error); });
    }
}

auto Client::Impl::start(Handle handle, Exchange &exchange, const Request &request) -> std::optional<Error>
{
    const auto endpoint = net::parseEndpoint(request.address);
    if (!endpoint) {
        return makeInvalid(request.address, "address");
    }
    if (!detail::isValidPath(request.path)) {
        return makeInvalid(request.address, "path");
    }
    auto connection = pool_.take(request.address, *endpoint, request.freshConnection);
    auto raw = detail::makeRaw(request, *connection);
    if (!raw) {
        pool_.retire(std::move(connection));
        return makeInvalid(request.address, "header");
    }
    placeLibraryTimeout(*connection, request.timeout);
    // evhttp owns the request from here on; a connect that fails at once calls back from within
    bool hasFailed = false;
    connection->onDone = [&hasFailed](evhttp_request * /*done*/) { hasFailed = true; };
    const auto isStarted = sendRequest(connection->raw.get(), raw.release(), detail::toEvhttp(request.method), request.path, request.body);
    if (!isStarted || hasFailed) {
        auto error = makeError(*connection, Cause::Closed);
        pool_.retire(std::move(connection));
        return error;
    }
    connection->onDone = [this, handle](evhttp_request *done) { takeResponse(handle, done); };
    exchange.connection = std::move(connection);
    return std::nullopt;
}

// evhttp passes no request after an error, and one without status if the connection was never made.
auto Client::Impl::takeResponse(Handle handle, evhttp_request *raw) -> void
{
    auto &exchange = exchanges_.at(handle);
    auto connection = std::move(exchange.connection);
    if (raw != nullptr && evhttp_request_get_response_code(raw) != 0) {
        auto response = detail::readResponse(raw);
        pool_.keep(std::move(connection));
        finish(handle, std::move(response));
        return;
    }
    auto error = makeError(*connection, connection->error ? detail::toCause(*connection->error) : Cause::Closed);
    pool_.retire(std::move(connection));
    if (exchange.resend && isStaleConnection(error)) {
        const auto request = *std::exchange(exchange.resend, std::nullopt);
        begin(handle, exchange, request);
        return;
    }
    finish(handle, std::move(error));
}

auto Client::Impl::armTimer(Handle handle, Exchange &exchange, TimePoint heardAt) -> void
{
    const auto endsAt = exchange.silenceTimeout ? std::min(exchange.endsAt, heardAt + *exchange.silenceTimeout) : exchange.endsAt;
    const auto pause = std::max(Duration::zero(), endsAt - task::monotonicNow());
    exchange.timer = loop_.after(pause, [this, handle]() { checkTimeout(handle); });
}

/// Time over for want of bytes is counted from the last one that came.
auto Client::Impl::checkTimeout(Handle handle) -> void
{
    auto &exchange = exchanges_.at(handle);
    const auto now = task::monotonicNow();
    const auto heardAt = exchange.connection->lastReceivedAt;
    const auto isSilent = !exchange.silenceTimeout || now - heardAt >= *exchange.silenceTimeout;
    if (isSilent || now >= exchange.endsAt) {
        timeOut(handle);
    } else {
        armTimer(handle, exchange, heardAt);
    }
}

// A connection that went silent has siblings which the same fault may have struck: those that wait are closed too,
// so that the next exchange with this address proves itself on a new connection.
auto Client::Impl::timeOut(Handle handle) -> void
{
    auto connection = std::move(exchanges_.at(handle).connection);
    auto error = makeError(*connection, Cause::Timeout);
    pool_.closeIdle(connection->peer);
    pool_.giveUp(std::move(connection), Interruption::Allowed);
    finish(handle, std::move(error));
}

auto Client::Impl::finish(Handle handle, Result result) -> void
{
    const auto exchange = exchanges_.extract(handle);
    exchange.mapped().onDone(std::move(result));
}

auto Client::Impl::cancel(Handle handle) -> void
{
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end()) {
        return;
    }
    if (found->second.connection) {
        pool_.giveUp(std::move(found->second.connection), Interruption::Allowed);
    }
    exchanges_.erase(found);
}

auto Client::Impl::idleConnections() const -> std::size_t
{
    return pool_.idleCount();
}

auto stepName(Step step) -> std::string_view
{
    return findName(Steps, step);
}

auto causeName(Cause cause) -> std::string_view
{
    return findName(Causes, cause);
}

auto provesNotSent(const Error &error) -> bool
{
    return error.step == Step::Prepare || error.step == Step::Connect;
}

Client::Client(task::EventLoop &loop, ClientOptions options)
    : impl_(std::make_unique<Impl>(loop, options))
{
}

Client::~Client() = default;

auto Client::fetch(const Request &request, OnDone onDone) -> Handle
{
    return impl_->fetch(request, std::move(onDone));
}

auto Client::cancel(Handle handle) -> void
{
    impl_->cancel(handle);
}

auto Client::idleConnections() const -> std::size_t
{
    return impl_->idleConnections();
}

} // namespace auburnspread::http
