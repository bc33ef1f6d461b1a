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
        if (!mayBeginResponse(input)) {
            guard.request = nullptr;
            evbuffer_add(input, "\n", 1); // ends the line, which evhttp then rejects
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
