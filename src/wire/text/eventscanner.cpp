#include "wire/text/eventscanner.h"

#include <utility>

namespace auburnspread::text
{

namespace
{

/// \return whether the line was empty, so that it ends an event
auto endLine(EventScanner &scanner) -> bool
{
    if (std::exchange(scanner.lineLength, 0) > 0) {
        scanner.hasLines = true;
        scanner.hasFields = scanner.hasFields || !scanner.isComment;
        return false;
    }
    scanner.eventCount += scanner.hasLines ? 1 : 0;
    scanner.hasLines = false;
    scanner.hasFields = false;
    return true;
}

} // namespace

auto scanEvents(EventScanner &scanner, std::string_view piece) -> std::size_t
{
    std::size_t end = 0;
    for (std::size_t at = 0; at < piece.size(); ++at) {
        const auto character = piece[at];
        const auto afterReturn = std::exchange(scanner.afterReturn, character == '\r');
        if (character == '\n' && afterReturn) {
            end = scanner.hasLines ? end : at + 1;
        } else if (character == '\r' || character == '\n') {
            end = endLine(scanner) ? at + 1 : end;
        } else if (scanner.lineLength++ == 0) {
            scanner.isComment = character == ':';
        }
    }
    return end;
}

auto endsWithEvent(const EventScanner &scanner) -> bool
{
    return scanner.eventCount > 0 && scanner.lineLength == 0 && !scanner.hasFields;
}

} // namespace auburnspread::text
