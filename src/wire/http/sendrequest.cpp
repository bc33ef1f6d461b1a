#include "wire/http/sendrequest.h"

#include "wire/http/evhttpheaders.h"

#include <event2/buffer.h>

namespace auburnspread::http
{

namespace
{

/// Whether the length is stated also if there is no body, by RFC 9110, 8.6. Servers may wait for the body of such a request otherwise.
auto anticipatesBody(evhttp_cmd_type method) -> bool
{
    return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
}

} // namespace

auto sendRequest(evhttp_connection *connection, evhttp_request *request, evhttp_cmd_type method, const std::string &target, std::string_view body) -> bool
{
    auto *headers = evhttp_request_get_output_headers(request);
    removeHeaders(headers, "Transfer-Encoding");
    removeHeaders(headers, "Content-Length");
    if (!body.empty() || anticipatesBody(method)) {
        evhttp_add_header(headers, "Content-Length", std::to_string(body.size()).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    return evhttp_make_request(connection, request, method, target.c_str()) == 0;
}

} // namespace auburnspread::http
