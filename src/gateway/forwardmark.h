/// \file
/// What entries tell each other about a request that one of them forwards: a header of the request, and the reason in a refusal.

#pragma once

#include "core/base/reason.h"
#include "core/passthrough/streamversions.h"
#include "gateway/payload.h"

#include <cstdint>
#include <optional>

namespace auburnspread::gateway
{

/// Header that marks a forwarded request. \p sends: number of attempts on backend servers that were used up
auto makeForwardMark(std::uint32_t sends) -> http::Header;
/// \return the number of attempts that the mark states; nothing if the request has no mark
auto readForwardMark(const http::Headers &headers) -> std::optional<std::uint32_t>;
/// Header that states where the stream that is resumed began.
auto makeOriginHeader(const passthrough::StreamOrigin &origin) -> http::Header;
/// \return nothing if the request has no such header
auto readOriginHeader(const http::Headers &headers) -> std::optional<passthrough::StreamOrigin>;
/// The request as its caller sent it.
auto withoutForwardMark(const BufferedRequest &message) -> BufferedRequestPointer;

/// A response in which the other entry itself refused the request.
struct PeerRefusal {
    std::optional<Reason> reason; ///< not set: unknown to this version
    Outcome outcome = Outcome::MayHaveRun;
};
/// \return nothing if the response is that of a backend server
auto readPeerRefusal(const BufferedResponse &response) -> std::optional<PeerRefusal>;

} // namespace auburnspread::gateway
