// Sixty entries start within the same moment, as after a loss of power. Each of them read all of the store for itself: the
// configuration, the servers, the entries, and took a lease to register. The store counted eight calls for each entry at once, when it
// has most to do, and again at each restart; with 295 entries 2,360 calls, a tenth of what all callers' requests of that time are worth.

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

/// What an entry of the fleet is made of, without callers and backend servers.
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
        return passthrough::isFresh(*router, now()) && fleet.hasServerList();
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
    /// \p deadSeeds: nobody answers at the addresses that are told at the start.
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

    /// Until all are ready and know each other.
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

/// A few entries read the store, the others ask these. What others read of it may be old, at a tenth of the price.
TEST(ColdStartTests, aColdFleetIsReadyWithFewCallsToTheStore)
{
    ColdFleet fleet(false);
    ASSERT_TRUE(fleet.runUntilWhole());
    EXPECT_LT(fleet.store.calls() - fleet.store.outdatedReads(), Entries) << "less than one for each entry";
}

/// The entries that are told at the start are gone. The first of the others to ask the store who is there reads it for the rest.
TEST(ColdStartTests, aColdFleetWithoutItsSeedsIsReadyToo)
{
    ColdFleet fleet(true);
    ASSERT_TRUE(fleet.runUntilWhole());
    EXPECT_LT(fleet.store.calls() - fleet.store.outdatedReads(), 4 * Entries) << "half of what each for itself takes";
}

/// What callers see: keys refused for longer than the store was away. It turns every call down for some seconds, and each entry that got
/// no confirmation read it for itself, again and again: 6,474 reads in 14 s, when the store could bear them least. Few try for all, and
/// all have it again once it is back.
TEST(ColdStartTests, fewEntriesTryAStoreThatIsAway)
{
    ColdFleet fleet(false);
    ASSERT_TRUE(fleet.runUntilWhole());
    const auto before = fleet.store.calls();
    fleet.store.setBusy(true);
    constexpr Duration Away = std::chrono::seconds(6);
    runUntil(
        fleet.loop, []() { return false; }, Away);
    EXPECT_LT(fleet.store.calls() - before, 4 * Entries) << "four times as many made each entry for itself";
    fleet.store.setBusy(false);
    EXPECT_TRUE(fleet.runUntilWhole());
}
