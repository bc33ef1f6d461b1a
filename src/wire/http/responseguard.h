/// \file
/// Ends responses that evhttp would read without a bound, or more kindly than the protocol allows. evhttp limits the bytes of heads, bodies and trailers,
/// but neither the number of header lines, nor the lines between the chunks of a body, nor the time for which it waits for the end of a first line that
/// can't belong to a response. It takes any number for a status, and 4294967496, +200 or 200x for 200.

#pragma once

#include <cstddef>
#include <limits>

struct evbuffer;
struct evhttp_request;

namespace auburnspread::http
{

struct ResponseGuard {
    evhttp_request *request = nullptr; ///< of the exchange that is under way; owned by evhttp, to be reset when that calls back with its end
    std::size_t maxLineBytes = 0;      ///< of what lies between two chunks of a body
    std::size_t maxChunkBytes = std::numeric_limits<std::size_t>::max(); ///< evhttp holds a chunk until it is complete
    std::size_t headerBytes = 0;                                         ///< of the header lines that were counted last
    std::size_t lineBytes = 0;                                           ///< received since the body last grew
    std::size_t bodyBytes = 0;                                           ///< of the body then
};

/// Watches over the response to \p request.
auto beginResponse(ResponseGuard &guard, evhttp_request *request) -> void;

/// To be called when bytes were added to the connection's input, before evhttp reads them. Makes evhttp fail a response that exceeds a limit.
auto guardResponse(ResponseGuard &guard, evbuffer *input, std::size_t addedBytes) -> void;

} // namespace auburnspread::http
