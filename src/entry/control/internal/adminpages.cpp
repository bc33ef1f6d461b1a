#include "entry/control/internal/adminpages.h"

#include <openssl/crypto.h>

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <string_view>
#include <utility>

namespace auburnspread::entry
{

namespace
{

constexpr int OkStatus = 200;
constexpr int AcceptedStatus = 202;
constexpr int BadStatus = 400;
constexpr int ForbiddenStatus = 403;
constexpr int NotFoundStatus = 404;
constexpr int WrongMethodStatus = 405;
constexpr int NotReadyStatus = 503;
constexpr std::string_view BackendsPath = "/v1/backends/";
constexpr std::string_view DrainSuffix = "/drain";
constexpr std::string_view QuarantinePath = "/v1/quarantine/";
constexpr std::string_view Bearer = "Bearer ";
constexpr int HexBase = 16;

auto isLoopback(std::string_view peer) -> bool
{
    return peer.starts_with("127.") || peer.starts_with("[::1]");
}

auto equalsInConstantTime(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

AdminPages::AdminPages(AdminPagesOptions options, http::Server &server)
    : options_(std::move(options))
{
    addReadPages(server);
    addOrders(server);
}

auto AdminPages::addReadPages(http::Server &server) -> void
{
    server.route("/healthz", [](const http::IncomingRequest & /*request*/, const http::Replier &replier) { replier.reply(OkStatus, "text/plain", "ok\n"); });
    server.route("/readyz", [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) {
        const auto readiness = options_.readiness();
        replier.reply(readiness.ready ? OkStatus : NotReadyStatus, "text/plain", readiness.ready ? "ready\n" : readiness.why + "\n");
    });
    server.route("/metrics", [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) {
        replier.reply(OkStatus, "text/plain; version=0.0.4", options_.metricsText());
    });
    server.route("/v1/status",
                 [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) { replier.replyJson(OkStatus, options_.status()); });
    server.route("/v1/quarantine", [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) {
        auto list = nlohmann::json::array();
        for (const auto fingerprint : options_.quarantined()) {
            list.push_back(formatFingerprint(fingerprint));
        }
        replier.replyJson(OkStatus, { { "quarantined", list } });
    });
}

auto AdminPages::addOrders(http::Server &server) -> void
{
    const auto guarded = [this](http::Method method, http::Handler handler) {
        return [this, method, handler = std::move(handler)](const http::IncomingRequest &request, const http::Replier &replier) {
            if (request.method != method) {
                replier.replyError(WrongMethodStatus, "expected " + std::string(http::methodName(method)));
            } else if (!mayOrder(request)) {
                replier.replyError(ForbiddenStatus, "the admin token is missing or wrong");
            } else {
                handler(request, replier);
            }
        };
    };
    server.route("/v1/drain", guarded(http::Method::Post, [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) {
                     options_.drain();
                     replier.replyJson(AcceptedStatus, { { "draining", true } });
                 }));
    server.route(std::string(BackendsPath), guarded(http::Method::Post, [this](const http::IncomingRequest &request, const http::Replier &replier) {
                     takeBackendOrder(request, replier);
                 }));
    server.route(std::string(QuarantinePath),
                 guarded(http::Method::Delete, [this](const http::IncomingRequest &request, const http::Replier &replier) { takeRelease(request, replier); }));
}

auto AdminPages::mayOrder(const http::IncomingRequest &request) const -> bool
{
    if (options_.token.empty()) {
        return isLoopback(request.peer);
    }
    const auto given = http::findHeader(request.headers, "Authorization");
    return given.starts_with(Bearer) && equalsInConstantTime(given.substr(Bearer.size()), options_.token);
}

auto AdminPages::takeBackendOrder(const http::IncomingRequest &request, const http::Replier &replier) const -> void
{
    const auto rest = std::string_view(request.path).substr(BackendsPath.size());
    if (!rest.ends_with(DrainSuffix)) {
        replier.replyError(NotFoundStatus, "expected /v1/backends/<name>/drain");
        return;
    }
    const auto name = std::string(rest.substr(0, rest.size() - DrainSuffix.size()));
    const auto undo = request.query.find("undo");
    const auto leaving = undo == request.query.end() || undo->second != "true";
    options_.drainBackend(name, leaving);
    replier.replyJson(AcceptedStatus, { { "backend", name }, { "leaving", leaving } });
}

auto AdminPages::takeRelease(const http::IncomingRequest &request, const http::Replier &replier) const -> void
{
    const auto text = std::string_view(request.path).substr(QuarantinePath.size());
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, HexBase);
    if (error != std::errc() || end != text.data() + text.size()) {
        replier.replyError(BadStatus, "expected a fingerprint of 16 hexadecimal digits");
        return;
    }
    options_.release(Fingerprint{ value });
    replier.replyJson(AcceptedStatus, { { "released", formatFingerprint(Fingerprint{ value }) } });
}

auto formatFingerprint(Fingerprint fingerprint) -> std::string
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

auto toJson(const routing::RouterStatus &status) -> nlohmann::json
{
    auto classes = nlohmann::json::array();
    for (const auto &known : status.classes) {
        classes.push_back({
            { "class", known.requestClass },
            { "waiting", known.waiting },
            { "in_flight", known.inFlight },
            { "completed", known.completed },
            { "on_time", known.onTime },
            { "refused", known.refused },
        });
    }
    auto backends = nlohmann::json::array();
    for (const auto &known : status.backends) {
        backends.push_back({
            { "backend", known.backend },
            { "in_flight", known.inFlight },
            { "share", known.share },
            { "ejected", known.ejected },
            { "leaving", known.leaving },
        });
    }
    auto quarantined = nlohmann::json::array();
    for (const auto fingerprint : status.quarantined) {
        quarantined.push_back(formatFingerprint(fingerprint));
    }
    return {
        { "configuration", { { "version", status.configurationVersion }, { "digest", status.configurationDigest } } },
        { "draining", status.draining },
        { "classes", classes },
        { "backends", backends },
        { "quarantined", quarantined },
        { "wasted_tokens", status.wastedTokens },
    };
}

} // namespace auburnspread::entry
