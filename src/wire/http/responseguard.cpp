#include "wire/http/responseguard.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace auburnspread::http
{

namespace
{

auto mayBeginResponse(evbuffer *input) -> bool
{
    constexpr std::string_view Start = "HTTP/";
    std::array<char, Start.size()> bytes{};
    const auto count = evbuffer_copyout(input, bytes.data(), bytes.size());
    return Start.starts_with(std::string_view(bytes.data(), static_cast<std::size_t>(std::max<ev_ssize_t>(count, 0))));
}

/// Whether the first line, if it has arrived, states a version of HTTP/1 and a status from 100 to 599.
auto mayBeStatusLine(evbuffer *input) -> bool
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::size_t StatusAt = Version.size() + 2; // behind a digit and a space
    constexpr std::size_t StatusSize = 3;
    constexpr std::size_t ReasonAt = StatusAt + StatusSize;
    const auto end = evbuffer_search_eol(input, nullptr, nullptr, EVBUFFER_EOL_CRLF).pos;
    if (end < 0) {
        return true;
    }
    std::array<char, ReasonAt + 1> bytes{};
    const auto size = std::min(bytes.size(), static_cast<std::size_t>(end));
    evbuffer_copyout(input, bytes.data(), size);
    const std::string_view line(bytes.data(), size);
    if (!line.starts_with(Version) || line.size() < ReasonAt || (line.size() > ReasonAt && line[ReasonAt] != ' ')) {
        return false;
    }
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    const auto status = line.substr(StatusAt, StatusSize);
    return isDigit(line[Version.size()]) && line[StatusAt - 1] == ' ' && std::all_of(status.begin(), status.end(), isDigit) && status[0] >= '1'
        && status[0] <= '5';
}

/// Whether there are too many header lines. Each holds some hundred bytes, however short it is.
auto hasTooManyHeaders(ResponseGuard &guard) -> bool
{
    constexpr std::size_t MaxHeaders = 1000;
    const auto &request = *guard.request;
    if (std::exchange(guard.headerBytes, request.headers_size) == request.headers_size) {
        return false;
    }
    std::size_t count = 0;
    for (const auto *item = request.input_headers->tqh_first; item != nullptr && count <= MaxHeaders; item = item->next.tqe_next) {
        ++count;
    }
    return count > MaxHeaders;
}

/// Whether too many bytes lie between two chunks, or a chunk is too long.
auto exceedsLimit(ResponseGuard &guard, std::size_t addedBytes) -> bool
{
    const auto &request = *guard.request;
    const auto isInChunk = request.ntoread >= 0;
    if (isInChunk || request.body_size != guard.bodyBytes) {
        guard.bodyBytes = request.body_size;
        guard.lineBytes = 0;
    }
    if (isInChunk) {
        return static_cast<std::size_t>(request.ntoread) > guard.maxChunkBytes;
    }
    guard.lineBytes += addedBytes;
    return guard.lineBytes > guard.maxLineBytes;
}

} // namespace

auto beginResponse(ResponseGuard &guard, evhttp_request *request) -> void
{
    guard.request = request;
    guard.headerBytes = 0;
    guard.lineBytes = 0;
    guard.bodyBytes = 0;
}

auto guardResponse(ResponseGuard &guard, evbuffer *input, std::size_t addedBytes) -> void
{
    auto *request = guard.request;
    if (request == nullptr) {
        return;
    }
    if (request->response_code == 0) {
        if (!mayBeginResponse(input) || !mayBeStatusLine(input)) {
            guard.request = nullptr;
            evbuffer_drain(input, evbuffer_get_length(input));
            evbuffer_add(input, "\n", 1); // an empty line, which evhttp rejects
        }
        return;
    }
    if (hasTooManyHeaders(guard)) {
        guard.request = nullptr;
        request->headers_size = std::numeric_limits<std::size_t>::max() / 2;
        return;
    }
    if (request->chunked != 0 && exceedsLimit(guard, addedBytes)) {
        guard.request = nullptr;
        request->body_size = std::numeric_limits<std::size_t>::max();
    }
}

} // namespace auburnspread::http
