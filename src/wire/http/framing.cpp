#include "wire/http/framing.h"

#include "core/base/nametable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace auburnspread::http
{

namespace
{

constexpr auto Framings = std::to_array<NamedValue<Framing>>({
    { Framing::Length, "length" },
    { Framing::Chunks, "chunks" },
    { Framing::ConnectionEnd, "connection-end" },
});

} // namespace

auto framingName(Framing framing) -> std::string_view
{
    return findName(Framings, framing);
}

auto allowsBody(int status) -> bool
{
    constexpr int FirstSuccessStatus = 200;
    constexpr int NoContentStatus = 204;
    constexpr int NotModifiedStatus = 304;
    return status >= FirstSuccessStatus && status != NoContentStatus && status != NotModifiedStatus;
}

auto framingOf(int status, const Headers &headers) -> Framing
{
    if (isSameWord(findHeader(headers, "Transfer-Encoding"), "chunked")) {
        return Framing::Chunks;
    }
    if (!allowsBody(status) || !findHeader(headers, "Content-Length").empty()) {
        return Framing::Length;
    }
    return Framing::ConnectionEnd;
}

auto isFramingClear(const Headers &headers) -> bool
{
    return hasValidNames(headers) && std::all_of(headers.begin(), headers.end(), [&headers](const Header &header) {
               if (isSameWord(header.name, "Transfer-Encoding")) {
                   return isSameWord(header.value, "chunked");
               }
               return !isSameWord(header.name, "Content-Length") || (contentLength(headers) && header.value == findHeader(headers, "Content-Length"));
           });
}

auto contentLength(const Headers &headers) -> std::optional<std::size_t>
{
    const auto text = findHeader(headers, "Content-Length");
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(length) : std::nullopt;
}

} // namespace auburnspread::http
