#include "wire/http/evhttpheaders.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace auburnspread::http
{

auto readHeaders(const evkeyvalq *list) -> Headers
{
    Headers headers;
    for (const auto *item = list->tqh_first; item != nullptr; item = item->next.tqe_next) {
        headers.push_back({ .name = item->key, .value = item->value });
    }
    return headers;
}

auto removeHeaders(evkeyvalq *list, const char *name) -> void
{
    while (evhttp_remove_header(list, name) == 0) {}
}

auto readBodyToConnectionEnd(evhttp_request *request) -> void
{
    constexpr auto Name = "Connection";
    auto *headers = evhttp_request_get_input_headers(request);
    removeHeaders(headers, Name);
    evhttp_add_header(headers, Name, "close");
}

} // namespace auburnspread::http
