#include "load/httpclient.h"

#include "wire/http/sendrequest.h"

#include <algorithm>
#include <cctype>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <map>
#include <stdexcept>

namespace auburnspread::load
{

struct HttpCall::State {
    HttpHandlers handlers;
    evhttp_connection *connection = nullptr;
    std::function<void(std::shared_ptr<State>, evhttp_connection *)> retire;
    bool headSeen = false;
    bool dropped = false;
    std::shared_ptr<State> self; ///< keeps the state while evhttp may still call back

    auto end(HttpEnd how) -> void
    {
        const auto keep = std::exchange(self, nullptr);
        if (!keep || dropped) {
            return;
        }
        dropped = true;
        retire(keep, std::exchange(connection, nullptr));
        const auto onEnd = std::move(handlers.onEnd);
        onEnd(how);
    }

    auto drop() -> void
    {
        const auto keep = std::exchange(self, nullptr);
        dropped = true;
        if (connection != nullptr) {
            retire(keep, std::exchange(connection, nullptr));
        }
    }
};

/// What is over but may still be touched by evhttp after its callback returns.
struct HttpClient::Graveyard {
    struct Grave {
        std::shared_ptr<HttpCall::State> state;
        evhttp_connection *connection = nullptr;
    };
    std::vector<Grave> graves;
    std::vector<std::shared_ptr<HttpCall::State>> unconnected;

    auto bury() -> void
    {
        for (const auto &state : std::exchange(unconnected, {})) {
            state->end(HttpEnd::ConnectFailed);
        }
        for (const auto &grave : std::exchange(graves, {})) {
            evhttp_connection_free(grave.connection);
        }
    }
};

auto HttpHead::header(std::string_view name) const -> std::string
{
    const auto found = std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? std::string() : found->second;
}

HttpCall::HttpCall(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

HttpCall::~HttpCall()
{
    state_->drop();
}

namespace
{

using State = HttpCall::State;

auto readHead(evhttp_request *request) -> HttpHead
{
    HttpHead head{ .status = evhttp_request_get_response_code(request) };
    const auto *fields = evhttp_request_get_input_headers(request);
    for (const auto *field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
        std::string name = field->key;
        std::ranges::transform(name, name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        head.headers.emplace_back(std::move(name), field->value);
    }
    return head;
}

auto takeHead(evhttp_request *request, void *context) -> int
{
    const auto state = static_cast<State *>(context)->self;
    if (state && !state->dropped && !state->headSeen) {
        state->headSeen = true;
        if (state->handlers.onHead) {
            state->handlers.onHead(readHead(request));
        }
    }
    return 0;
}

auto takeChunk(evhttp_request *request, void *context) -> void
{
    const auto state = static_cast<State *>(context)->self;
    auto *buffer = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(buffer);
    std::string bytes(size, '\0');
    evbuffer_remove(buffer, bytes.data(), size);
    if (state && !state->dropped && state->handlers.onBody) {
        state->handlers.onBody(bytes);
    }
}

auto takeError(evhttp_request_error /*error*/, void *context) -> void
{
    static_cast<State *>(context)->end(HttpEnd::Broken);
}

auto takeEnd(evhttp_request *request, void *context) -> void
{
    auto *state = static_cast<State *>(context);
    if (request == nullptr) {
        state->end(HttpEnd::Broken);
        return;
    }
    state->end(state->headSeen ? HttpEnd::Complete : HttpEnd::ConnectFailed);
}

auto methodOf(const std::string &name) -> evhttp_cmd_type
{
    static const std::map<std::string, evhttp_cmd_type> methods{
        { "GET", EVHTTP_REQ_GET }, { "POST", EVHTTP_REQ_POST }, { "PUT", EVHTTP_REQ_PUT }, { "DELETE", EVHTTP_REQ_DELETE }
    };
    const auto found = methods.find(name);
    if (found == methods.end()) {
        throw std::runtime_error("http client: method " + name + " is not known");
    }
    return found->second;
}

auto connectTo(task::EventLoop &loop, const std::string &address) -> evhttp_connection *
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::runtime_error("http client: " + address + " is no IP number and port");
    }
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    auto *connection = evhttp_connection_base_new(loop.base(), nullptr, address.substr(0, colon).c_str(), port);
    if (connection == nullptr) {
        throw std::runtime_error("http client: no connection to " + address);
    }
    return connection;
}

auto makeRequest(const HttpRequest &request, State *state) -> evhttp_request *
{
    auto *made = evhttp_request_new(takeEnd, state);
    evhttp_request_set_header_cb(made, takeHead);
    evhttp_request_set_chunked_cb(made, takeChunk);
    evhttp_request_set_error_cb(made, takeError);
    auto *fields = evhttp_request_get_output_headers(made);
    evhttp_add_header(fields, "Host", request.address.c_str());
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    return made;
}

} // namespace

HttpClient::HttpClient(task::EventLoop &loop)
    : graveyard_(std::make_shared<Graveyard>())
    , loop_(loop)
{
    //! NOTE evhttp touches a connection after its callbacks return, so connections are freed from a timer of their own
    constexpr auto BurialInterval = std::chrono::milliseconds(5);
    burial_ = loop_.every(BurialInterval, [graveyard = graveyard_]() { graveyard->bury(); });
}

HttpClient::~HttpClient()
{
    graveyard_->bury();
}

auto HttpClient::start(const HttpRequest &request, HttpHandlers handlers) -> HttpCallPointer
{
    const auto method = methodOf(request.method);
    auto state = std::make_shared<HttpCall::State>();
    state->handlers = std::move(handlers);
    state->connection = connectTo(loop_, request.address);
    state->retire = [graveyard = graveyard_](std::shared_ptr<HttpCall::State> over, evhttp_connection *connection) {
        graveyard->graves.push_back({ .state = std::move(over), .connection = connection });
    };
    state->self = state;
    if (!http::sendRequest(state->connection, makeRequest(request, state.get()), method, request.path, request.body)) {
        graveyard_->unconnected.push_back(state);
    }
    return std::make_unique<HttpCall>(state);
}

} // namespace auburnspread::load
