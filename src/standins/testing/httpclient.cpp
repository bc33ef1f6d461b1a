#include "standins/testing/httpclient.h"

#include "standins/testing/waiting.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace auburnspread::standins
{

namespace
{

constexpr int Ok = 200;

struct ConnectionDeleter {
    auto operator()(evhttp_connection *connection) const -> void
    {
        evhttp_connection_free(connection);
    }
};

auto commandOf(const std::string &method) -> evhttp_cmd_type
{
    static const std::map<std::string, evhttp_cmd_type> commands = {
        { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST },
        { "PUT", EVHTTP_REQ_PUT },
        { "DELETE", EVHTTP_REQ_DELETE },
    };
    return commands.at(method);
}

auto drain(evbuffer *buffer) -> std::string
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

} // namespace

struct TestCall::State {
    std::unique_ptr<evhttp_connection, ConnectionDeleter> connection;
    std::map<std::string, std::string> headers;
    std::string body;
    int status = 0;
    bool done = false;
    bool broken = false;

    auto readHead(evhttp_request *request) -> void
    {
        status = evhttp_request_get_response_code(request);
        const auto *list = evhttp_request_get_input_headers(request);
        for (const auto *header = list->tqh_first; header != nullptr; header = header->next.tqe_next) {
            headers[header->key] = header->value;
        }
    }

    static auto receivePiece(evhttp_request *request, void *context) -> void
    {
        auto &state = *static_cast<State *>(context);
        state.body += drain(evhttp_request_get_input_buffer(request));
    }

    static auto receiveHead(evhttp_request *request, void *context) -> int
    {
        static_cast<State *>(context)->readHead(request);
        return 0;
    }

    static auto receiveEnd(evhttp_request *request, void *context) -> void
    {
        auto &state = *static_cast<State *>(context);
        state.done = true;
        state.broken = request == nullptr || evhttp_request_get_response_code(request) == 0;
        if (!state.broken) {
            state.body += drain(evhttp_request_get_input_buffer(request));
        }
    }
};

TestCall::TestCall(task::EventLoop &loop, const Address &peer, const TestRequest &request)
    : state_(std::make_unique<State>())
{
    state_->connection.reset(evhttp_connection_base_new(loop.base(), nullptr, peer.ip.c_str(), peer.port));
    evhttp_connection_set_local_address(state_->connection.get(), request.source.c_str());
    auto *raw = evhttp_request_new(&State::receiveEnd, state_.get());
    evhttp_request_set_header_cb(raw, &State::receiveHead);
    evhttp_request_set_chunked_cb(raw, &State::receivePiece);
    auto *headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", peer.ip.c_str());
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
    evhttp_make_request(state_->connection.get(), raw, commandOf(request.method), request.target.c_str());
}

TestCall::~TestCall() = default;

auto TestCall::cancel() -> void
{
    state_->connection.reset();
}

auto TestCall::isDone() const -> bool
{
    return state_->done;
}

auto TestCall::isBroken() const -> bool
{
    return state_->broken;
}

auto TestCall::status() const -> int
{
    return state_->status;
}

auto TestCall::header(const std::string &name) const -> std::string
{
    const auto found = state_->headers.find(name);
    return found == state_->headers.end() ? std::string() : found->second;
}

auto TestCall::body() const -> const std::string &
{
    return state_->body;
}

auto callAndWait(task::EventLoop &loop, const Address &peer, const TestRequest &request) -> std::unique_ptr<TestCall>
{
    auto call = std::make_unique<TestCall>(loop, peer, request);
    if (!runUntil(loop, [&]() { return call->isDone(); })) {
        throw std::runtime_error("no answer to " + request.method + " " + request.target);
    }
    return call;
}

auto sendControl(task::EventLoop &loop, const Address &control, const nlohmann::json &message) -> void
{
    const auto call = callAndWait(loop, control, { .method = "POST", .target = "/control", .body = message.dump() });
    if (call->status() != Ok) {
        throw std::runtime_error("control refused: " + call->body());
    }
}

} // namespace auburnspread::standins
