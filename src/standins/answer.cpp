#include "standins/answer.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace auburnspread::standins
{

namespace
{

constexpr std::size_t TokenDigits = 5;
constexpr std::size_t ShortestAnswer = 20;
constexpr std::size_t AnswerSpread = 200;

auto hashNumber(std::string_view text, std::size_t seed) -> XXH64_hash_t
{
    return XXH64(text.data(), text.size(), seed);
}

auto readCount(const nlohmann::json &value, const char *field) -> std::size_t
{
    if (value.is_number_unsigned()) {
        return value.get<std::size_t>();
    }
    if (value.is_string()) {
        const auto text = value.get<std::string>();
        std::size_t count = 0;
        const auto *end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, count);
        if (result.ec == std::errc() && result.ptr == end) {
            return count;
        }
    }
    throw std::invalid_argument(std::string(field) + " is not a count");
}

auto wantedTokens(const nlohmann::json &body, std::string_view canonical) -> std::size_t
{
    const auto metadata = body.find("metadata");
    if (metadata != body.end() && metadata->is_object() && metadata->contains("answer_tokens")) {
        return readCount(metadata->at("answer_tokens"), "metadata.answer_tokens");
    }
    return ShortestAnswer + hashNumber(canonical, 0) % AnswerSpread;
}

} // namespace

auto modelName(std::string_view model) -> std::string_view
{
    return model.substr(0, model.find(':'));
}

auto answerTo(const nlohmann::json &body) -> Answer
{
    if (!body.is_object() || !body.contains("messages") || !body.contains("model") || !body.at("model").is_string()) {
        throw std::invalid_argument("body without model or messages");
    }
    const auto model = body.at("model").get<std::string>();
    Answer answer;
    answer.canonical = std::string(modelName(model)) + "\n" + body.at("messages").dump();
    answer.tokenCount = wantedTokens(body, answer.canonical);
    const auto limit = body.find("max_tokens");
    if (limit == body.end() || limit->is_null()) {
        return answer;
    }
    const auto mostTokens = readCount(*limit, "max_tokens");
    answer.cutByLimit = mostTokens < answer.tokenCount;
    answer.tokenCount = std::min(mostTokens, answer.tokenCount);
    return answer;
}

auto tokenAt(const Answer &answer, std::size_t index) -> std::string
{
    auto token = hashText(answer.canonical, index);
    token.resize(TokenDigits);
    token.push_back(' ');
    return token;
}

auto textOf(const Answer &answer) -> std::string
{
    std::string text;
    text.reserve(answer.tokenCount * (TokenDigits + 1));
    for (std::size_t index = 0; index < answer.tokenCount; ++index) {
        text += tokenAt(answer, index);
    }
    return text;
}

auto digestOf(const Answer &answer) -> std::string
{
    return hashText(answer.canonical);
}

auto hashText(std::string_view text, std::size_t seed) -> std::string
{
    return formatHash(hashNumber(text, seed));
}

auto formatHash(std::uint64_t hash) -> std::string
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned BitsPerDigit = 4;
    std::string text(sizeof hash * 2, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = Digits[hash % Digits.size()];
        hash >>= BitsPerDigit;
    }
    return text;
}

} // namespace auburnspread::standins
