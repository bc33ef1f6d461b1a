/// \file
/// The deterministic answer of a fake engine. Whoever knows the body of a request knows the whole answer, so a client
/// can check that what it received is whole, in order and its own.

#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnspread::standins
{

/// What decides an answer.
struct Answer {
    std::string canonical;      ///< model name, a line feed, and the messages without spaces and with sorted keys
    std::size_t tokenCount = 0; ///< tokens of the whole answer
    bool cutByLimit = false;    ///< `max_tokens` made it shorter
};

/// Name of a model without version and adapter: `quote-7b` of `quote-7b:3:tile`.
auto modelName(std::string_view model) -> std::string_view;

/// The answer to the chat-completions body \p body.
/// \throws std::invalid_argument if `model` or `messages` is missing or a number cannot be read.
auto answerTo(const nlohmann::json &body) -> Answer;

/// Token \p index of \p answer: five hexadecimal digits and a space.
auto tokenAt(const Answer &answer, std::size_t index) -> std::string;

/// All tokens of \p answer in order.
auto textOf(const Answer &answer) -> std::string;

/// Sixteen hexadecimal digits that identify what was asked.
auto digestOf(const Answer &answer) -> std::string;

/// Sixteen hexadecimal digits: the XXH64 hash of \p text.
auto hashText(std::string_view text, std::size_t seed = 0) -> std::string;
/// Sixteen hexadecimal digits.
auto formatHash(std::uint64_t hash) -> std::string;

} // namespace auburnspread::standins
