#include "entry/caller/internal/requestreader.h"

#include "wire/chat/chatrequest.h"

#include <evhtp/evhtp.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace auburnspread::entry
{

namespace
{

constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::size_t LongestName = 256;

auto bodyOf(evhtp_request *request) -> std::string
{
    auto *buffer = request->buffer_in;
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

auto readName(evhtp_request *request, const char *header) -> std::string
{
    auto name = headerOf(request, header);
    if (name.empty()) {
        throw RefusedInput(Reason::BadRequest, std::string(header) + ": header is missing");
    }
    if (name.size() > LongestName) {
        throw RefusedInput(Reason::BadRequest, std::string(header) + ": longer than " + std::to_string(LongestName));
    }
    return name;
}

auto readRepeatable(evhtp_request *request) -> std::optional<bool>
{
    const auto text = headerOf(request, "Auburnspread-Repeatable");
    if (text.empty()) {
        return std::nullopt;
    }
    if (text != "yes" && text != "no") {
        throw RefusedInput(Reason::BadRequest, "Auburnspread-Repeatable: expected yes or no, got " + text);
    }
    return text == "yes";
}

auto readDeadline(evhtp_request *request) -> std::optional<Duration>
{
    constexpr std::int64_t LongestMs = 3'600'000;
    const auto text = headerOf(request, "Auburnspread-Deadline-Ms");
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > LongestMs) {
        throw RefusedInput(Reason::BadRequest, "Auburnspread-Deadline-Ms: expected 1 to " + std::to_string(LongestMs) + ", got " + text);
    }
    return std::chrono::milliseconds(value);
}

auto methodName(evhtp_request *request) -> std::string
{
    constexpr auto Methods = std::to_array<std::pair<htp_method, std::string_view>>({
        { htp_method_GET, "GET" },
        { htp_method_HEAD, "HEAD" },
        { htp_method_POST, "POST" },
        { htp_method_PUT, "PUT" },
        { htp_method_DELETE, "DELETE" },
        { htp_method_OPTIONS, "OPTIONS" },
        { htp_method_PATCH, "PATCH" },
    });
    for (const auto &[method, name] : Methods) {
        if (method == evhtp_request_get_method(request)) {
            return std::string(name);
        }
    }
    throw RefusedInput(Reason::BadRequest, "method: not supported");
}

auto readCommon(evhtp_request *request, RequestId id, routing::RequestArrived &arrived) -> void
{
    arrived.request = id;
    arrived.workspace = readName(request, "Auburnspread-Workspace");
    arrived.idempotencyKey = headerOf(request, "Idempotency-Key");
    if (arrived.idempotencyKey.size() > LongestName) {
        throw RefusedInput(Reason::BadRequest, "Idempotency-Key: longer than " + std::to_string(LongestName));
    }
    arrived.repeatable = readRepeatable(request);
    arrived.deadline = readDeadline(request);
}

auto readService(const std::string &pathAndQuery, routing::RequestArrived &arrived) -> void
{
    const auto rest = std::string_view(pathAndQuery).substr(ServicesPrefix.size());
    const auto slash = rest.find('/');
    arrived.service = std::string(rest.substr(0, slash));
    if (arrived.service.empty()) {
        throw RefusedInput(Reason::UnknownService, "path: expected /services/<name>/<path>");
    }
    arrived.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
}

} // namespace

RefusedInput::RefusedInput(Reason refusalReason, const std::string &detail)
    : std::runtime_error(detail)
    , reason_(refusalReason)
{
}

auto RefusedInput::reason() const -> Reason
{
    return reason_;
}

auto readChatSubmission(evhtp_request *request, RequestId id, const std::string &publicId) -> Submission
{
    routing::RequestArrived arrived{ .kind = routing::CallKind::Chat };
    readCommon(request, id, arrived);
    arrived.requestClass = readName(request, "Auburnspread-Class");
    arrived.method = "POST";
    const auto body = bodyOf(request);
    try {
        auto chat = chat::parseChatRequest(body);
        arrived.model = chat.model;
        arrived.version = chat.version;
        arrived.adapter = chat.adapter;
        arrived.promptTokens = chat.promptTokens;
        arrived.maxTokens = chat.maxTokens;
        arrived.prefixHash = chat.prefixHash;
        arrived.stream = chat.stream;
        arrived.fingerprint = chat::makeFingerprint(arrived.requestClass, body);
        auto payload = std::make_shared<Payload>();
        payload->kind = routing::CallKind::Chat;
        payload->stream = chat.stream;
        payload->chatBody = std::move(chat.body);
        payload->publicId = publicId;
        return { .arrived = std::move(arrived), .payload = std::move(payload) };
    } catch (const chat::BadRequest &error) {
        throw RefusedInput(Reason::BadRequest, error.what());
    }
}

auto readServiceSubmission(evhtp_request *request, RequestId id, const std::string &publicId) -> Submission
{
    routing::RequestArrived arrived{ .kind = routing::CallKind::Service, .stream = false };
    readCommon(request, id, arrived);
    arrived.requestClass = headerOf(request, "Auburnspread-Class");
    arrived.method = methodName(request);
    readService(pathAndQueryOf(request), arrived);
    auto payload = std::make_shared<Payload>();
    payload->kind = routing::CallKind::Service;
    payload->method = arrived.method;
    payload->pathAndQuery = arrived.path;
    payload->contentType = headerOf(request, "Content-Type");
    payload->idempotencyKey = arrived.idempotencyKey;
    payload->publicId = publicId;
    payload->body = bodyOf(request);
    arrived.fingerprint = chat::makeFingerprint(arrived.service, arrived.method + arrived.path + payload->body);
    arrived.path = arrived.path.substr(0, arrived.path.find('?'));
    return { .arrived = std::move(arrived), .payload = std::move(payload) };
}

auto headerOf(evhtp_request *request, const char *name) -> std::string
{
    const auto *value = evhtp_header_find(request->headers_in, name);
    return value == nullptr ? std::string() : std::string(value);
}

auto queryOf(evhtp_request *request, const char *name) -> std::string
{
    if (request->uri == nullptr || request->uri->query == nullptr) {
        return {};
    }
    const auto *value = evhtp_kv_find(request->uri->query, name);
    return value == nullptr ? std::string() : std::string(value);
}

auto callerOf(evhtp_request *request) -> std::string
{
    const auto *address = reinterpret_cast<const sockaddr_in *>(request->conn->saddr);
    if (address == nullptr || address->sin_family != AF_INET) {
        return {};
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    return text.data();
}

auto pathAndQueryOf(evhtp_request *request) -> std::string
{
    if (request->uri == nullptr || request->uri->path == nullptr || request->uri->path->full == nullptr) {
        return {};
    }
    std::string path = request->uri->path->full;
    if (request->uri->query_raw != nullptr && *request->uri->query_raw != '\0') {
        path += '?';
        path += reinterpret_cast<const char *>(request->uri->query_raw);
    }
    return path;
}

} // namespace auburnspread::entry
