/// \file
/// The texts of a chat completion: events of a stream and the single document.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace auburnspread::standins
{

struct Usage {
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0; ///< of the prompt's tokens, those found in the prefix cache
    std::size_t completionTokens = 0;
};

/// Event with the token \p content at \p offset for the attempt \p id.
auto tokenEvent(const std::string &id, std::size_t offset, std::string_view content) -> std::string;
/// The event that ends an answer, and the stream's terminator.
auto finalEvents(const std::string &id, std::string_view finishReason, const Usage &usage) -> std::string;
/// The whole answer as one JSON document.
auto completionDocument(const std::string &id, const std::string &content, std::string_view finishReason, const Usage &usage) -> std::string;

} // namespace auburnspread::standins
