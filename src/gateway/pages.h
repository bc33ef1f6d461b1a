/// \file
/// What an entry answers besides callers' requests: whether it is ready, which entries callers should use, and its metrics.

#pragma once

#include "runtime/task/eventloop.h"
#include "wire/http/server.h"

#include <functional>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

struct PagesCallbacks {
    std::function<bool()> isReady;
    std::function<std::vector<std::string>()> addresses; ///< of the entries for callers
    std::function<Duration()> keepAddresses;             ///< for how long callers may keep that answer
    std::function<std::string()> metrics;                ///< as Prometheus text
};

struct PagesAddresses {
    std::string readiness;
    std::string addresses;
    std::string metrics;
};

class Pages
{
public:
    /// Throws if an address can't be bound.
    Pages(task::EventLoop &loop, const PagesAddresses &listen, PagesCallbacks callbacks);

private:
    auto answerReadiness(const http::Replier &replier) const -> void;
    auto answerAddresses(const http::Replier &replier) const -> void;

    PagesCallbacks callbacks_;
    http::Server readiness_;
    http::Server addresses_;
    http::Server metrics_;
};

} // namespace auburnspread::gateway
