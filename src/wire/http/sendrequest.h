/// \file
/// Sends a request through evhttp.

#pragma once

#include <event2/http.h>

#include <memory>
#include <string>
#include <string_view>

namespace auburnspread::http
{

/// Sends \p request with \p body, which is not copied if it is large. The output headers of \p request are complete but for its length.
/// See sendRequest() below for the rest.
[[nodiscard]] auto
sendRequest(evhttp_connection *connection, evhttp_request *request, evhttp_cmd_type method, const std::string &target, std::shared_ptr<const std::string> body)
    -> bool;

/// Sends \p request, whose output headers are complete but for its length. evhttp writes the body of any method, but states its length for
/// POST and PUT only; without it, the receiver takes the body for the next request on the connection.
///
/// evhttp owns the request afterwards, also after an error.
/// \return false if it could not be started
[[nodiscard]] auto sendRequest(evhttp_connection *connection, evhttp_request *request, evhttp_cmd_type method, const std::string &target, std::string_view body)
    -> bool;

} // namespace auburnspread::http
