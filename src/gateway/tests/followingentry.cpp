#include "gateway/tests/followingentry.h"

#include "standins/testing/loopback.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

namespace auburnspread::gateway::tests
{

namespace
{

constexpr auto Host = "quotes.example";
constexpr int OkStatus = 200;
constexpr int UnavailableStatus = 503;

auto makeSettings(const std::string &storeAddress) -> GatewaySettings
{
    return {
        .name = "entry-1",
        .failureDomain = "a",
        .callerAddress = "127.0.0.1:1",
        .peerAddress = auburnspread::standins::takeLoopbackAddress(),
        .storeAddress = storeAddress,
        .leaseTime = std::chrono::seconds(3),
    };
}

auto makeCallbacks(passthrough::RouterState &router) -> FleetCallbacks
{
    return {
        .onEvent = [&router](const passthrough::Event &event) { passthrough::step(router, event, now()); },
        .onLimits = [](auto &&...) {},
        .onServerGone = [](auto &&...) {},
        .onReadinessChanged = []() {},
    };
}

} // namespace

auto makeConfigurationText(std::uint64_t version) -> std::string
{
    passthrough::Route route{ .name = "fetch", .host = Host, .prefix = "/fetch/", .repeatability = passthrough::Repeatability::Idempotent };
    route.timeout = std::chrono::seconds(5);
    route.target = std::chrono::milliseconds(300);
    route.attempts = 1;
    route.needsKey = false;
    return adapter::standins::configurationText(version, { route }, "portal", "roofers", { "key-1" });
}

Reader::Reader(task::EventLoop &loop)
    : server(loop)
{
    server.route(std::string(DirectoryPath), [this](const http::IncomingRequest &request, const http::Replier &replier) {
        queries += 1;
        if (onQuery) {
            onQuery();
        }
        state.confirmedAt = now();
        applyServers(state, { .asOf = now() });
        replier.reply(OkStatus, "application/cbor", encodeAnswer(makeAnswer(state, parseDirectoryQuery(request.query), now())));
    });
    server.route(std::string(DocumentPath), [this](const http::IncomingRequest &request, const http::Replier &replier) {
        const auto partQuery = parsePartQuery(request.query);
        const auto part = sendsParts ? readPart(state.configurations, partQuery.tag, partQuery.from) : std::nullopt;
        replier.reply(part ? OkStatus : UnavailableStatus, "application/octet-stream", part.value_or(std::string_view()));
    });
    address = server.listen("127.0.0.1:0");
}

FollowingEntry::FollowingEntry(std::uint64_t version)
    : fleet(loop, makeSettings(store.address()), *router, accounting, makeCallbacks(*router))
{
    store.put(std::string(adapter::standins::ConfigurationKey), makeConfigurationText(version));
    for (const auto *name : { "reader-1", "reader-2", "reader-3" }) {
        const adapter::EntryRecord record{ .name = name, .callerAddress = reader.address, .peerAddress = reader.address, .failureDomain = "a", .strength = 10 };
        store.put(std::string("auburnspread/entries/") + name, adapter::encodeEntry(record));
    }
    fleet.start();
    const auto isFollowing = [this]() { return passthrough::isConfigurationFresh(*router, now()) && fleet.otherAddresses().size() == 3; };
    EXPECT_TRUE(http::tests::runUntil(loop, isFollowing));
    store.setSilent(true);
}

auto FollowingEntry::offer(std::uint64_t version) -> void
{
    constexpr std::uint64_t Later = 1000; // later than any revision of the stand-in
    applyConfiguration(reader.state, { .document = makeConfigurationText(version), .revision = { .era = 1, .number = Later + version } });
}

auto FollowingEntry::requestWithoutKey(Fingerprint fingerprint) -> std::optional<passthrough::Refuse>
{
    const passthrough::RequestArrived request{ .request = RequestId{ ++lastRequest }, .host = Host, .path = "/fetch/1", .fingerprint = fingerprint };
    for (const auto &action : passthrough::step(*router, request, now())) {
        if (const auto *refusal = std::get_if<passthrough::Refuse>(&action)) {
            return *refusal;
        }
    }
    return std::nullopt;
}

auto FollowingEntry::isOutOfDate() -> bool
{
    const auto refused = requestWithoutKey();
    return refused && refused->reason == Reason::StaleConfiguration;
}

auto FollowingEntry::confirmedAt() const -> TimePoint
{
    const auto at = now();
    return at - passthrough::statusOf(*router, at).configurationAge;
}

} // namespace auburnspread::gateway::tests
