// Guards against an entry that learns late that a server leaves, or that a key is withdrawn, because the entries that it asks for the store's data
// were lost. It asked one lost entry after the other and read the store itself 2.2 s after the last answer, then at growing intervals. Requests reached
// a draining server up to 2.15 s after the store had accepted the drain (review/7).

#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/clock.h"
#include "gateway/directorypage.h"
#include "gateway/fleet.h"
#include "gateway/tests/followingentry.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "standins/testing/loopback.h"
#include "wire/http/server.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using adapter::standins::StoreStandin;
using http::tests::runUntil;

namespace
{

constexpr int OkStatus = 200;

/// What another entry does with a directory query.
enum class Reply {
    Fresh,  ///< answers with data that is as of now
    Old,    ///< answers with the data that it had when it lost the store
    Nothing ///< its VM has lost power
};

/// Entries that rank before the one under test, each at an address of its own.
class Readers
{
public:
    Readers(task::EventLoop &loop, StoreStandin &store)
        : store_(store)
    {
        constexpr int Count = 12;
        applyConfiguration(state_, { .document = gateway::tests::makeConfigurationText(1), .revision = { .era = 1, .number = 1 } });
        for (auto i = 0; i < Count; ++i) {
            auto &server = *servers_.emplace_back(std::make_unique<http::Server>(loop));
            server.route(std::string(DirectoryPath), [this](const http::IncomingRequest &request, const http::Replier &replier) { handle(request, replier); });
            const auto name = "reader-" + std::to_string(i);
            const auto address = server.listen("127.0.0.1:0");
            const adapter::EntryRecord record{ .name = name, .callerAddress = address, .peerAddress = address, .failureDomain = "a", .strength = 10 };
            store.put("auburnspread/entries/" + name, adapter::encodeEntry(record));
        }
    }

    Reply reply = Reply::Fresh;

private:
    auto handle(const http::IncomingRequest &request, const http::Replier &replier) -> void
    {
        if (reply == Reply::Nothing) {
            unanswered_.push_back(replier);
            return;
        }
        if (reply == Reply::Fresh) {
            state_.confirmedAt = now();
            applyServers(state_, { .revision = store_.revision(), .asOf = now() });
        }
        replier.reply(OkStatus, "application/cbor", encodeAnswer(makeAnswer(state_, parseDirectoryQuery(request.query), now())));
    }

    StoreStandin &store_;
    std::vector<std::unique_ptr<http::Server>> servers_;
    std::vector<http::Replier> unanswered_;
    DirectoryState state_;
};

struct Follower {
    Follower()
    {
        store.put(std::string(adapter::standins::ConfigurationKey), gateway::tests::makeConfigurationText(1));
        fleet.start();
        EXPECT_TRUE(runUntil(loop, [this]() { return isFollowing(); }));
    }

    [[nodiscard]] auto isFollowing() const -> bool
    {
        constexpr Duration Recent = std::chrono::seconds(1);
        const auto at = now();
        return at - asOf() < Recent && fleet.otherAddresses().size() > 1;
    }

    /// Longest time for which the data did not become newer while the loop ran for \p time. It is counted in ticks of the loop, so that a process that
    /// gets no processor for a while counts none.
    auto longestStandstill(Duration time) -> Duration
    {
        constexpr Duration Tick = std::chrono::milliseconds(50);
        int ticks = 0;
        int longest = 0;
        auto last = asOf();
        const auto timer = loop.every(Tick, [&]() {
            ticks = std::exchange(last, asOf()) == last ? ticks + 1 : 0;
            longest = std::max(longest, ticks);
        });
        runUntil(
            loop, []() { return false; }, time);
        return longest * Tick;
    }

    task::EventLoop loop;
    StoreStandin store{ loop };
    Readers readers{ loop, store };
    passthrough::RouterStatePointer router = passthrough::makeRouter({ .entry = "entry-1", .failureDomain = "a" });
    Accounting accounting;
    Fleet fleet{ loop,
                 {
                     .name = "entry-1",
                     .failureDomain = "a",
                     .callerAddress = "127.0.0.1:1",
                     .peerAddress = standins::takeLoopbackAddress(),
                     .storeAddress = store.address(),
                     .leaseTime = std::chrono::seconds(3),
                 },
                 *router,
                 accounting,
                 {
                     .onEvent = [this](const passthrough::Event &event) { passthrough::step(*router, event, now()); },
                     .onLimits = [](auto &&...) {},
                     .onServerGone = [](auto &&...) {},
                     .onReadinessChanged = []() {},
                 } };

private:
    [[nodiscard]] auto asOf() const -> TimePoint
    {
        const auto at = now();
        const auto age = std::max(fleet.serversAge(at), passthrough::statusOf(*router, at).configurationAge);
        return at - age;
    }
};

/// Within which a change must be in force after the store acknowledged it.
constexpr Duration InForce = std::chrono::seconds(2);
/// Longer than the longest interval between two reads of an entry that was alone.
constexpr Duration Watched = std::chrono::seconds(8);

} // namespace

TEST(FreshDataTests, anEntryWhosePeersAreAllLostKeepsUpWithTheStore)
{
    Follower entry;
    entry.readers.reply = Reply::Nothing;
    EXPECT_LT(entry.longestStandstill(Watched), InForce);
}

TEST(FreshDataTests, anEntryWhosePeersHaveAllLostTheStoreKeepsUpWithIt)
{
    Follower entry;
    entry.readers.reply = Reply::Old;
    EXPECT_LT(entry.longestStandstill(Watched), InForce);
}

/// Guards against a store that receives the reads of every entry although others have its data.
TEST(FreshDataTests, anEntryWithSoundPeersLeavesTheStoreAlone)
{
    Follower entry;
    const auto before = entry.fleet.storeCalls();
    runUntil(
        entry.loop, []() { return false; }, std::chrono::seconds(3));
    EXPECT_EQ(entry.fleet.storeCalls(), before);
}
