/// \file
/// The entry's admin address: health, readiness, metrics, status, and operators' orders.

#pragma once

#include "entry/messages/messages.h"
#include "wire/http/server.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace auburnspread::entry
{

struct Readiness {
    bool ready = false;
    std::string why; ///< why not
};

/// What the pages need of their task.
struct AdminPagesOptions {
    std::string token; ///< of operators; empty: orders are taken from loopback only
    std::function<Readiness()> readiness;
    std::function<std::string()> metricsText;
    std::function<nlohmann::json()> status;
    std::function<void()> drain;
    std::function<void(const std::string &backend, bool leaving)> drainBackend;
    std::function<std::vector<Fingerprint>()> quarantined;
    std::function<void(Fingerprint fingerprint)> release;
};

class AdminPages
{
public:
    /// Adds the routes to \p server.
    AdminPages(AdminPagesOptions options, http::Server &server);

private:
    auto addReadPages(http::Server &server) -> void;
    auto addOrders(http::Server &server) -> void;
    auto mayOrder(const http::IncomingRequest &request) const -> bool;
    auto takeBackendOrder(const http::IncomingRequest &request, const http::Replier &replier) const -> void;
    auto takeRelease(const http::IncomingRequest &request, const http::Replier &replier) const -> void;

    AdminPagesOptions options_;
};

/// A fingerprint as operators see it: 16 hexadecimal digits.
auto formatFingerprint(Fingerprint fingerprint) -> std::string;

/// The router's part of GET /v1/status.
auto toJson(const routing::RouterStatus &status) -> nlohmann::json;

} // namespace auburnspread::entry
