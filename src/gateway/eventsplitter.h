/// \file
/// Splits a stream of server-sent events at event boundaries without changing its bytes.
///
/// If a backend server fails in the middle of an event and the stream is resumed on another server, forwarding the partial
/// event would make the caller read it joined to the next one. The splitter therefore returns complete events only, and the
/// id of the last one tells from where to resume.

#pragma once

#include "wire/text/eventscanner.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

class EventSplitter
{
public:
    /// An event longer than \p maxEventBytes is an error, so that a backend server can't exhaust the entry's memory.
    explicit EventSplitter(std::size_t maxEventBytes = std::size_t{ 256 } * 1024);

    /// Appends \p bytes. \return the events that are now complete; empty if there are none
    auto feed(std::string_view bytes) -> std::string;
    /// Removes and returns the buffered bytes of an incomplete event.
    auto takeRemainder() -> std::string;

    [[nodiscard]] auto pendingBytes() const -> std::size_t; ///< size of the incomplete event
    /// Whether there was an event and the last one is complete.
    [[nodiscard]] auto endsWithEvent() const -> bool;
    /// Id of the last complete event that had one; empty if there was none.
    [[nodiscard]] auto lastEventId() const -> const std::string &;
    /// Whether the incomplete event is longer than the limit.
    [[nodiscard]] auto exceedsLimit() const -> bool;

private:
    auto updateLastEventId(std::string_view events) -> void;

    std::size_t maxEventBytes_;
    text::EventScanner scanner_;
    std::string pending_;
    std::string lastEventId_;
};

/// Number of complete events in the output of EventSplitter: each event ends with an empty line.
auto countEvents(std::string_view events) -> std::uint32_t;

} // namespace auburnspread::gateway
