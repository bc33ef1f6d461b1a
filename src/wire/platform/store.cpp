#include "wire/platform/store.h"

#include "core/base/nametable.h"
#include "wire/platform/internal/codec.h"
#include "wire/platform/internal/results.h"
#include "wire/text/uripath.h"

#include <array>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace auburnspread::platform
{

namespace
{

constexpr auto CallOutcomes = std::to_array<NamedValue<CallOutcome>>({
    { CallOutcome::Answered, "answered" },
    { CallOutcome::Limited, "limited" },
    { CallOutcome::Failed, "failed" },
});

/// Of a read as long as its bytes come: the largest value, 1 MB and as text a third more, takes 11 s at 1 Mbit/s. Failure: bounded as
/// a whole, an answer that is longer than a narrow link carries in time is thrown away and asked for again, for ever.
constexpr Duration TransferTimeout = std::chrono::seconds(15);

/// \p silence: longest time without a byte of the answer.
auto makeRead(std::string path, Duration silence) -> http::Request
{
    return { .path = std::move(path), .timeout = silence + TransferTimeout, .silenceTimeout = silence, .isIdempotent = true };
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
    return "/v1/kv/" + text::encodeUriPath(key);
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
        add("acquire", text::encodeUriPath(put.acquire));
    }
    if (!put.release.empty()) {
        add("release", text::encodeUriPath(put.release));
    }
    return query;
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
    return read(CallKind::Wait, path, silenceOf(waiting), std::move(onRead));
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
                [this, onSession = std::move(onSession)](const http::Result &result) { onSession(detail::toCreatedSession(result, options_.address)); });
}

auto Store::renewSession(const std::string &id, OnSession onSession) -> Call
{
    return send(
        CallKind::SessionRenew,
        { .method = http::Method::Put, .path = "/v1/session/renew/" + text::encodeUriPath(id), .timeout = options_.timeout, .isIdempotent = true },
        [this, id, onSession = std::move(onSession)](const http::Result &result) { onSession(detail::toRenewedSession(result, options_.address, id)); });
}

auto Store::destroySession(const std::string &id, OnWritten onWritten) -> Call
{
    return write(CallKind::SessionDestroy, { .method = http::Method::Put, .path = "/v1/session/destroy/" + text::encodeUriPath(id) }, std::move(onWritten));
}

auto Store::listVms(const std::optional<Waiting> &waiting, OnVms onVms) -> Call
{
    return send(CallKind::Vms,
                waiting ? makeRead("/v1/vms?" + waitQuery(*waiting), silenceOf(*waiting)) : makeRead("/v1/vms", options_.timeout),
                [this, onVms = std::move(onVms)](const http::Result &result) { onVms(detail::toVmResult(result, options_.address)); });
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
            options_.onCall(kind, detail::outcomeOf(result));
        }
        onDone(std::move(result));
    });
}

auto Store::read(CallKind kind, const std::string &path, Duration silence, OnRead onRead) -> Call
{
    return send(kind, makeRead(path, silence), [this, onRead = std::move(onRead)](const http::Result &result) {
        onRead(detail::toReadResult(result, options_.address));
    });
}

auto Store::write(CallKind kind, http::Request request, OnWritten onWritten) -> Call
{
    request.timeout = options_.timeout;
    return send(kind, std::move(request), [this, onWritten = std::move(onWritten)](const http::Result &result) {
        onWritten(detail::toWriteResult(result, options_.address));
    });
}

// The service adds up to a sixteenth to the waiting time, so that waiting clients do not return all at once.
auto Store::silenceOf(const Waiting &waiting) const -> Duration
{
    constexpr int SpreadShare = 16;
    return waiting.wait + waiting.wait / SpreadShare + options_.timeout;
}

} // namespace auburnspread::platform
