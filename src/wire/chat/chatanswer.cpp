#include "wire/chat/chatanswer.h"

namespace auburnspread::chat
{

namespace
{

auto dumpReplacing(const nlohmann::json &document) -> std::string
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto textField(const nlohmann::json &object, const char *key) -> std::string
{
    const auto field = object.find(key);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

auto readChoice(const nlohmann::json &choice, AnswerChunk &chunk) -> bool
{
    if (!choice.is_object()) {
        return false;
    }
    chunk.finishReason = textField(choice, "finish_reason");
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object()) {
        return false;
    }
    chunk.content = textField(*delta, "content");
    return true;
}

} // namespace

auto parseAnswerChunk(std::string_view data) -> std::optional<AnswerChunk>
{
    AnswerChunk chunk;
    chunk.document = nlohmann::json::parse(data, nullptr, false);
    if (!chunk.document.is_object()) {
        return std::nullopt;
    }
    chunk.id = textField(chunk.document, "id");
    const auto offset = chunk.document.find("offset");
    const auto choices = chunk.document.find("choices");
    if (offset == chunk.document.end() || !offset->is_number_unsigned() || choices == chunk.document.end() || !choices->is_array() || choices->empty()) {
        return std::nullopt;
    }
    chunk.offset = offset->get<std::uint32_t>();
    if (!readChoice(choices->front(), chunk)) {
        return std::nullopt;
    }
    return chunk;
}

auto makeCallerEvent(AnswerChunk chunk, const std::string &requestId) -> std::string
{
    chunk.document["id"] = requestId;
    return dumpReplacing(chunk.document);
}

auto makeWholeAnswer(const WholeAnswer &answer) -> std::string
{
    return dumpReplacing({
        { "id", answer.requestId },
        { "object", "chat.completion" },
        { "model", answer.model },
        { "choices",
          { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", answer.content } } }, { "finish_reason", answer.finishReason } } } },
        { "usage", answer.usage },
    });
}

auto makeRefusalBody(const Refusal &refusal) -> std::string
{
    nlohmann::json error = {
        { "type", reasonInfo(refusal.reason).name },
        { "outcome", outcomeName(refusal.outcome) },
        { "message", reasonInfo(refusal.reason).explanation },
        { "request", refusal.requestId },
    };
    if (!refusal.step.empty()) {
        error["step"] = refusal.step;
    }
    if (!refusal.peer.empty()) {
        error["peer"] = refusal.peer;
    }
    if (!refusal.detail.empty()) {
        error["detail"] = refusal.detail;
    }
    if (refusal.retryAfter) {
        error["retry_after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*refusal.retryAfter).count();
    }
    return dumpReplacing({ { "error", error } });
}

} // namespace auburnspread::chat
