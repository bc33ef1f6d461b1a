#include "wire/http/framing.h"

#include "core/base/nametable.h"

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

auto contentLength(const Headers &headers) -> std::optional<std::size_t>
{
    const auto text = findHeader(headers, "Content-Length");
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(length) : std::nullopt;
}

} // namespace auburnspread::http
