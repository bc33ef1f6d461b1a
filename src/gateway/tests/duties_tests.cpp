#include "gateway/clock.h"
#include "gateway/election.h"
#include "gateway/serverorders.h"
#include "gateway/usagereports.h"
#include "platform/standins/dutystandin.h"
#include "platform/standins/storestandin.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <memory>
#include <numeric>

using namespace auburnspread;
using namespace auburnspread::gateway;
using adapter::standins::DutyStandin;
using adapter::standins::StoreStandin;
using http::tests::runUntil;

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(50);

struct Platform {
    task::EventLoop loop;
    StoreStandin store{ loop };
    DutyStandin duties{ loop };
};

/// One entry that may lead, with its share of the counts.
struct Candidate {
    Candidate(Platform &platform, const std::string &name)
        : election(platform.loop,
                   platform.store.address(),
                   { .entry = name, .incarnation = 1, .lifetime = std::chrono::seconds(3) },
                   {
                       .onTermBegun = [this](std::uint64_t token) { usage.beginTerm(token); },
                       .onTermEnded =
                           [this](std::uint64_t /*token*/, leadership::TermEnd reason) {
                               ended = reason;
                               usage.endTerm();
                           },
                       .onInvalid = [](std::string_view /*what*/, const std::string &detail) { ADD_FAILURE() << detail; },
                   })
        , usage(platform.loop,
                {
                    .store = platform.store.address(),
                    .api = platform.duties.address(),
                    .entry = name,
                    .incarnation = 1,
                    .windows = { .windowLength = std::chrono::seconds(1) },
                },
                {
                    .onTokenRefused = [this](std::uint64_t token) { election.noteTokenRefused(token); },
                    .onWindow = [](usage::Window /*window*/, std::string_view /*outcome*/, std::uint64_t /*requests*/) {},
                    .onInvalid = [](std::string_view /*what*/, const std::string &detail) { ADD_FAILURE() << detail; },
                })
    {
        election.start();
        timer = platform.loop.every(TickInterval, [this, name]() {
            usage.makeReport();
            if (election.token()) {
                usage.tick({ name });
            }
        });
    }

    Election election;
    UsageReports usage;
    std::optional<leadership::TermEnd> ended;
    task::Watch timer;
};

auto requestsOf(const DutyStandin &duties) -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto &[window, counts] : duties.usage()) {
        sum = std::accumulate(counts.begin(), counts.end(), sum, [](std::uint64_t all, const auto &item) { return all + item.second; });
    }
    return sum;
}

} // namespace

TEST(DutyTests, theLeaderReportsWhatBeganToRun)
{
    Platform platform;
    Candidate entry(platform, "entry-1");
    entry.election.setEligible(true);
    entry.usage.noteBegun("roofers", now());
    entry.usage.noteBegun("roofers", now());
    entry.usage.noteBegun("", now());
    EXPECT_TRUE(runUntil(platform.loop, [&platform]() { return requestsOf(platform.duties) == 2; }));
    EXPECT_EQ(platform.duties.conflicts(), 0U);
}

/// Guards against two entries that lead at the same time, and against a token that does not grow.
TEST(DutyTests, anotherEntryLeadsWhenTheFirstLeaves)
{
    Platform platform;
    Candidate first(platform, "entry-1");
    Candidate second(platform, "entry-2");
    first.election.setEligible(true);
    ASSERT_TRUE(runUntil(platform.loop, [&first]() { return first.election.token().has_value(); }));
    const auto token = *first.election.token();
    second.election.setEligible(true);
    EXPECT_FALSE(runUntil(
        platform.loop, [&second]() { return second.election.token().has_value(); }, std::chrono::milliseconds(300)));
    first.election.setEligible(false);
    ASSERT_TRUE(runUntil(platform.loop, [&second]() { return second.election.token().has_value(); }));
    EXPECT_GT(*second.election.token(), token);
    EXPECT_FALSE(first.election.token());
}

/// Guards against a leader that goes on although another one has acted since.
TEST(DutyTests, aLeaderWhoseTokenIsRefusedStops)
{
    Platform platform;
    Candidate entry(platform, "entry-1");
    platform.duties.raiseToken(1'000'000);
    entry.election.setEligible(true);
    entry.usage.noteBegun("roofers", now());
    EXPECT_TRUE(runUntil(platform.loop, [&entry]() { return entry.ended == leadership::TermEnd::TokenRefused; }));
    EXPECT_EQ(requestsOf(platform.duties), 0U);
}

/// Guards against usage that is lost because the platform's interface was away for a while.
TEST(DutyTests, usageIsSentWhenThePlatformIsBack)
{
    Platform platform;
    Candidate entry(platform, "entry-1");
    platform.duties.setBusy(true);
    entry.election.setEligible(true);
    entry.usage.noteBegun("roofers", now());
    ASSERT_TRUE(runUntil(platform.loop, [&entry]() { return entry.usage.calls() >= 4; }));
    platform.duties.setBusy(false);
    EXPECT_TRUE(runUntil(platform.loop, [&platform]() { return requestsOf(platform.duties) == 1; }));
}

/// Guards against a leader that gives up its term because a failure domain has no preemptible servers to give.
TEST(DutyTests, preemptibleServersThatAreNotToBeHadEndNoTerm)
{
    Platform platform;
    auto refused = false;
    std::string outcome;
    ServerOrders orders(platform.loop,
                        { .api = platform.duties.address(), .entry = "entry-1" },
                        {
                            .onTokenRefused = [&refused](std::uint64_t /*token*/) { refused = true; },
                            .onOrder = [&outcome](const ordering::Order & /*order*/, std::string_view told, double /*needed*/) { outcome = told; },
                        });
    platform.duties.setServersAvailable(false);
    orders.beginTerm();
    orders.update({ .service = "engines", .scaling = { .maxServers = 6, .preemptiblePrice = 0.2, .prices = { { "a", 1.0 } } } }, 17);
    EXPECT_TRUE(runUntil(platform.loop, [&outcome]() { return outcome == "declined"; }));
    EXPECT_FALSE(refused);
    EXPECT_TRUE(platform.duties.orders().empty());
}
