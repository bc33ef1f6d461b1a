/// \file
/// Answers: the chunks of a backend server's stream, and what the caller gets.

#pragma once

#include "core/base/reason.h"
#include "core/base/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::chat
{

/// Data of the event that ends a whole stream.
constexpr std::string_view StreamTerminator = "[DONE]";

/// One event of a backend server's stream.
struct AnswerChunk {
    std::string id;
    std::uint32_t offset = 0;
    std::string content;
    std::string finishReason; ///< set on the last event only
    nlohmann::json document;  ///< the event as received
};

/// Nothing if the data is not a chunk of this protocol.
auto parseAnswerChunk(std::string_view data) -> std::optional<AnswerChunk>;

/// The event for the caller: the chunk under the request's own id.
auto makeCallerEvent(AnswerChunk chunk, const std::string &requestId) -> std::string;

/// The one document of an answer that is not streamed.
struct WholeAnswer {
    std::string requestId;
    std::string model;
    std::string content;
    std::string finishReason;
    nlohmann::json usage;
};
auto makeWholeAnswer(const WholeAnswer &answer) -> std::string;

struct Refusal {
    Reason reason{};
    Outcome outcome = Outcome::NotRun;
    std::optional<Duration> retryAfter;
    std::string step;
    std::string peer;
    std::string detail;
    std::string requestId;
};

/// JSON body of a refusal; also the data of the SSE error event that ends a broken stream.
auto makeRefusalBody(const Refusal &refusal) -> std::string;

} // namespace auburnspread::chat
