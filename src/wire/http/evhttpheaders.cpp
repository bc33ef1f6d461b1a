#include "wire/http/evhttpheaders.h"

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

} // namespace auburnspread::http
