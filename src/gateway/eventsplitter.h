/// \file
/// Splits the bytes of a stream of server-sent events after whole events. Bytes are passed on as they are.
///
/// Failure: a backend server stops in the middle of an event and the stream goes on at another one. Symptom: the caller
/// reads half an event joined to a whole one. Only whole events leave the splitter, and the id of the last of them tells
/// where to go on.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

class EventSplitter
{
public:
    /// An event longer than \p mostBytes is an error: a backend server must not fill our memory.
    explicit EventSplitter(std::size_t mostBytes = std::size_t{ 256 } * 1024);

    /// \return the whole events that \p bytes completed, empty if none
    auto feed(std::string_view bytes) -> std::string;
    /// What is left of an event that was not completed.
    auto takeRest() -> std::string;

    /// Of the last whole event that carried one; empty: none so far.
    [[nodiscard]] auto lastEventId() const -> const std::string &;
    [[nodiscard]] auto isTooLong() const -> bool;

private:
    auto takeIds(std::string_view events) -> void;

    std::size_t mostBytes_;
    std::string pending_;
    std::string lastEventId_;
};

/// Whole events in what EventSplitter passes: each ends with an empty line.
auto countEvents(std::string_view events) -> std::uint32_t;

} // namespace auburnspread::gateway
