#include "load/answercheck.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace auburnspread::load
{

namespace
{

constexpr std::string_view DataField = "data:";
constexpr std::string_view Terminator = "[DONE]";

auto textOf(const nlohmann::json &object, const char *key) -> std::string
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

AnswerCheck::AnswerCheck(standins::Answer expected)
    : expected_(std::move(expected))
{
}

auto AnswerCheck::feedStream(std::string_view bytes) -> std::uint32_t
{
    const auto before = seen_;
    buffer_ += bytes;
    std::size_t begin = 0;
    for (auto end = buffer_.find('\n', begin); end != std::string::npos; end = buffer_.find('\n', begin)) {
        std::string_view line(buffer_.data() + begin, end - begin);
        begin = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!line.starts_with(DataField)) {
            continue;
        }
        line.remove_prefix(DataField.size());
        line.remove_prefix(line.starts_with(' ') ? 1 : 0);
        takeEvent(line);
    }
    buffer_.erase(0, begin);
    return seen_ - before;
}

auto AnswerCheck::takeEvent(std::string_view data) -> void
{
    if (data == Terminator) {
        terminated_ = true;
        return;
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (event.is_discarded() || !event.is_object()) {
        fail("an event that is no JSON object: " + std::string(data));
        return;
    }
    if (event.contains("error")) {
        takeError(data);
        return;
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty()) {
        fail("an event without choices: " + std::string(data));
        return;
    }
    const auto &choice = choices->front();
    if (const auto delta = choice.find("delta"); delta != choice.end()) {
        takeText(textOf(*delta, "content"));
    }
    finished_ = finished_ || !textOf(choice, "finish_reason").empty();
}

auto AnswerCheck::takeText(std::string_view text) -> void
{
    while (!text.empty()) {
        if (seen_ >= expected_.tokenCount) {
            fail("more than the expected tokens");
            return;
        }
        const auto token = standins::tokenAt(expected_, seen_);
        if (!text.starts_with(token)) {
            fail("token " + std::to_string(seen_) + " is '" + std::string(text.substr(0, token.size())) + "', expected '" + token + "'");
            return;
        }
        text.remove_prefix(token.size());
        ++seen_;
    }
}

auto AnswerCheck::takeError(std::string_view data) -> void
{
    error_ = true;
    const auto error = nlohmann::json::parse(data).at("error");
    if (error.is_object()) {
        errorReason_ = textOf(error, "type");
        errorOutcome_ = textOf(error, "outcome");
    }
}

auto AnswerCheck::feedWhole(std::string_view body) -> void
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (answer.is_discarded() || !answer.is_object()) {
        return;
    }
    const auto choices = answer.find("choices");
    if (choices == answer.end() || !choices->is_array() || choices->empty()) {
        fail("a body without choices");
        return;
    }
    const auto &choice = choices->front();
    takeText(textOf(choice.value("message", nlohmann::json::object()), "content"));
    finished_ = !textOf(choice, "finish_reason").empty();
    terminated_ = true;
    if (seen_ < expected_.tokenCount) {
        fail("a whole body with " + std::to_string(seen_) + " of " + std::to_string(expected_.tokenCount) + " tokens");
    }
}

auto AnswerCheck::fail(std::string detail) -> void
{
    if (!wrong_) {
        detail_ = std::move(detail);
    }
    wrong_ = true;
}

auto AnswerCheck::stateAtEnd() const -> AnswerState
{
    if (wrong_) {
        return AnswerState::Wrong;
    }
    if (error_) {
        return AnswerState::ErrorEvent;
    }
    if (terminated_ && finished_) {
        return seen_ == expected_.tokenCount ? AnswerState::Whole : AnswerState::Wrong;
    }
    return seen_ == expected_.tokenCount && finished_ ? AnswerState::Unterminated : AnswerState::Silent;
}

auto AnswerCheck::tokens() const -> std::uint32_t
{
    return seen_;
}

auto AnswerCheck::errorReason() const -> const std::string &
{
    return errorReason_;
}

auto AnswerCheck::errorOutcome() const -> const std::string &
{
    return errorOutcome_;
}

auto AnswerCheck::detail() const -> const std::string &
{
    return detail_;
}

} // namespace auburnspread::load
