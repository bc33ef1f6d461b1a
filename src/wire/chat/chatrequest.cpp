#include "wire/chat/chatrequest.h"

#include <xxhash.h>

#include <algorithm>

namespace auburnspread::chat
{

namespace
{

constexpr std::size_t BytesPerToken = 4; // common for text in Latin script; only an estimate is needed
constexpr std::size_t PrefixBytes = 2048;
constexpr std::size_t DeepestNesting = 32;

auto hashOf(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

//! NOTE a deeply nested body would overflow the parser's stack in later copies, so depth is bounded while parsing
auto parseBounded(std::string_view text) -> nlohmann::json
{
    auto tooDeep = false;
    const auto guard = [&tooDeep](int depth, nlohmann::json::parse_event_t /*event*/, nlohmann::json & /*parsed*/) {
        tooDeep = tooDeep || depth > static_cast<int>(DeepestNesting);
        return !tooDeep;
    };
    auto body = nlohmann::json::parse(text, guard, false);
    if (tooDeep) {
        throw BadRequest("body: nested deeper than " + std::to_string(DeepestNesting));
    }
    if (body.is_discarded()) {
        throw BadRequest("body: not JSON");
    }
    if (!body.is_object()) {
        throw BadRequest("body: expected an object");
    }
    return body;
}

auto checkMessages(const nlohmann::json &body) -> void
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        throw BadRequest("messages: expected a list with at least one message");
    }
    const auto isMessage = [](const nlohmann::json &message) {
        return message.is_object() && message.contains("role") && message.at("role").is_string() && message.contains("content");
    };
    if (!std::all_of(messages->begin(), messages->end(), isMessage)) {
        throw BadRequest("messages: each message needs a role and a content");
    }
}

auto readModel(const nlohmann::json &body, ChatRequest &request) -> void
{
    const auto model = body.find("model");
    if (model == body.end()) {
        return;
    }
    if (!model->is_string()) {
        throw BadRequest("model: expected a text");
    }
    const auto &text = model->get_ref<const std::string &>();
    const auto first = text.find(':');
    request.model = text.substr(0, first);
    if (first == std::string::npos) {
        return;
    }
    const auto second = text.find(':', first + 1);
    request.version = text.substr(first + 1, second == std::string::npos ? second : second - first - 1);
    if (second != std::string::npos) {
        request.adapter = text.substr(second + 1);
    }
}

auto readStream(const nlohmann::json &body) -> bool
{
    const auto stream = body.find("stream");
    if (stream == body.end() || stream->is_null()) {
        return false;
    }
    if (!stream->is_boolean()) {
        throw BadRequest("stream: expected true or false");
    }
    return stream->get<bool>();
}

auto readMaxTokens(const nlohmann::json &body) -> std::uint32_t
{
    constexpr std::int64_t Most = 1'000'000;
    const auto field = body.find("max_tokens");
    if (field == body.end() || field->is_null()) {
        return 0;
    }
    if (!field->is_number_integer() || field->get<std::int64_t>() < 1 || field->get<std::int64_t>() > Most) {
        throw BadRequest("max_tokens: expected a whole number from 1 to " + std::to_string(Most));
    }
    return field->get<std::uint32_t>();
}

} // namespace

auto parseChatRequest(std::string_view text) -> ChatRequest
{
    ChatRequest request;
    request.body = parseBounded(text);
    checkMessages(request.body);
    readModel(request.body, request);
    request.stream = readStream(request.body);
    request.maxTokens = readMaxTokens(request.body);
    request.promptTokens = static_cast<std::uint32_t>(text.size() / BytesPerToken + 1);
    const auto first = request.body.at("messages").front().at("content").dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.prefixHash = hashOf(std::string_view(first).substr(0, PrefixBytes), hashOf(request.model));
    return request;
}

auto makeBackendBody(const nlohmann::json &body, const std::string &model, const std::string &version, const std::string &adapter) -> std::string
{
    auto sent = body;
    sent["stream"] = true;
    sent["model"] = adapter.empty() ? model + ":" + version : model + ":" + version + ":" + adapter;
    return sent.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto makeFingerprint(std::string_view requestClass, std::string_view body) -> Fingerprint
{
    return Fingerprint{ hashOf(body, hashOf(requestClass)) };
}

} // namespace auburnspread::chat
