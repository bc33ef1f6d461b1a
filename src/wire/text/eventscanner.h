/// \file
/// Finds the ends of events in a stream of server-sent events. A line ends with CR, LF or CRLF, an event with an empty line.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace auburnspread::text
{

/// State between two pieces of a stream.
struct EventScanner {
    std::size_t lineLength = 0;   ///< of the line that is not complete yet
    bool isComment = false;       ///< that line is a comment
    bool afterReturn = false;     ///< the last byte was a CR: an LF that follows belongs to the same line end
    bool hasLines = false;        ///< the current event has complete lines
    bool hasFields = false;       ///< some of them are not comments
    std::uint64_t eventCount = 0; ///< events that have ended
};

/// Scans the next piece. \return offset in \p piece after the last event or empty line that ends in it; 0 if none does
auto scanEvents(EventScanner &scanner, std::string_view piece) -> std::size_t;

/// Whether there was an event and no part of another one followed. Complete comments are no part of an event.
auto endsWithEvent(const EventScanner &scanner) -> bool;

} // namespace auburnspread::text
