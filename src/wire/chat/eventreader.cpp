#include "wire/chat/eventreader.h"

namespace auburnspread::chat
{

namespace
{

constexpr std::string_view DataField = "data:";

auto withoutReturn(std::string_view line) -> std::string_view
{
    return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

auto dataOf(std::string_view line) -> std::string_view
{
    auto data = line.substr(DataField.size());
    if (!data.empty() && data.front() == ' ') {
        data.remove_prefix(1);
    }
    return data;
}

} // namespace

EventReader::EventReader(std::size_t mostBytes)
    : mostBytes_(mostBytes)
{
}

auto EventReader::feed(std::string_view bytes, const std::function<void(std::string_view)> &receive) -> bool
{
    pending_.append(bytes);
    std::size_t begin = 0;
    for (auto end = pending_.find('\n'); end != std::string::npos; end = pending_.find('\n', begin)) {
        const auto line = withoutReturn(std::string_view(pending_).substr(begin, end - begin));
        begin = end + 1;
        if (line.starts_with(DataField)) {
            receive(dataOf(line));
        }
    }
    pending_.erase(0, begin);
    return pending_.size() <= mostBytes_;
}

} // namespace auburnspread::chat
