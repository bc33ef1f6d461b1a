/// \file
/// Queries the contents of the engines' prefix caches, once after the start of the entry.
///
/// After a simultaneous restart of all entries, none of them knows which engine caches which prompt prefix. Without the query,
/// sessions would be sent to engines that have to process their whole prompts again, all at the same time. Each engine is
/// queried by a few entries, which report the result to the others. What is held of their answers at once is bounded.

#pragma once

#include "core/passthrough/configuration.h"
#include "core/passthrough/events.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

struct CacheReaderCallbacks {
    std::function<void(const passthrough::CacheListed &listed)> onListed;
    std::function<void(std::string_view server, const std::string &detail)> onFailed;
    std::function<void(const passthrough::CallNoticed &event)> onNotice; ///< the engine states that it wants no requests
};

class CacheReader
{
public:
    CacheReader(task::EventLoop &loop, CacheReaderCallbacks callbacks);

    /// Queries those engines among \p servers that are assigned to \p self out of \p entries. Calls after the first have no effect.
    auto readOnce(const std::vector<passthrough::Server> &servers, const std::vector<std::string> &entries, const std::string &self) -> void;

    [[nodiscard]] auto hasRead() const -> bool;

private:
    /// Queries further engines while fewer than the allowed number are being queried.
    auto askNext() -> void;
    auto ask(const passthrough::Server &server) -> void;
    auto handle(const passthrough::Server &server, const http::Result &result) const -> void;

    http::Client client_;
    CacheReaderCallbacks callbacks_;
    bool hasRead_ = false;
    std::deque<passthrough::Server> waiting_;
    std::size_t open_ = 0; ///< engines that have not answered
};

} // namespace auburnspread::gateway
