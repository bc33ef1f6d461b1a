#include "gateway/eventsplitter.h"

#include <algorithm>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr std::string_view IdField = "id:";

/// Place after the last blank line, or 0.
auto endOfLastEvent(std::string_view text) -> std::size_t
{
    constexpr std::string_view Plain = "\n\n";
    constexpr std::string_view Carriage = "\n\r\n";
    const auto plain = text.rfind(Plain);
    const auto carriage = text.rfind(Carriage);
    const auto afterPlain = plain == std::string_view::npos ? 0 : plain + Plain.size();
    const auto afterCarriage = carriage == std::string_view::npos ? 0 : carriage + Carriage.size();
    return std::max(afterPlain, afterCarriage);
}

auto valueOfField(std::string_view line) -> std::string_view
{
    line.remove_prefix(IdField.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

EventSplitter::EventSplitter(std::size_t mostBytes)
    : mostBytes_(mostBytes)
{
}

auto EventSplitter::feed(std::string_view bytes) -> std::string
{
    pending_ += bytes;
    const auto end = endOfLastEvent(pending_);
    auto events = pending_.substr(0, end);
    pending_.erase(0, end);
    takeIds(events);
    return events;
}

auto EventSplitter::takeRest() -> std::string
{
    return std::exchange(pending_, {});
}

auto EventSplitter::takeIds(std::string_view events) -> void
{
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(IdField)) {
            lastEventId_ = valueOfField(line);
        }
    }
}

auto EventSplitter::lastEventId() const -> const std::string &
{
    return lastEventId_;
}

auto EventSplitter::isTooLong() const -> bool
{
    return pending_.size() > mostBytes_;
}

auto countEvents(std::string_view events) -> std::uint32_t
{
    std::uint32_t count = 0;
    auto isLineEmpty = false;
    for (const auto letter : events) {
        if (letter == '\r') {
            continue;
        }
        const auto isLineEnd = letter == '\n';
        count += isLineEnd && isLineEmpty ? 1 : 0;
        isLineEmpty = isLineEnd;
    }
    return count;
}

} // namespace auburnspread::gateway
