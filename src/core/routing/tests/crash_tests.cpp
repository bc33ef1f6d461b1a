#include "core/routing/router.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <string>

using namespace auburnspread;
using namespace auburnspread::routing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Slots = 4;
constexpr Duration Round = 100ms;

/// Three backend servers whose slots are always taken: as one answer ends, another request goes there.
struct Site {
    RouterStatePointer router = makeRouter({ .entry = "entry-1" });
    TimePoint now;
    std::uint64_t requests = 0;
    struct Running {
        AttemptId attempt{};
        RequestId request{};
        std::string server;
    };
    std::deque<Running> running;
    std::set<RequestId> completed;
    std::map<RequestId, Reason> refused;
};

auto makeDocument() -> std::shared_ptr<configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = 1;
    auto &document = adopted->document;
    document.models = { { .name = "quote-7b", .versions = { "1" } } };
    document.classes = { { .name = "quote", .tier = 0, .models = { { .model = "quote-7b" } }, .firstTokenTarget = 20s } };
    document.workspaces = { { .name = "karoo", .classes = { "quote" } } };
    for (const auto *name : { "gpu-1", "gpu-2", "gpu-3" }) {
        document.backendServers.push_back(
            { .name = name, .address = std::string(name) + ":80", .models = { { .model = "quote-7b", .version = "1" } }, .concurrency = Slots });
    }
    return adopted;
}

auto take(Site &site, const Event &event) -> void
{
    for (const auto &action : step(*site.router, event, site.now)) {
        if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            site.running.push_back({ .attempt = dispatch->attempt, .request = dispatch->request, .server = dispatch->backend });
        } else if (const auto *completed = std::get_if<Completed>(&action)) {
            site.completed.insert(completed->request);
        } else if (const auto *refused = std::get_if<Refuse>(&action)) {
            site.refused[refused->request] = refused->reason;
        }
    }
}

auto arrive(Site &site) -> void
{
    site.requests += 1;
    const auto id = static_cast<RequestId>(site.requests);
    take(site, RequestArrived{ .request = id, .workspace = "karoo", .requestClass = "quote", .fingerprint = static_cast<Fingerprint>(site.requests) });
}

/// Demand is a little over what the servers answer: one answer ends a round, one request comes.
auto passRound(Site &site) -> void
{
    site.now += Round;
    take(site, Tick{});
    arrive(site);
    if (!site.running.empty()) {
        const auto oldest = site.running.front();
        site.running.pop_front();
        take(site, AttemptStarted{ oldest.attempt });
        take(site, AttemptFinished{ .attempt = oldest.attempt, .relayedTokens = 10 });
    }
}

auto crash(Site &site, const std::string &server) -> std::set<RequestId>
{
    std::set<RequestId> victims;
    const auto before = std::exchange(site.running, {});
    for (const auto &running : before) {
        if (running.server == server) {
            victims.insert(running.request);
            take(site, AttemptFailed{ .attempt = running.attempt, .failure = Failure::BrokenBeforeFirstByte });
        } else {
            site.running.push_back(running);
        }
    }
    return victims;
}

} // namespace

// A backend server crashes while every slot of the site is taken and more requests wait. Those that ran on it are
// suspects and are to be retried alone, on a server with little else to do; under full load there is none. They are
// answered all the same: after a short wait they go to whatever slot comes free, one to a server.
TEST(CrashTests, whoRanOnACrashedServerIsAnsweredAlsoUnderFullLoad)
{
    Site site;
    take(site, ConfigurationAdopted{ makeDocument() });
    for (std::uint32_t i = 0; i < 4 * Slots; ++i) {
        arrive(site);
    }
    for (int round = 0; round < 20; ++round) {
        passRound(site);
    }
    const auto victims = crash(site, "gpu-2");
    EXPECT_EQ(victims.size(), Slots);
    for (int round = 0; round < 150; ++round) {
        passRound(site);
    }
    for (const auto victim : victims) {
        EXPECT_TRUE(site.completed.contains(victim)) << static_cast<std::uint64_t>(victim);
    }
}
