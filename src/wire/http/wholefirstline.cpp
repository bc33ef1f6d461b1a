#include "wire/http/wholefirstline.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>

namespace auburnspread::http
{

namespace
{

/// A longer line goes to the parser as it comes. libevhtp itself refuses lines of more than 8 KB, so none of them is served.
constexpr std::size_t LongestLine = 16384;

/// libevhtp's own read callback, the same for all connections.
auto parserOf(bufferevent *transport) -> bufferevent_data_cb
{
    bufferevent_data_cb read = nullptr;
    bufferevent_getcb(transport, &read, nullptr, nullptr, nullptr);
    return read;
}

auto isLineWhole(evbuffer *input) -> bool
{
    return evbuffer_search(input, "\n", 1, nullptr).pos >= 0 || evbuffer_get_length(input) > LongestLine;
}

} // namespace

auto readWholeFirstLines(evhtp_connection_t *connection) -> void
{
    static const auto parse = parserOf(connection->bev);
    const auto onReadable = [](bufferevent *transport, void *context) {
        const auto *const owner = static_cast<evhtp_connection_t *>(context);
        const auto isInRequest = owner->request != nullptr;
        if (isInRequest || isLineWhole(bufferevent_get_input(transport))) {
            parse(transport, context);
        }
    };
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void *context = nullptr;
    bufferevent_getcb(connection->bev, nullptr, &write, &event, &context);
    bufferevent_setcb(connection->bev, onReadable, write, event, context);
}

} // namespace auburnspread::http
