#include "gateway/pages.h"

#include "platform/pages.h"
#include "runtime/metrics/prometheus.h"

#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr int OkStatus = 200;
constexpr int UnavailableStatus = 503;
constexpr auto JsonType = "application/json";
constexpr auto TextType = "text/plain";

/// Requests for pages have no body.
constexpr http::ServerOptions PageOptions{ .bodyBytes = 1024 };

} // namespace

Pages::Pages(task::EventLoop &loop, memory::Account &account, const PagesAddresses &listen, PagesCallbacks callbacks)
    : callbacks_(std::move(callbacks))
    , readiness_(loop, PageOptions, &account)
    , addresses_(loop, PageOptions, &account)
    , metrics_(loop, PageOptions, &account)
{
    readiness_.route(std::string(adapter::readinessPath()), [this](const http::IncomingRequest &, const http::Replier &replier) { answerReadiness(replier); });
    addresses_.route(std::string(adapter::addressesPath()), [this](const http::IncomingRequest &, const http::Replier &replier) { answerAddresses(replier); });
    metrics_.route("/metrics", [this](const http::IncomingRequest &, const http::Replier &replier) {
        replier.reply(OkStatus, metrics::PrometheusContentType, callbacks_.metrics());
    });
    readiness_.listen(listen.readiness);
    addresses_.listen(listen.addresses);
    metrics_.listen(listen.metrics);
}

auto Pages::answerReadiness(const http::Replier &replier) const -> void
{
    const auto isReady = callbacks_.isReady();
    replier.reply(isReady ? OkStatus : UnavailableStatus, TextType, isReady ? "ready\n" : "not ready\n");
}

auto Pages::answerAddresses(const http::Replier &replier) const -> void
{
    const auto addresses = callbacks_.addresses();
    if (addresses.empty()) {
        replier.reply(UnavailableStatus, TextType, "no entry is known to be ready\n");
        return;
    }
    replier.reply(OkStatus, JsonType, adapter::encodeAddresses(addresses, callbacks_.addressCacheTime()));
}

} // namespace auburnspread::gateway
