#include "wire/http/responseguard.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>

namespace auburnspread::http
{

namespace
{

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
    guard.lineBytes = 0;
    guard.bodyBytes = 0;
}

auto guardResponse(ResponseGuard &guard, evbuffer * /*input*/, std::size_t addedBytes) -> void
{
    auto *request = guard.request;
    if (request == nullptr) {
        return;
    }
    if (request->chunked != 0 && exceedsLimit(guard, addedBytes)) {
        guard.request = nullptr;
        request->body_size = std::numeric_limits<std::size_t>::max();
    }
}

} // namespace auburnspread::http
