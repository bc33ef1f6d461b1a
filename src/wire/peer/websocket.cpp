#include "wire/peer/websocket.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace auburnspread::peer
{

namespace
{

/// The library's own configuration without its locks and its log: one task owns the connection.
template <typename Base>
struct Config : public Base {
    using type = Config<Base>;
    using concurrency_type = websocketpp::concurrency::none;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;

    // NOLINTNEXTLINE(readability-identifier-naming): the library looks it up by this name
    struct transport_config : public Base::transport_config {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = typename Base::request_type;
        using response_type = typename Base::response_type;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
};

using Server = websocketpp::server<Config<websocketpp::config::core>>;
using Client = websocketpp::client<Config<websocketpp::config::core_client>>;

/// The library's connection for one role, driven by hand.
template <typename Endpoint>
class Session
{
public:
    Session(std::size_t messageBytes, WebSocketCallbacks callbacks)
        : callbacks_(std::move(callbacks))
        , connection_(makeConnection(endpoint_))
    {
        connection_->set_max_message_size(messageBytes);
        connection_->set_write_handler([this](const websocketpp::connection_hdl &, const char *bytes, std::size_t count) {
            callbacks_.write(bytes, count);
            return websocketpp::lib::error_code();
        });
        connection_->set_open_handler([this](const websocketpp::connection_hdl &) { callbacks_.opened(); });
        connection_->set_message_handler(
            [this](const websocketpp::connection_hdl &, const typename Endpoint::message_ptr &message) { callbacks_.received(message->get_payload()); });
    }

    ~Session()
    {
        connection_->set_write_handler([](const websocketpp::connection_hdl &, const char *, std::size_t) { return websocketpp::lib::error_code(); });
        connection_->set_open_handler(nullptr);
        connection_->set_message_handler(nullptr);
        // The pending read holds the connection; ending it releases both.
        connection_->eof();
        connection_->terminate(websocketpp::lib::error_code());
    }

    Session(const Session &) = delete;
    auto operator=(const Session &) -> Session & = delete;

    auto start() -> void
    {
        begin(endpoint_, connection_);
    }

    auto setMessageBytes(std::size_t messageBytes) -> void
    {
        connection_->set_max_message_size(messageBytes);
    }

    auto feed(const char *bytes, std::size_t count) -> WebSocketStatus
    {
        const auto taken = connection_->read_all(bytes, count);
        const auto state = connection_->get_state();
        if (taken == count && (state == websocketpp::session::state::connecting || state == websocketpp::session::state::open)) {
            return WebSocketStatus::Usable;
        }
        const auto code = connection_->get_local_close_code();
        const bool endedInOrder = code == websocketpp::close::status::normal || code == websocketpp::close::status::going_away;
        return endedInOrder ? WebSocketStatus::Ended : WebSocketStatus::Broken;
    }

    auto send(const std::string &message) -> bool
    {
        return !connection_->send(message, websocketpp::frame::opcode::binary);
    }

private:
    static auto makeConnection(Server &server) -> Server::connection_ptr
    {
        return server.get_connection();
    }

    static auto makeConnection(Client &client) -> Client::connection_ptr
    {
        websocketpp::lib::error_code error;
        return client.get_connection("ws://peer/", error);
    }

    static auto begin(Server & /*server*/, const Server::connection_ptr &connection) -> void
    {
        connection->start();
    }

    static auto begin(Client &client, const Client::connection_ptr &connection) -> void
    {
        client.connect(connection);
    }

    WebSocketCallbacks callbacks_;
    Endpoint endpoint_;
    typename Endpoint::connection_ptr connection_;
};

} // namespace

struct WebSocket::Implementation {
    std::unique_ptr<Session<Client>> client;
    std::unique_ptr<Session<Server>> server;

    template <typename Action>
    auto apply(Action action)
    {
        return client ? action(*client) : action(*server); // exactly one is set
    }
};

WebSocket::WebSocket(WebSocketRole role, std::size_t messageBytes, WebSocketCallbacks callbacks)
    : implementation_(std::make_unique<Implementation>())
{
    if (role == WebSocketRole::Client) {
        implementation_->client = std::make_unique<Session<Client>>(messageBytes, std::move(callbacks));
    } else {
        implementation_->server = std::make_unique<Session<Server>>(messageBytes, std::move(callbacks));
    }
}

WebSocket::~WebSocket() = default;

auto WebSocket::start() -> void
{
    implementation_->apply([](auto &session) { session.start(); });
}

auto WebSocket::setMessageBytes(std::size_t messageBytes) -> void
{
    implementation_->apply([&](auto &session) { session.setMessageBytes(messageBytes); });
}

auto WebSocket::feed(const char *bytes, std::size_t count) -> WebSocketStatus
{
    return implementation_->apply([&](auto &session) { return session.feed(bytes, count); });
}

auto WebSocket::send(const std::string &message) -> bool
{
    return implementation_->apply([&](auto &session) { return session.send(message); });
}

} // namespace auburnspread::peer
