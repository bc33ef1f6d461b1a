#include "standins/engine/chunkformat.h"

#include <nlohmann/json.hpp>

namespace auburnspread::standins
{

namespace
{

auto quote(std::string_view text) -> std::string
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto chunkHead(const std::string &id, std::size_t offset) -> std::string
{
    return R"(data: {"id":)" + quote(id) + R"(,"object":"chat.completion.chunk","offset":)" + std::to_string(offset);
}

auto usageText(const Usage &usage) -> std::string
{
    return R"({"prompt_tokens":)" + std::to_string(usage.promptTokens) + R"(,"completion_tokens":)" + std::to_string(usage.completionTokens)
        + R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(usage.cachedTokens) + "}}";
}

} // namespace

auto tokenEvent(const std::string &id, std::size_t offset, std::string_view content) -> std::string
{
    return chunkHead(id, offset) + R"(,"choices":[{"index":0,"delta":{"content":)" + quote(content) + R"(},"finish_reason":null}]})" + "\n\n";
}

auto finalEvents(const std::string &id, std::string_view finishReason, const Usage &usage) -> std::string
{
    return chunkHead(id, usage.completionTokens) + R"(,"choices":[{"index":0,"delta":{},"finish_reason":)" + quote(finishReason) + R"(}],"usage":)"
        + usageText(usage) + "}\n\ndata: [DONE]\n\n";
}

auto completionDocument(const std::string &id, const std::string &content, std::string_view finishReason, const Usage &usage) -> std::string
{
    return R"({"id":)" + quote(id) + R"(,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":)" + quote(content)
        + R"(},"finish_reason":)" + quote(finishReason) + R"(}],"usage":)" + usageText(usage) + "}";
}

} // namespace auburnspread::standins
