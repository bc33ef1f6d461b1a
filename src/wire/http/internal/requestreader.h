/// \file
/// Makes the server's request out of libevhtp's.

#pragma once

#include "wire/http/server.h"

#include <evhtp/evhtp.h>

#include <optional>

namespace auburnspread::http::detail
{

/// Nothing for methods that the server does not serve.
auto toMethod(htp_method method) -> std::optional<Method>;

auto readRequest(evhtp_request_t *raw, Method method) -> IncomingRequest;

/// Content-Length as declared; 0 if there is none.
auto declaredLength(evhtp_headers_t *headers) -> unsigned long long;

} // namespace auburnspread::http::detail
