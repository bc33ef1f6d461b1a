// Guards against a thundering herd on the store when all entries start at once, as after a power failure. If each entry reads the
// configuration, the servers and the entries for itself and acquires a lease, the store receives eight calls for each entry at the moment of
// its highest load, and again at each restart. With 295 entries these are 2,360 calls, a tenth of the cost of all callers' requests in
// that time.

#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/clock.h"
#include "gateway/fleet.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "standins/testing/loopback.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using http::tests::runUntil;
namespace platform = auburnspread::adapter::standins;

namespace
{

constexpr std::size_t Entries = 60;
constexpr std::size_t Seeds = 3;

auto makeDocument(std::uint64_t version) -> std::string
{
    passthrough::Route route{ .name = "fetch", .host = "quotes.example", .prefix = "/fetch/", .repeatability = passthrough::Repeatability::Idempotent };
    route.timeout = std::chrono::seconds(5);
    route.target = std::chrono::milliseconds(300);
    return platform::configurationText(version, { route }, "portal", "roofers", { "key-1" });
}

/// The parts of an entry that take part in the fleet, without callers and backend servers.
struct Entry {
    Entry(task::EventLoop &loop, const GatewaySettings &settings)
        : router(passthrough::makeRouter({ .entry = settings.name, .failureDomain = settings.failureDomain }))
        , fleet(loop,
                settings,
                *router,
                accounting,
                {
                    .onEvent = [this](const passthrough::Event &event) { passthrough::step(*router, event, now()); },
                    .onLimits = [](auto &&...) {},
                    .onServerGone = [](auto &&...) {},
                    .onReadinessChanged = [this]() { announceOnceReady(); },
                })
    {
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        return passthrough::isConfigurationFresh(*router, now()) && fleet.hasServerList();
    }

    auto announceOnceReady() -> void
    {
        if (isReady()) {
            fleet.announce();
        }
    }

    passthrough::RouterStatePointer router;
    Accounting accounting;
    Fleet fleet;
};

struct ColdFleet {
    /// \p deadSeeds: nothing listens at the configured seed addresses.
    explicit ColdFleet(bool deadSeeds)
    {
        store.put(std::string(platform::ConfigurationKey), makeDocument(1));
        const passthrough::Server server{ .service = "portal", .address = "127.0.0.1:9", .failureDomain = "a", .slots = 6 };
        store.put(platform::serverKey("i-1"), platform::serverText(server));
        std::vector<GatewaySettings> settings;
        for (std::size_t i = 0; i < Entries; ++i) {
            settings.push_back({
                .name = "entry-" + std::to_string(i),
                .failureDomain = "a",
                .callerAddress = "127.0.0.1:1",
                .peerAddress = standins::takeLoopbackAddress(),
                .storeAddress = store.address(),
                .strength = 10,
                .leaseTime = std::chrono::seconds(10),
            });
        }
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < Seeds; ++i) {
            seeds.push_back(deadSeeds ? standins::takeLoopbackAddress() : settings[i].peerAddress);
        }
        for (auto &each : settings) {
            each.seeds = seeds;
            entries.push_back(std::make_unique<Entry>(loop, each));
        }
        for (auto &entry : entries) {
            entry->fleet.start();
        }
    }

    /// Runs until all entries are ready and know each other.
    auto runUntilWhole() -> bool
    {
        const auto isWhole = [](const std::unique_ptr<Entry> &entry) { return entry->isReady() && entry->fleet.otherAddresses().size() == Entries - 1; };
        return runUntil(loop, [&]() { return std::all_of(entries.begin(), entries.end(), isWhole); });
    }

    task::EventLoop loop;
    platform::StoreStandin store{ loop };
    std::vector<std::unique_ptr<Entry>> entries;
};

} // namespace

/// A few entries read the store, and the others query these. The others read the store only by stale reads, at a tenth of the cost.
TEST(ColdStartTests, aColdFleetIsReadyWithFewCallsToTheStore)
{
    ColdFleet fleet(false);
    ASSERT_TRUE(fleet.runUntilWhole());
    EXPECT_LT(fleet.store.calls() - fleet.store.outdatedReads(), Entries) << "less than one for each entry";
}

/// The configured seeds are gone. The first other entry that reads the registrations from the store reads it for the rest.
TEST(ColdStartTests, aColdFleetWithoutItsSeedsIsReady)
{
    ColdFleet fleet(true);
    ASSERT_TRUE(fleet.runUntilWhole());
    EXPECT_LT(fleet.store.calls() - fleet.store.outdatedReads(), 4 * Entries) << "half of the calls if each entry read for itself";
}

/// Guards against keys that are refused for longer than the store's outage. The store refuses every call for some seconds. If each entry
/// without a confirmation reads it for itself, repeatedly, an overloaded store receives 6,474 reads in 14 s. Instead a few entries retry on
/// behalf of all, and all of them recover once the store responds.
TEST(ColdStartTests, fewEntriesRetryAnUnavailableStore)
{
    ColdFleet fleet(false);
    ASSERT_TRUE(fleet.runUntilWhole());
    const auto before = fleet.store.calls();
    fleet.store.setBusy(true);
    constexpr Duration Outage = std::chrono::seconds(6);
    runUntil(
        fleet.loop, []() { return false; }, Outage);
    EXPECT_LT(fleet.store.calls() - before, 4 * Entries) << "four times as many if each entry retried for itself";
    fleet.store.setBusy(false);
    EXPECT_TRUE(fleet.runUntilWhole());
}
