#include "wire/http/framing.h"

#include "core/base/nametable.h"

#include <array>

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

} // namespace auburnspread::http
