#include "wire/http/internal/requestreader.h"

#include "runtime/net/endpoint.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>
#include <memory>

namespace auburnspread::http::detail
{

namespace
{

auto decodePath(const char *encoded) -> std::string
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(encoded, 0, &size), std::free);
    return decoded ? std::string(decoded.get(), size) : std::string();
}

auto readQuery(const unsigned char *raw) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    evkeyvalq items{};
    if (raw == nullptr || evhttp_parse_query_str(reinterpret_cast<const char *>(raw), &items) != 0) {
        return query;
    }
    for (const auto *item = items.tqh_first; item != nullptr; item = item->next.tqe_next) {
        query.emplace(item->key, item->value);
    }
    evhttp_clear_headers(&items);
    return query;
}

auto takeHeader(evhtp_header_t *header, void *context) -> int
{
    static_cast<Headers *>(context)->push_back({ .name = { header->key, header->klen }, .value = { header->val, header->vlen } });
    return 0;
}

} // namespace

auto toMethod(htp_method method) -> std::optional<Method>
{
    switch (method) {
    case htp_method_GET:
        return Method::Get;
    case htp_method_PUT:
        return Method::Put;
    case htp_method_POST:
        return Method::Post;
    case htp_method_DELETE:
        return Method::Delete;
    default:
        return std::nullopt;
    }
}

auto readRequest(evhtp_request_t *raw, Method method) -> IncomingRequest
{
    IncomingRequest request{ .method = method, .path = decodePath(raw->uri->path->full), .query = readQuery(raw->uri->query_raw) };
    evhtp_headers_for_each(raw->headers_in, takeHeader, &request.headers);
    request.body.resize(evbuffer_get_length(raw->buffer_in));
    evbuffer_copyout(raw->buffer_in, request.body.data(), request.body.size());
    request.peer = net::formatAddress(raw->conn->saddr);
    return request;
}

auto declaredLength(evhtp_headers_t *headers) -> unsigned long long
{
    const auto *text = evhtp_header_find(headers, "Content-Length");
    constexpr int Decimal = 10;
    return text == nullptr ? 0 : std::strtoull(text, nullptr, Decimal);
}

} // namespace auburnspread::http::detail
