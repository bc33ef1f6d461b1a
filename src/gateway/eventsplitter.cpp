#include "gateway/eventsplitter.h"

#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr std::string_view IdField = "id:";

auto idFieldValue(std::string_view line) -> std::string_view
{
    line.remove_prefix(IdField.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

EventSplitter::EventSplitter(std::size_t maxEventBytes)
    : maxEventBytes_(maxEventBytes)
{
}

auto EventSplitter::feed(std::string_view bytes) -> std::string
{
    const auto endInPiece = text::scanEvents(scanner_, bytes);
    const auto end = endInPiece == 0 ? 0 : pending_.size() + endInPiece;
    pending_ += bytes;
    auto events = pending_.substr(0, end);
    pending_.erase(0, end);
    updateLastEventId(events);
    return events;
}

auto EventSplitter::takeRemainder() -> std::string
{
    return std::exchange(pending_, {});
}

auto EventSplitter::endsWithEvent() const -> bool
{
    return text::endsWithEvent(scanner_);
}

auto EventSplitter::pendingBytes() const -> std::size_t
{
    return pending_.size();
}

auto EventSplitter::updateLastEventId(std::string_view events) -> void
{
    while (!events.empty()) {
        const auto end = events.find_first_of("\r\n");
        const auto line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (line.starts_with(IdField)) {
            lastEventId_ = idFieldValue(line);
        }
    }
}

auto EventSplitter::lastEventId() const -> const std::string &
{
    return lastEventId_;
}

auto EventSplitter::exceedsLimit() const -> bool
{
    return pending_.size() > maxEventBytes_;
}

auto countEvents(std::string_view events) -> std::uint32_t
{
    text::EventScanner scanner;
    text::scanEvents(scanner, events);
    return static_cast<std::uint32_t>(scanner.eventCount);
}

} // namespace auburnspread::gateway
