/// \file
/// Checks an answer while it arrives: each token against the expected one, in order, up to the terminator.

#pragma once

#include "standins/answer.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnspread::load
{

/// The finding about a complete answer.
enum class AnswerState {
    Whole,        ///< every token right, finish reason and terminator there
    Wrong,        ///< a token that is not this request's, or not in order, or too many
    Silent,       ///< ended without terminator and without an error event
    ErrorEvent,   ///< ended by an explicit error event
    Unterminated, ///< every token right, but the terminator is missing
};

/// One answer's checker.
class AnswerCheck
{
public:
    explicit AnswerCheck(standins::Answer expected);

    /// The next bytes of an SSE stream; returns how many tokens they completed.
    auto feedStream(std::string_view bytes) -> std::uint32_t;
    /// The whole body of an answer that is not a stream.
    auto feedWhole(std::string_view body) -> void;

    /// The finding if the answer ended here.
    [[nodiscard]] auto stateAtEnd() const -> AnswerState;
    [[nodiscard]] auto tokens() const -> std::uint32_t;
    /// Reason given in an error event; empty: none.
    [[nodiscard]] auto errorReason() const -> const std::string &;
    [[nodiscard]] auto errorOutcome() const -> const std::string &;
    /// What was wrong, for the report's examples.
    [[nodiscard]] auto detail() const -> const std::string &;

private:
    auto takeEvent(std::string_view data) -> void;
    auto takeText(std::string_view text) -> void;
    auto takeError(std::string_view data) -> void;
    auto fail(std::string detail) -> void;

    standins::Answer expected_;
    std::uint32_t seen_ = 0;
    std::string buffer_;
    bool finished_ = false;
    bool terminated_ = false;
    bool wrong_ = false;
    bool error_ = false;
    std::string errorReason_;
    std::string errorOutcome_;
    std::string detail_;
};

} // namespace auburnspread::load
