#include "failuretests/site.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace auburnspread;
using namespace auburnspread::failuretests;

namespace
{

/// Two engines that serve the model; the document wants \p version.
auto makeDocument(const Site &site, const std::string &version, bool checksFencing) -> configuration::Document
{
    configuration::Document document{ .name = "small" };
    document.failureDomains = { { .name = "fd-a", .region = "north" } };
    document.models = { { .name = "quote-7b", .versions = { version } } };
    document.classes = { { .name = "quote", .tier = 0, .models = { { .model = "quote-7b" } } } };
    document.workspaces = { { .name = "roofs", .classes = { "quote" } } };
    for (const std::string name : { "engine-1", "engine-2" }) {
        document.backendServers.push_back({ .name = name,
                                            .address = site.standIns.at(name)->address,
                                            .failureDomain = "fd-a",
                                            .models = { { .model = "quote-7b", .version = version, .adapters = {} } },
                                            .checksFencing = checksFencing });
    }
    return document;
}

class PlacerProcessTests : public testing::TestWithParam<bool>
{
protected:
    auto startEngines() -> void
    {
        std::vector<std::string> arguments{ "--models", "quote-7b:1", "--platform", site_.platform->address };
        if (GetParam()) {
            arguments.emplace_back("--checks-fencing");
        }
        site_.startStandIn("fake-engine", "engine-1", arguments);
        site_.startStandIn("fake-engine", "engine-2", arguments);
    }

    auto ordersOf(const std::string &engine) -> nlohmann::json
    {
        return site_.caller.fetchJson(site_.standIns.at(engine)->address, "/orders");
    }

    auto serves(const std::string &engine, const std::string &version) -> bool
    {
        const auto orders = ordersOf(engine);
        return orders.is_object() && orders["models"].size() == 1 && orders["models"][0]["version"] == version;
    }

    auto bothServe(const std::string &version) -> bool
    {
        return serves("engine-1", version) && serves("engine-2", version);
    }

    auto holdsLease(const Placer &placer) -> bool
    {
        const auto status = site_.caller.fetchJson(placer.adminAddress, "/v1/status");
        return status.is_object() && status.value("holds_lease", false);
    }

    Site site_;
};

} // namespace

// The operator sees: a document with a new version is submitted, and both engines serve it; then the holder is killed
// while the next document is rolled out, a second placer takes the lease, and both engines serve the newest version.
// The killed holder's session ends at the platform by its TTL; the new holder's fencing number is greater.
TEST_P(PlacerProcessTests, aKilledHolderIsReplacedAndTheRolloutEnds)
{
    startEngines();
    site_.publish(makeDocument(site_, "2", GetParam()));
    auto &first = site_.startPlacer("placer-1");
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return bothServe("2"); }, 2 * LongWait)) << site_.logs();
    const auto oldFence = ordersOf("engine-1").value("fence", 0ULL);
    auto &second = site_.startPlacer("placer-2");
    site_.publish(makeDocument(site_, "3", GetParam()));
    first.process->signal(SIGKILL);
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return holdsLease(second); }, 2 * LongWait)) << site_.logs();
    EXPECT_TRUE(site_.caller.waitUntil([&]() { return bothServe("3"); }, 2 * LongWait)) << site_.logs();
    EXPECT_GT(ordersOf("engine-1").value("fence", 0ULL), oldFence);
}

// The operator sees: the holder's VM freezes past its lease; another takes over and rolls out the next version; the first
// wakes up, orders nothing, and stands by.
TEST_P(PlacerProcessTests, aHolderPausedPastItsLeaseOrdersNothingWhenItWakesUp)
{
    startEngines();
    site_.publish(makeDocument(site_, "2", GetParam()));
    auto &first = site_.startPlacer("placer-1");
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return bothServe("2"); }, 2 * LongWait)) << site_.logs();
    first.process->signal(SIGSTOP);
    auto &second = site_.startPlacer("placer-2");
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return holdsLease(second); }, 2 * LongWait)) << site_.logs();
    site_.publish(makeDocument(site_, "3", GetParam()));
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return bothServe("3"); }, 2 * LongWait)) << site_.logs();
    const auto fence = ordersOf("engine-1").value("fence", 0ULL);
    first.process->signal(SIGCONT);
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return first.process->output().find("lease-expired") != std::string::npos; })) << site_.logs();
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return first.process->output().find("lease-held-elsewhere") != std::string::npos; })) << site_.logs();
    EXPECT_FALSE(holdsLease(first));
    EXPECT_TRUE(bothServe("3"));
    EXPECT_EQ(ordersOf("engine-1").value("fence", 0ULL), fence);
}

// The operator sees: the platform goes down during the rollout; the engines keep what they have, the placer says that its
// lease expired, and after the outage the rollout ends. SIGTERM ends the placer with exit code 0.
TEST_P(PlacerProcessTests, anOutageOfThePlatformStopsOrdersAndNothingElse)
{
    startEngines();
    site_.publish(makeDocument(site_, "1", GetParam()));
    auto &placer = site_.startPlacer("placer-1");
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return holdsLease(placer); })) << site_.logs();
    site_.control(*site_.platform, { { "down", true } });
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return placer.process->output().find("lease-expired") != std::string::npos; })) << site_.logs();
    EXPECT_TRUE(bothServe("1"));
    site_.control(*site_.platform, { { "down", false } });
    site_.publish(makeDocument(site_, "2", GetParam()));
    EXPECT_TRUE(site_.caller.waitUntil([&]() { return bothServe("2"); }, 2 * LongWait)) << site_.logs();
    placer.process->signal(SIGTERM);
    ASSERT_TRUE(site_.caller.waitUntil([&]() { return placer.process->exitCode().has_value(); })) << site_.logs();
    EXPECT_EQ(placer.process->exitCode(), 0);
}

INSTANTIATE_TEST_SUITE_P(Fencing, PlacerProcessTests, testing::Bool(), [](const auto &info) { return info.param ? "checked" : "ignored"; });
