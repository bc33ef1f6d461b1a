#include "wire/http/sendrequest.h"

#include "wire/http/evhttpheaders.h"
#include "wire/http/referencedbytes.h"

#include <event2/buffer.h>

#include <utility>

namespace auburnspread::http
{

namespace
{

/// Whether the length is stated also if there is no body, by RFC 9110, 8.6. Servers may wait for the body of such a request otherwise.
auto anticipatesBody(evhttp_cmd_type method) -> bool
{
    return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
}

auto stateLength(evhttp_request *request, evhttp_cmd_type method, std::size_t bytes) -> void
{
    auto *headers = evhttp_request_get_output_headers(request);
    removeHeaders(headers, "Transfer-Encoding");
    removeHeaders(headers, "Content-Length");
    if (bytes > 0 || anticipatesBody(method)) {
        evhttp_add_header(headers, "Content-Length", std::to_string(bytes).c_str());
    }
}

} // namespace

auto sendRequest(evhttp_connection *connection,
                 evhttp_request *request,
                 evhttp_cmd_type method,
                 const std::string &target,
                 std::shared_ptr<const std::string> body) -> bool
{
    stateLength(request, method, body->size());
    addBytes(evhttp_request_get_output_buffer(request), std::move(body));
    return evhttp_make_request(connection, request, method, target.c_str()) == 0;
}

auto sendRequest(evhttp_connection *connection, evhttp_request *request, evhttp_cmd_type method, const std::string &target, std::string_view body) -> bool
{
    stateLength(request, method, body.size());
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    return evhttp_make_request(connection, request, method, target.c_str()) == 0;
}

} // namespace auburnspread::http
