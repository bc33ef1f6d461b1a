#include "wire/http/internal/rawrequest.h"

#include "wire/http/evhttpheaders.h"
#include "wire/http/framing.h"

#include <event2/buffer.h>

#include <algorithm>

namespace auburnspread::http::detail
{

namespace
{

auto onError(evhttp_request_error error, void *context) -> void
{
    auto &connection = *static_cast<Connection *>(context);
    connection.guard.request = nullptr;
    connection.error = connection.error.value_or(error);
}

/// No request asks for an interim response, and evhttp reads behind one without a bound. A body of unclear length may be cut.
auto onHead(evhttp_request *raw, void *context) -> int
{
    constexpr int FirstFinalStatus = 200;
    if (evhttp_request_get_response_code(raw) >= FirstFinalStatus && isFramingClear(readHeaders(evhttp_request_get_input_headers(raw)))) {
        return 0;
    }
    static_cast<Connection *>(context)->error = EVREQ_HTTP_INVALID_HEADER;
    return -1; // ends the exchange
}

auto onRequestDone(evhttp_request *raw, void *context) -> void
{
    auto &connection = *static_cast<Connection *>(context);
    connection.guard.request = nullptr;
    // a copy: the call may end the connection's interest in the exchange
    const auto onDone = connection.onDone;
    if (onDone) {
        onDone(raw);
    }
}

} // namespace

auto EvhttpRequestDeleter::operator()(evhttp_request *request) const -> void
{
    evhttp_request_free(request);
}

auto toEvhttp(Method method) -> evhttp_cmd_type
{
    switch (method) {
    case Method::Get:
        return EVHTTP_REQ_GET;
    case Method::Put:
        return EVHTTP_REQ_PUT;
    case Method::Post:
        return EVHTTP_REQ_POST;
    case Method::Delete:
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

auto toCause(evhttp_request_error error) -> Cause
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return Cause::Timeout;
    case EVREQ_HTTP_INVALID_HEADER:
        return Cause::Malformed;
    case EVREQ_HTTP_DATA_TOO_LONG:
        return Cause::TooLarge;
    default:
        return Cause::Closed;
    }
}

auto isValidPath(const std::string &path) -> bool
{
    const auto isVisible = [](unsigned char c) { return c > ' ' && c != '\x7f'; };
    return path.starts_with('/') && std::all_of(path.begin(), path.end(), isVisible);
}

auto makeRaw(const Request &request, Connection &connection) -> EvhttpRequest
{
    EvhttpRequest raw(evhttp_request_new(onRequestDone, &connection));
    evhttp_request_set_header_cb(raw.get(), onHead);
    evhttp_request_set_error_cb(raw.get(), onError);
    auto *headers = evhttp_request_get_output_headers(raw.get());
    if (findHeader(request.headers, "Host").empty()) {
        evhttp_add_header(headers, "Host", request.address.c_str());
    }
    for (const auto &header : request.headers) {
        if (evhttp_add_header(headers, header.name.c_str(), header.value.c_str()) != 0) {
            return nullptr;
        }
    }
    beginResponse(connection.guard, raw.get());
    return raw;
}

auto readResponse(evhttp_request *raw) -> Response
{
    Response response{ .status = evhttp_request_get_response_code(raw), .headers = readHeaders(evhttp_request_get_input_headers(raw)) };
    auto *body = evhttp_request_get_input_buffer(raw);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, response.body.data(), response.body.size());
    return response;
}

} // namespace auburnspread::http::detail
