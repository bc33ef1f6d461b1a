/// \file
/// Requests and responses in evhttp's form.

#pragma once

#include "wire/http/client.h"
#include "wire/http/connectionpool.h"

#include <event2/http.h>

#include <memory>
#include <string>

namespace auburnspread::http::detail
{

struct EvhttpRequestDeleter {
    auto operator()(evhttp_request *request) const -> void;
};

using EvhttpRequest = std::unique_ptr<evhttp_request, EvhttpRequestDeleter>;

auto toEvhttp(Method method) -> evhttp_cmd_type;
auto toCause(evhttp_request_error error) -> Cause;

/// Whether \p path may stand in a request line. evhttp writes it as it is: a blank or line end in it would forge the request.
auto isValidPath(const std::string &path) -> bool;

/// The request whose end is told to \p connection; nothing if a header is not valid.
auto makeRaw(const Request &request, Connection &connection) -> EvhttpRequest;

auto readResponse(evhttp_request *raw) -> Response;

} // namespace auburnspread::http::detail
