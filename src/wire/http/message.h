/// \file
/// What client and server share: methods and headers.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::http
{

enum class Method {
    Get,
    Put,
    Post,
    Delete,
};

auto methodName(Method method) -> std::string_view;
auto methodFromName(std::string_view name) -> std::optional<Method>;

struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// Names and words of headers are equal in any case.
auto isSameWord(std::string_view one, std::string_view other) -> bool;

/// Value of the first header of this name, in any case; "" if there is none.
auto findHeader(const Headers &headers, std::string_view name) -> std::string_view;

/// Whether all names are tokens by RFC 9110, 5.6.2.
///
/// Failure: libevent takes what stands before the colon for the name, with white space at its end. Symptom: `Content-Length : 40` states no length here and
/// one elsewhere, so that a body is read as a request, or a part of one as the whole.
auto hasValidNames(const Headers &headers) -> bool;

/// Whether a Content-Type is that of a stream of server-sent events.
auto isEventStream(std::string_view contentType) -> bool;

} // namespace auburnspread::http
