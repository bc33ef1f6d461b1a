#include "wire/http/message.h"

#include "core/base/nametable.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace auburnspread::http
{

namespace
{

constexpr auto Methods = std::to_array<NamedValue<Method>>({
    { Method::Get, "GET" },
    { Method::Put, "PUT" },
    { Method::Post, "POST" },
    { Method::Delete, "DELETE" },
});

constexpr std::string_view TokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

} // namespace

auto methodName(Method method) -> std::string_view
{
    return findName(Methods, method);
}

auto methodFromName(std::string_view name) -> std::optional<Method>
{
    return findValue(Methods, name);
}

auto isSameWord(std::string_view one, std::string_view other) -> bool
{
    return one.size() == other.size() && ::strncasecmp(one.data(), other.data(), one.size()) == 0;
}

auto findHeader(const Headers &headers, std::string_view name) -> std::string_view
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header &header) { return isSameWord(header.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

auto hasValidNames(const Headers &headers) -> bool
{
    return std::all_of(headers.begin(), headers.end(), [](const Header &header) {
        return !header.name.empty() && header.name.find_first_not_of(TokenCharacters) == std::string::npos;
    });
}

auto isEventStream(std::string_view contentType) -> bool
{
    constexpr std::string_view Blanks = " \t";
    auto mediaType = contentType.substr(0, contentType.find(';'));
    mediaType = mediaType.substr(0, mediaType.find_last_not_of(Blanks) + 1);
    return isSameWord(mediaType, "text/event-stream");
}

} // namespace auburnspread::http
