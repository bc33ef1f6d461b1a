#include "gateway/cachereader.h"

#include "core/fleet/readers.h"
#include "platform/callerrequest.h"
#include "platform/enginecalls.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

/// Of the list of one engine's cache.
constexpr std::size_t MaxListBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::size_t MaxOpenQueries = 8;

} // namespace

CacheReader::CacheReader(task::EventLoop &loop, CacheReaderCallbacks callbacks)
    : client_(loop, { .bodyBytes = MaxListBytes })
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
            waiting_.push_back(server);
        }
    }
    askNext();
}

auto CacheReader::hasRead() const -> bool
{
    return hasRead_;
}

auto CacheReader::askNext() -> void
{
    while (open_ < MaxOpenQueries && !waiting_.empty()) {
        ask(waiting_.front());
        waiting_.pop_front();
    }
}

auto CacheReader::ask(const passthrough::Server &server) -> void
{
    open_ += 1;
    client_.fetch(adapter::makeCacheList(server.address), [this, server](const http::Result &result) {
        open_ -= 1;
        handle(server, result);
        askNext();
    });
}

auto CacheReader::handle(const passthrough::Server &server, const http::Result &result) const -> void
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        callbacks_.onFailed(server.id, error->text);
        return;
    }
    const auto &response = std::get<http::Response>(result);
    if (const auto notice = adapter::decodeServerNotice(response.status, response.headers); passthrough::isNotice(notice)) {
        callbacks_.onNotice({ .server = server.id, .startedAt = server.startedAt, .notice = notice });
    }
    auto parts = adapter::decodeCacheList(response);
    if (!parts) {
        callbacks_.onFailed(server.id, "status " + std::to_string(response.status));
        return;
    }
    callbacks_.onListed({ .server = server.id, .parts = std::move(*parts) });
}

} // namespace auburnspread::gateway
