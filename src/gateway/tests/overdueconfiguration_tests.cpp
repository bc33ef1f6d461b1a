// Guards against routing by a configuration that is known to be outdated. Operators wrote a configuration that moved a route to another
// service, and it was acknowledged. Sixty entries on narrow links learned at once that a newer configuration existed but could not fetch it.
// Seconds later they refused requests with a key, as their configuration was no longer confirmed, but kept sending requests without a key to
// the old service. An entry that receives nothing may be cut off from the store, and keeps serving by the configuration it has; these entries
// knew that theirs was outdated. Two requests without a key, 3.1 and 3.3 s after the acknowledgement, were routed by version 8 although
// version 10 was in force. The entries' log just before:
//
//     dependency-lost, ask-directory: receive 10.1.0.39:7180: timeout
//     readiness-changed, configuration not confirmed

#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/clock.h"
#include "gateway/directoryfollower.h"
#include "gateway/directorypage.h"
#include "gateway/documentfetcher.h"
#include "gateway/fleet.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "standins/testing/loopback.h"
#include "wire/http/server.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>

using namespace auburnspread;
using namespace auburnspread::gateway;
using http::tests::runUntil;
using passthrough::Refuse;
namespace platform = auburnspread::adapter::standins;

namespace
{

constexpr auto Host = "quotes.example";
/// Longer than the time within which a configuration has to be in force, 2 s, plus two queries without a response. The router's tests check
/// that time in virtual time; here the value only bounds how long a test observes that nothing happens.
constexpr Duration InForce = std::chrono::seconds(4);

auto makeDocument(std::uint64_t version) -> std::string
{
    passthrough::Route route{ .name = "fetch", .host = Host, .prefix = "/fetch/", .repeatability = passthrough::Repeatability::Idempotent };
    route.timeout = std::chrono::seconds(5);
    route.target = std::chrono::milliseconds(300);
    route.attempts = 1;
    route.needsKey = false;
    return platform::configurationText(version, { route }, "portal", "roofers", { "key-1" });
}

/// Another entry that reads the store. It offers its configuration, and serves parts of it only while \c sendsParts is set.
struct Reader {
    explicit Reader(task::EventLoop &loop)
        : server(loop)
    {
        server.route(std::string(DirectoryPath), [this](const http::IncomingRequest &request, const http::Replier &replier) {
            state.confirmedAt = now();
            applyServers(state, { .asOf = now() });
            replier.reply(200, "application/cbor", encodeAnswer(makeAnswer(state, parseDirectoryQuery(request.query), now())));
        });
        server.route(std::string(DocumentPath), [this](const http::IncomingRequest &request, const http::Replier &replier) {
            const auto partQuery = parsePartQuery(request.query);
            const auto part = sendsParts ? readPart(state.configurations, partQuery.tag, partQuery.from) : std::nullopt;
            replier.reply(part ? 200 : 503, "application/octet-stream", part.value_or(std::string_view()));
        });
        address = server.listen("127.0.0.1:0");
    }

    http::Server server;
    DirectoryState state;
    std::string address;
    bool sendsParts = false;
};

/// An entry that queries the reader. It read the store once, at its start, and the store has not responded since.
struct FollowingEntry {
    explicit FollowingEntry(std::uint64_t version = 1)
    {
        store.put(std::string(platform::ConfigurationKey), makeDocument(version));
        for (const auto *name : { "reader-1", "reader-2", "reader-3" }) {
            const adapter::EntryRecord record{
                .name = name, .callerAddress = reader.address, .peerAddress = reader.address, .failureDomain = "a", .strength = 10
            };
            store.put(std::string("auburnspread/entries/") + name, adapter::encodeEntry(record));
        }
        fleet.start();
        const auto isFollowing = [this]() { return passthrough::isConfigurationFresh(*router, now()) && fleet.otherAddresses().size() == 3; };
        EXPECT_TRUE(runUntil(loop, isFollowing));
        store.setSilent(true);
    }

    static auto makeSettings(const std::string &storeAddress) -> GatewaySettings
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

    auto offer(std::uint64_t version) -> void
    {
        constexpr std::uint64_t Later = 1000; // later than any revision of the stand-in
        applyConfiguration(reader.state, { .document = makeDocument(version), .revision = Later + version });
    }

    /// Sends a request without a key. \return its refusal, if it is refused
    auto requestWithoutKey() -> std::optional<Refuse>
    {
        const passthrough::RequestArrived request{ .request = RequestId{ ++lastRequest }, .host = Host, .path = "/fetch/1" };
        for (const auto &action : passthrough::step(*router, request, now())) {
            if (const auto *refusal = std::get_if<Refuse>(&action)) {
                return *refusal;
            }
        }
        return std::nullopt;
    }

    auto isOutOfDate() -> bool
    {
        const auto refused = requestWithoutKey();
        return refused && refused->reason == Reason::StaleConfiguration;
    }

    task::EventLoop loop;
    platform::StoreStandin store{ loop };
    Reader reader{ loop };
    passthrough::RouterStatePointer router = passthrough::makeRouter({ .entry = "entry-1", .failureDomain = "a" });
    Accounting accounting;
    Fleet fleet{ loop,
                 makeSettings(store.address()),
                 *router,
                 accounting,
                 {
                     .onEvent = [this](const passthrough::Event &event) { passthrough::step(*router, event, now()); },
                     .onLimits = [](auto &&...) {},
                     .onServerGone = [](auto &&...) {},
                     .onReadinessChanged = []() {},
                 } };
    std::uint64_t lastRequest = 0;
};

} // namespace

TEST(OverdueConfigurationTests, anEntryThatKnowsOfANewerConfigurationStopsRoutingByTheOldOne)
{
    FollowingEntry entry;
    EXPECT_FALSE(entry.isOutOfDate());
    entry.offer(2);
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return entry.isOutOfDate(); }));
    const auto refused = entry.requestWithoutKey();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->outcome, Outcome::NotRun);
    EXPECT_TRUE(refused->retryAfter) << "another entry has it";

    entry.reader.sendsParts = true;
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return !entry.isOutOfDate(); }));
    EXPECT_EQ(passthrough::statusOf(*entry.router, now()).configurationVersion, 2U);
}

/// The store is unavailable and no entry knows of a newer configuration: requests that need no key are served, however long the outage lasts.
TEST(OverdueConfigurationTests, anEntryThatKnowsOfNoNewerConfigurationKeepsServing)
{
    FollowingEntry entry;
    EXPECT_FALSE(runUntil(
        entry.loop, [&]() { return entry.isOutOfDate(); }, InForce));
}

/// Operators wrote an older version again, and an entry that started afterwards has it in force. The others keep the newer version, as
/// versions never go back. They have read the offered document, so the offer does not make their configuration outdated.
TEST(OverdueConfigurationTests, anOlderVersionWrittenAgainStopsNoEntry)
{
    FollowingEntry entry(5);
    entry.reader.sendsParts = true;
    entry.offer(3);
    EXPECT_FALSE(runUntil(
        entry.loop, [&]() { return entry.isOutOfDate(); }, InForce));
    EXPECT_EQ(passthrough::statusOf(*entry.router, now()).configurationVersion, 5U);
}
