/// \file
/// How the end of a response's body is marked.

#pragma once

#include "wire/http/message.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace auburnspread::http
{

enum class Framing {
    Length,        ///< the head states the length, or the status allows no body
    Chunks,        ///< the last chunk ends the body
    ConnectionEnd, ///< the body ends with its connection
};

auto framingName(Framing framing) -> std::string_view;

/// Whether a response with this status may have a body.
auto allowsBody(int status) -> bool;

/// Framing of a response with this head.
auto framingOf(int status, const Headers &headers) -> Framing;

/// Whether the head is clear about the length of the body: a single length that is a plain number, no transfer coding but chunks, and only
/// valid names.
///
/// Failure: a head states two lengths, or one that libevent reads differently. Symptom: a body that is cut off at the smaller one looks complete.
auto isFramingClear(const Headers &headers) -> bool;

/// Length of the body as the head states it; nothing if it states none that is valid.
auto contentLength(const Headers &headers) -> std::optional<std::size_t>;

} // namespace auburnspread::http
