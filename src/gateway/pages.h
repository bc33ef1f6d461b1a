/// \file
/// HTTP endpoints of the entry itself: readiness probe, addresses of the entries that callers should use, and metrics.

#pragma once

#include "runtime/memory/account.h"
#include "runtime/task/eventloop.h"
#include "wire/http/server.h"

#include <functional>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

struct PagesCallbacks {
    std::function<bool()> isReady;
    std::function<std::vector<std::string>()> addresses; ///< addresses of the entries that callers should use
    std::function<Duration()> addressCacheTime;          ///< time for which callers may cache the addresses
    std::function<std::string()> metrics;                ///< metrics in Prometheus text format
};

struct PagesAddresses {
    std::string readiness;
    std::string addresses;
    std::string metrics;
};

class Pages
{
public:
    /// \throws std::runtime_error if an address can't be bound.
    /// \p account counts what is held for their callers.
    Pages(task::EventLoop &loop, memory::Account &account, const PagesAddresses &listen, PagesCallbacks callbacks);

private:
    auto answerReadiness(const http::Replier &replier) const -> void;
    auto answerAddresses(const http::Replier &replier) const -> void;

    PagesCallbacks callbacks_;
    http::Server readiness_;
    http::Server addresses_;
    http::Server metrics_;
};

} // namespace auburnspread::gateway
