#include "standins/httprequest.h"

#include <evhtp/evhtp.h>

#include <event2/http.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <utility>

namespace auburnspread::standins
{

namespace
{

auto decode(std::string_view text) -> std::string
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(std::string(text).c_str(), 0, &size), &std::free);
    return decoded ? std::string(decoded.get(), size) : std::string();
}

auto parseQuery(std::string_view text) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        const auto end = std::min(text.find('&'), text.size());
        const auto part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto equals = std::min(part.find('='), part.size());
        query[decode(part.substr(0, equals))] = decode(part.substr(std::min(equals + 1, part.size())));
    }
    return query;
}

auto toLower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

} // namespace

auto HttpRequest::header(const std::string &name) const -> std::optional<std::string>
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::nullopt : std::optional(found->second);
}

auto HttpRequest::parameter(const std::string &name) const -> std::optional<std::string>
{
    const auto found = query.find(name);
    return found == query.end() ? std::nullopt : std::optional(found->second);
}

auto readRequest(evhtp_request_t *raw, std::string source) -> HttpRequest
{
    HttpRequest request;
    request.method = htparser_get_methodstr(raw->conn->parser);
    request.path = decode(raw->uri->path->full);
    if (raw->uri->query_raw != nullptr) {
        request.query = parseQuery(reinterpret_cast<const char *>(raw->uri->query_raw));
    }
    evhtp_kv_t *header = nullptr;
    TAILQ_FOREACH(header, raw->headers_in, next)
    {
        request.headers[toLower(std::string(header->key, header->klen))] = std::string(header->val, header->vlen);
    }
    request.body.resize(evbuffer_get_length(raw->buffer_in));
    evbuffer_copyout(raw->buffer_in, request.body.data(), request.body.size());
    request.source = std::move(source);
    return request;
}

} // namespace auburnspread::standins
