#include "gateway/cachereader.h"

#include "core/fleet/readers.h"
#include "platform/callerrequest.h"
#include "platform/enginecalls.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace auburnspread::gateway
{

CacheReader::CacheReader(task::EventLoop &loop, CacheReaderCallbacks callbacks)
    : client_(loop, {})
    , callbacks_(std::move(callbacks))
{
}

auto CacheReader::readOnce(const std::vector<passthrough::Server> &servers, const std::vector<std::string> &entries, const std::string &self) -> void
{
    if (std::exchange(hasRead_, true)) {
        return;
    }
    for (const auto &server : servers) {
        if (fleet::queriesCacheOf(server.id, entries, self)) {
            ask(server);
        }
    }
}

auto CacheReader::hasRead() const -> bool
{
    return hasRead_;
}

auto CacheReader::ask(const passthrough::Server &server) -> void
{
    client_.fetch(adapter::makeCacheList(server.address), [this, id = server.id, startedAt = server.startedAt](const http::Result &result) {
        if (const auto *error = std::get_if<http::Error>(&result)) {
            callbacks_.onFailed(id, error->text);
            return;
        }
        const auto &response = std::get<http::Response>(result);
        if (const auto notice = adapter::decodeServerNotice(response.status, response.headers); passthrough::isNotice(notice)) {
            callbacks_.onNotice({ .server = id, .startedAt = startedAt, .notice = notice });
        }
        auto parts = adapter::decodeCacheList(response);
        if (!parts) {
            callbacks_.onFailed(id, "status " + std::to_string(response.status));
            return;
        }
        callbacks_.onListed({ .server = id, .parts = std::move(*parts) });
    });
}

} // namespace auburnspread::gateway
