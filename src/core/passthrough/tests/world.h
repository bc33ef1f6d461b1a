/// \file
/// Test harness: a pass-through router in virtual time, with one engine service, one plain service and a route for each kind of request.

#pragma once

#include "core/passthrough/router.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace auburnspread::passthrough::tests
{

constexpr auto QuotePath = "/quote/1";   ///< a stream that can't be resumed, one attempt
constexpr auto CheckPath = "/check/1";   ///< a resumable stream, two attempts
constexpr auto NoticePath = "/notice/1"; ///< an at-most-once request
constexpr auto FetchPath = "/fetch/1";   ///< an idempotent request, two attempts

inline auto makeRoute(const std::string &prefix, Repeatability repeatability, std::uint32_t attempts) -> Route
{
    Route route{ .name = prefix, .host = "quotes.example", .prefix = prefix, .repeatability = repeatability };
    route.timeout = std::chrono::seconds(5);
    route.target = std::chrono::milliseconds(300);
    route.attempts = attempts;
    route.hasPrompt = repeatability == Repeatability::Stream;
    route.shares = { { .service = route.hasPrompt ? "engines" : "portal" } };
    return route;
}

inline auto makeConfiguration(std::uint64_t version = 1) -> Configuration
{
    Configuration configuration{ .version = version };
    configuration.routes = {
        makeRoute("/quote/", Repeatability::Stream, 1),
        makeRoute("/check/", Repeatability::Stream, 2),
        makeRoute("/notice/", Repeatability::AtMostOnce, 1),
        makeRoute("/fetch/", Repeatability::Idempotent, 2),
    };
    configuration.routes[0].tier = 1;
    configuration.routes[1].isResumable = true;
    configuration.services = { { .name = "engines", .batchSlots = 32, .cacheTokens = 292'000 }, { .name = "portal" } };
    configuration.workspaces = { { .name = "roofers", .keys = { "key-1" } } };
    configuration.checksKeys = true;
    return configuration;
}

inline auto makeServer(const std::string &id, const std::string &service, std::uint32_t slots) -> Server
{
    return { .id = id, .service = service, .address = "127.0.0.1:1", .failureDomain = "a", .slots = slots };
}

inline auto makeServers() -> std::vector<Server>
{
    return {
        makeServer("e1", "engines", 32), makeServer("e2", "engines", 32), makeServer("p1", "portal", 6),
        makeServer("p2", "portal", 6),   makeServer("p3", "portal", 6),
    };
}

class RouterHarness
{
public:
    explicit RouterHarness(RouterOptions options = { .entry = "entry-1", .failureDomain = "a" })
        : router_(makeRouter(std::move(options)))
    {
        apply(ConfigurationAdopted{ makeConfiguration() });
        confirm();
        apply(ServersListed{ .servers = makeServers(), .asOf = now_ });
    }

    auto apply(const Event &event) -> Actions
    {
        return step(*router_, event, now_);
    }
    auto confirm() -> void
    {
        apply(ConfigurationConfirmed{ .asOf = now_ });
    }
    /// Advances the time in small steps with a tick at each of them, and keeps the configuration confirmed.
    auto advance(Duration duration) -> Actions
    {
        Actions all;
        constexpr Duration Step = std::chrono::milliseconds(20);
        for (auto left = duration; left > Duration::zero(); left -= Step) {
            now_ += std::min(left, Step);
            confirm();
            const auto actions = apply(Tick{});
            all.insert(all.end(), actions.begin(), actions.end());
        }
        return all;
    }
    /// Advances the time without any event.
    auto advanceSilently(Duration duration) -> void
    {
        now_ += duration;
    }

    auto arrive(const std::string &path, std::string key = "key-1") -> Actions
    {
        return apply(request(path, std::move(key)));
    }
    auto request(const std::string &path, std::string key = "key-1") -> RequestArrived
    {
        RequestArrived arrived{ .request = RequestId{ ++lastRequest_ }, .host = "quotes.example", .path = path };
        arrived.key = std::move(key);
        arrived.fingerprint = Fingerprint{ lastRequest_ };
        arrived.prompt = { .tokens = 500, .maxAnswerTokens = 50, .parts = { { .id = 1, .tokens = 100 }, { .id = 1000 + lastRequest_, .tokens = 400 } } };
        return arrived;
    }

    [[nodiscard]] auto now() const -> TimePoint
    {
        return now_;
    }
    [[nodiscard]] auto router() const -> const RouterState &
    {
        return *router_;
    }

private:
    RouterStatePointer router_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    std::uint64_t lastRequest_ = 0;
};

/// \return the first action of this type, or nothing
template <typename Wanted>
auto find(const Actions &actions) -> std::optional<Wanted>
{
    for (const auto &action : actions) {
        if (const auto *wanted = std::get_if<Wanted>(&action)) {
            return *wanted;
        }
    }
    return std::nullopt;
}

template <typename Wanted>
auto count(const Actions &actions) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const Action &action) { return std::holds_alternative<Wanted>(action); }));
}

} // namespace auburnspread::passthrough::tests
