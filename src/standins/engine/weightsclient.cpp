#include "standins/engine/weightsclient.h"

#include <event2/event.h>
#include <event2/http.h>

#include <utility>

namespace auburnspread::standins
{

namespace
{

constexpr auto PauseAfterFailure = std::chrono::milliseconds(200);
constexpr int Ok = 200;
constexpr int SecondsForWeights = 120;

struct ConnectionDeleter {
    auto operator()(evhttp_connection *connection) const -> void
    {
        evhttp_connection_free(connection);
    }
};

} // namespace

struct WeightsClient::Fetch {
    task::EventLoop &loop;
    Address platform;
    std::string path;
    std::function<bool()> stillWanted;
    std::function<void()> loaded;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> connection;
    task::Watch next;
};

WeightsClient::WeightsClient(task::EventLoop &loop, Address platform)
    : loop_(loop)
    , platform_(std::move(platform))
{
}

auto WeightsClient::fetch(const std::string &model, const std::string &version, std::function<bool()> stillWanted, std::function<void()> loaded) -> void
{
    begin(std::make_shared<Fetch>(Fetch{ .loop = loop_,
                                         .platform = platform_,
                                         .path = "/v1/weights/" + model + "/" + version,
                                         .stillWanted = std::move(stillWanted),
                                         .loaded = std::move(loaded) }));
}

auto WeightsClient::begin(const std::shared_ptr<Fetch> &fetch) -> void
{
    if (!fetch->stillWanted()) {
        return;
    }
    fetch->connection.reset(evhttp_connection_base_new(fetch->loop.base(), nullptr, fetch->platform.ip.c_str(), fetch->platform.port));
    evhttp_connection_set_timeout(fetch->connection.get(), SecondsForWeights);
    const auto receive = [](evhttp_request *request, void *context) {
        const std::unique_ptr<std::shared_ptr<Fetch>> share(static_cast<std::shared_ptr<Fetch> *>(context));
        const bool succeeded = request != nullptr && evhttp_request_get_response_code(request) == Ok;
        end(*share, succeeded);
    };
    auto *request = evhttp_request_new(receive, new std::shared_ptr<Fetch>(fetch));
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", fetch->platform.ip.c_str());
    evhttp_make_request(fetch->connection.get(), request, EVHTTP_REQ_GET, fetch->path.c_str());
}

auto WeightsClient::end(const std::shared_ptr<Fetch> &fetch, bool succeeded) -> void
{
    if (succeeded && fetch->stillWanted()) {
        fetch->loaded();
    }
    //! NOTE the connection is in the middle of its callback and must be freed in a later turn
    const auto pause = succeeded ? std::chrono::milliseconds(0) : PauseAfterFailure;
    fetch->next = fetch->loop.after(pause, [fetch, succeeded]() {
        fetch->connection.reset();
        fetch->next = task::Watch();
        if (!succeeded) {
            begin(fetch);
        }
    });
}

} // namespace auburnspread::standins
