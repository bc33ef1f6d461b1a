#include "wire/platform/store.h"

#include "core/base/nametable.h"
#include "wire/platform/internal/codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace auburnspread::platform
{

namespace
{

constexpr int OkStatus = 200;
constexpr int FirstClientErrorStatus = 400;
constexpr int NotFoundStatus = 404;
constexpr int ConflictStatus = 409;
constexpr int LimitedStatus = 429;
constexpr int FirstServerErrorStatus = 500;

constexpr auto CallOutcomes = std::to_array<NamedValue<CallOutcome>>({
    { CallOutcome::Answered, "answered" },
    { CallOutcome::Limited, "limited" },
    { CallOutcome::Failed, "failed" },
});

auto outcomeOf(const http::Result &result) -> CallOutcome
{
    const auto *response = std::get_if<http::Response>(&result);
    if (response == nullptr || response->status >= FirstServerErrorStatus) {
        return CallOutcome::Failed;
    }
    return response->status == LimitedStatus ? CallOutcome::Limited : CallOutcome::Answered;
}

auto toFailure(const http::Error &error) -> Failure
{
    return { .step = error.step, .peer = error.peer, .text = "platform: " + error.text };
}

auto toFailure(const http::Response &response, const std::string &peer) -> Failure
{
    constexpr std::size_t LongestShown = 200;
    return { .step = http::Step::Receive,
             .status = response.status,
             .peer = peer,
             .text = "platform: " + peer + " answered " + std::to_string(response.status) + " " + response.body.substr(0, LongestShown) };
}

auto readIndex(const http::Response &response) -> std::uint64_t
{
    const auto text = http::findHeader(response.headers, "X-Consul-Index");
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

/// "10s", or "1500ms" for what is not whole seconds.
auto formatDuration(Duration duration) -> std::string
{
    constexpr auto Second = std::chrono::seconds(1);
    if (duration % Second == Duration(0)) {
        return std::to_string(duration / Second) + "s";
    }
    return std::to_string(duration / std::chrono::milliseconds(1)) + "ms";
}

auto waitQuery(const Waiting &waiting) -> std::string
{
    return "index=" + std::to_string(waiting.index) + "&wait=" + formatDuration(waiting.wait);
}

auto keyPath(const std::string &key) -> std::string
{
    return "/v1/kv/" + detail::encodeKey(key);
}

auto putQuery(const Put &put) -> std::string
{
    std::string query;
    const auto add
        = [&query](std::string_view name, const std::string &value) { query.append(query.empty() ? "?" : "&").append(name).append("=").append(value); };
    if (put.index) {
        add("cas", std::to_string(*put.index));
    }
    if (!put.acquire.empty()) {
        add("acquire", detail::encodeKey(put.acquire));
    }
    if (!put.release.empty()) {
        add("release", detail::encodeKey(put.release));
    }
    return query;
}

/// What an answer without success says of a write. A server error may come after the write was handed on.
auto refusalVerdict(int status) -> Verdict
{
    if (status == ConflictStatus) {
        return Verdict::Conflict;
    }
    if (status == LimitedStatus) {
        return Verdict::Unavailable;
    }
    const auto isClientError = status >= FirstClientErrorStatus && status < FirstServerErrorStatus;
    return isClientError ? Verdict::Rejected : Verdict::Unknown;
}

/// A write's 200 has the body true, false or, for a transaction, an object.
auto successVerdict(std::string_view body) -> Verdict
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (answer.is_boolean()) {
        return answer.get<bool>() ? Verdict::Applied : Verdict::Conflict;
    }
    return answer.is_object() ? Verdict::Applied : Verdict::Unknown;
}

auto toWriteResult(const http::Result &result, const std::string &peer) -> WriteResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return { .verdict = http::provesNotSent(*error) ? Verdict::Unavailable : Verdict::Unknown, .failure = toFailure(*error) };
    }
    const auto &response = std::get<http::Response>(result);
    const auto verdict = response.status == OkStatus ? successVerdict(response.body) : refusalVerdict(response.status);
    if (verdict == Verdict::Applied) {
        return { .verdict = verdict };
    }
    return { .verdict = verdict, .conflicts = detail::parseConflicts(response.body), .failure = toFailure(response, peer) };
}

auto toReadResult(const http::Result &result, const std::string &peer) -> ReadResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return toFailure(*error);
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status == NotFoundStatus) {
        return Snapshot{ .index = readIndex(response) };
    }
    auto entries = response.status == OkStatus ? detail::parseEntries(response.body) : std::nullopt;
    if (!entries) {
        return toFailure(response, peer);
    }
    return Snapshot{ .entries = std::move(*entries), .index = readIndex(response) };
}

auto toVmResult(const http::Result &result, const std::string &peer) -> VmResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return toFailure(*error);
    }
    const auto &response = std::get<http::Response>(result);
    auto vms = response.status == OkStatus ? detail::parseVms(response.body) : std::nullopt;
    if (!vms) {
        return toFailure(response, peer);
    }
    return VmList{ .vms = std::move(*vms), .index = readIndex(response) };
}

auto toCreatedSession(const http::Result &result, const std::string &peer) -> SessionResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return { .failure = toFailure(*error) };
    }
    const auto &response = std::get<http::Response>(result);
    const auto id = response.status == OkStatus ? detail::parseSessionId(response.body) : std::nullopt;
    if (!id) {
        return { .failure = toFailure(response, peer) };
    }
    return { .state = SessionState::Live, .id = *id };
}

auto toRenewedSession(const http::Result &result, const std::string &peer, const std::string &id) -> SessionResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return { .failure = toFailure(*error) };
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status == OkStatus) {
        return { .state = SessionState::Live, .id = id };
    }
    const auto state = response.status == NotFoundStatus ? SessionState::Gone : SessionState::Unknown;
    return { .state = state, .failure = toFailure(response, peer) };
}

} // namespace

auto callOutcomeName(CallOutcome outcome) -> std::string_view
{
    return findName(CallOutcomes, outcome);
}

Store::Store(task::EventLoop &loop, StoreOptions options)
    : options_(std::move(options))
    , client_(loop)
{
}

auto Store::get(const std::string &key, OnRead onRead) -> Call
{
    return read(CallKind::Get, keyPath(key), options_.timeout, std::move(onRead));
}

auto Store::list(const std::string &prefix, OnRead onRead) -> Call
{
    return read(CallKind::List, keyPath(prefix) + "?recurse", options_.timeout, std::move(onRead));
}

auto Store::wait(const std::string &key, bool isPrefix, const Waiting &waiting, OnRead onRead) -> Call
{
    const auto path = keyPath(key) + (isPrefix ? "?recurse&" : "?") + waitQuery(waiting);
    return read(CallKind::Wait, path, timeoutOf(waiting), std::move(onRead));
}

auto Store::put(const Put &put, OnWritten onWritten) -> Call
{
    return write(CallKind::Put, { .method = http::Method::Put, .path = keyPath(put.key) + putQuery(put), .body = put.value }, std::move(onWritten));
}

auto Store::create(const std::string &key, const std::string &value, OnWritten onWritten) -> Call
{
    return put({ .key = key, .value = value, .index = 0 }, std::move(onWritten));
}

auto Store::createAll(const std::vector<Creation> &creations, OnWritten onWritten) -> Call
{
    if (creations.size() > MostCreations) {
        throw std::invalid_argument("platform: a transaction holds at most " + std::to_string(MostCreations) + " operations");
    }
    return write(CallKind::Transaction, { .method = http::Method::Put, .path = "/v1/txn", .body = detail::encodeCreations(creations) }, std::move(onWritten));
}

auto Store::remove(const std::string &key, std::optional<std::uint64_t> index, OnWritten onWritten) -> Call
{
    const auto query = index ? "?cas=" + std::to_string(*index) : "";
    return write(CallKind::Delete, { .method = http::Method::Delete, .path = keyPath(key) + query }, std::move(onWritten));
}

auto Store::createSession(const std::string &name, Duration lifetime, OnSession onSession) -> Call
{
    const nlohmann::json body = { { "TTL", formatDuration(lifetime) }, { "Behavior", "delete" }, { "Name", name } };
    return send(CallKind::SessionCreate,
                { .method = http::Method::Put, .path = "/v1/session/create", .body = body.dump(), .timeout = options_.timeout },
                [this, onSession = std::move(onSession)](const http::Result &result) { onSession(toCreatedSession(result, options_.address)); });
}

auto Store::renewSession(const std::string &id, OnSession onSession) -> Call
{
    return send(CallKind::SessionRenew,
                { .method = http::Method::Put, .path = "/v1/session/renew/" + detail::encodeKey(id), .timeout = options_.timeout, .isIdempotent = true },
                [this, id, onSession = std::move(onSession)](const http::Result &result) { onSession(toRenewedSession(result, options_.address, id)); });
}

auto Store::destroySession(const std::string &id, OnWritten onWritten) -> Call
{
    return write(CallKind::SessionDestroy, { .method = http::Method::Put, .path = "/v1/session/destroy/" + detail::encodeKey(id) }, std::move(onWritten));
}

auto Store::listVms(const std::optional<Waiting> &waiting, OnVms onVms) -> Call
{
    return send(
        CallKind::Vms,
        { .path = waiting ? "/v1/vms?" + waitQuery(*waiting) : "/v1/vms", .timeout = waiting ? timeoutOf(*waiting) : options_.timeout, .isIdempotent = true },
        [this, onVms = std::move(onVms)](const http::Result &result) { onVms(toVmResult(result, options_.address)); });
}

auto Store::cancel(Call call) -> void
{
    client_.cancel(call);
}

auto Store::send(CallKind kind, http::Request request, std::function<void(http::Result)> onDone) -> Call
{
    request.address = options_.address;
    return client_.fetch(request, [this, kind, onDone = std::move(onDone)](http::Result result) {
        if (options_.onCall) {
            options_.onCall(kind, outcomeOf(result));
        }
        onDone(std::move(result));
    });
}

auto Store::read(CallKind kind, const std::string &path, Duration timeout, OnRead onRead) -> Call
{
    return send(kind, { .path = path, .timeout = timeout, .isIdempotent = true }, [this, onRead = std::move(onRead)](const http::Result &result) {
        onRead(toReadResult(result, options_.address));
    });
}

auto Store::write(CallKind kind, http::Request request, OnWritten onWritten) -> Call
{
    request.timeout = options_.timeout;
    return send(
        kind, std::move(request), [this, onWritten = std::move(onWritten)](const http::Result &result) { onWritten(toWriteResult(result, options_.address)); });
}

// The service adds up to a sixteenth to the waiting time, so that waiting clients do not return all at once.
auto Store::timeoutOf(const Waiting &waiting) const -> Duration
{
    constexpr int SpreadShare = 16;
    return waiting.wait + waiting.wait / SpreadShare + options_.timeout;
}

} // namespace auburnspread::platform
