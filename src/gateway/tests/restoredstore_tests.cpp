#include "gateway/clock.h"
#include "gateway/directory.h"
#include "gateway/tests/followingentry.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using adapter::standins::StoreStandin;
using http::tests::runUntil;

namespace
{

constexpr auto EntryKey = "auburnspread/entries/entry-1";

/// An entry that reads the store for others.
struct StoreReader {
    StoreReader()
    {
        putConfiguration("1");
        directory.setReadsForPeers(true);
        directory.registerSelf();
        EXPECT_TRUE(runUntil(loop, [this]() { return configuration == "1" && store.find(EntryKey); }));
    }

    auto putConfiguration(const std::string &text) -> void
    {
        store.put(std::string(adapter::standins::ConfigurationKey), text);
    }
    /// Writes keys that no entry reads, to raise the revision.
    auto raiseRevision(int writes) -> void
    {
        for (int i = 0; i < writes; ++i) {
            store.put("other", std::to_string(i));
        }
    }
    auto putServer(const std::string &id, bool isLeaving = false) -> void
    {
        const passthrough::Server server{ .service = "portal", .address = "127.0.0.1:9", .failureDomain = "a", .slots = 6, .isLeaving = isLeaving };
        store.put(adapter::standins::serverKey(id), adapter::standins::serverText(server));
    }
    [[nodiscard]] auto findServer(const std::string &id) const -> std::optional<passthrough::Server>
    {
        const auto found = std::find_if(servers.begin(), servers.end(), [&id](const passthrough::Server &each) { return each.id == id; });
        return found == servers.end() ? std::nullopt : std::optional(*found);
    }
    /// Waits until the entry continues its watch of the configuration from the newest revision.
    auto catchUp() -> void
    {
        const auto before = confirmations;
        EXPECT_TRUE(runUntil(loop, [this, before]() { return confirmations >= before + 2; }));
    }

    task::EventLoop loop;
    StoreStandin store{ loop };
    std::string configuration; ///< as read last
    int confirmations = 0;
    TimePoint confirmedAt;
    std::optional<TimePoint> restoredAt;
    std::vector<passthrough::Server> servers;
    Directory directory{ loop,
                         { .store = store.address(), .self = { .name = "entry-1" }, .leaseDuration = std::chrono::seconds(1) },
                         {
                             .onConfiguration = [this](const ConfigurationSnapshot &read) { configuration = read.document; },
                             .onConfigurationConfirmed =
                                 [this](StoreRevision, TimePoint asOf) {
                                     confirmations += 1;
                                     confirmedAt = asOf;
                                 },
                             .onServers = [this](const ServersSnapshot &read) { servers = read.servers; },
                             .onRegistrations = [](auto &&...) {},
                             .onRegistrationsFailed = []() {},
                             .onStoreRestored = [this](std::uint64_t) { restoredAt = now(); },
                             .onEntriesSnapshot = [](auto &&...) {},
                             .onReachable = [](auto &&...) {},
                         } };
};

} // namespace

/// Guards against a configuration that is never adopted. The store came back from a copy, and when the entry reached it again, the
/// revision from which the entry watches had been given out a second time, so the watch skipped what was written in between.
TEST(RestoredStoreTests, aChangeBelowTheWatchedRevisionIsNotMissed)
{
    StoreReader reader;
    reader.store.saveCopy();
    reader.raiseRevision(10);
    reader.catchUp();
    reader.store.setBusy(true);
    reader.store.restoreCopy();
    reader.putConfiguration("2");
    reader.raiseRevision(20);
    reader.store.setBusy(false);
    EXPECT_TRUE(runUntil(
        reader.loop, [&]() { return reader.configuration == "2"; }, std::chrono::seconds(10)));
}

/// Guards against an entry that is missing from the list of entries. Its registration and its lease were younger than the copy.
TEST(RestoredStoreTests, theRegistrationIsWrittenAgain)
{
    StoreReader reader;
    reader.store.remove(EntryKey);
    reader.store.saveCopy();
    reader.store.restoreCopy();
    EXPECT_TRUE(runUntil(
        reader.loop, [&]() { return reader.store.find(EntryKey).has_value(); }, std::chrono::seconds(10)));
}

/// Guards against requests to servers that have left. In the copy, one server is not leaving yet and one that has gone is still
/// registered. A server that registers after the restore is used at once.
TEST(RestoredStoreTests, theRegistrationsOfTheCopyDoNotReplaceWhatIsKnown)
{
    StoreReader reader;
    reader.putServer("i-leaving");
    reader.putServer("i-gone");
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.findServer("i-gone").has_value(); }));
    reader.store.saveCopy();
    reader.putServer("i-leaving", true);
    reader.store.remove(adapter::standins::serverKey("i-gone"));
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.servers.size() == 1 && reader.servers.front().isLeaving; }));
    reader.store.restoreCopy();
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.restoredAt.has_value(); }));
    reader.putServer("i-new");
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.findServer("i-new").has_value(); }));
    ASSERT_TRUE(reader.findServer("i-leaving"));
    EXPECT_TRUE(reader.findServer("i-leaving")->isLeaving);
    EXPECT_FALSE(reader.findServer("i-gone"));
    EXPECT_TRUE(runUntil(reader.loop, [&]() { return reader.findServer("i-gone").has_value(); })) << "a registration that stays is believed in the end";
}

/// Guards against a withdrawn key that is admitted for longer. The copy lacks the configuration that withdraws it, and confirms the one
/// before until the operators have written the newer one again.
TEST(RestoredStoreTests, theCopyDoesNotConfirmTheConfigurationAtOnce)
{
    constexpr Duration SettleTime = std::chrono::seconds(1);
    StoreReader reader;
    reader.store.saveCopy();
    reader.store.restoreCopy();
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.restoredAt.has_value(); }));
    const auto before = reader.confirmations;
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.confirmations > before; }));
    EXPECT_GE(reader.confirmedAt, *reader.restoredAt + SettleTime);
}

TEST(RestoredStoreTests, aConfigurationWrittenSinceTheRestoreIsConfirmedAtOnce)
{
    StoreReader reader;
    reader.store.saveCopy();
    reader.store.restoreCopy();
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.restoredAt.has_value(); }));
    reader.catchUp();
    reader.putConfiguration("2");
    ASSERT_TRUE(runUntil(reader.loop, [&]() { return reader.configuration == "2"; }));
    const auto before = reader.confirmations;
    EXPECT_TRUE(runUntil(reader.loop, [&]() { return reader.confirmations > before; }));
}

namespace
{

/// The reader has this version, at this position of the store.
auto offerAt(gateway::tests::FollowingEntry &entry, std::uint64_t version, StoreRevision revision) -> void
{
    applyConfiguration(entry.reader.state, { .document = gateway::tests::makeConfigurationText(version), .revision = revision });
}

auto versionOf(const gateway::tests::FollowingEntry &entry) -> std::uint64_t
{
    return passthrough::statusOf(*entry.router, now()).configurationVersion;
}

} // namespace

/// Guards against an entry that ignores every new configuration because the restored store gives out revisions below the one it knows.
TEST(RestoredStoreTests, aLowerRevisionOfALaterEraIsTakenFromOtherEntries)
{
    gateway::tests::FollowingEntry entry;
    entry.reader.sendsParts = true;
    entry.offer(7);
    ASSERT_TRUE(runUntil(entry.loop, [&]() { return versionOf(entry) == 7; }));
    offerAt(entry, 9, { .era = 2, .number = 50 });
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return versionOf(entry) == 9; }));
}

/// Guards against a configuration that goes back to the one in the copy of the store, and against an entry that stops serving because
/// it does not have that older one.
TEST(RestoredStoreTests, anOlderConfigurationOfALaterEraStopsNoEntryAndIsNotAdopted)
{
    gateway::tests::FollowingEntry entry;
    entry.reader.sendsParts = true;
    entry.offer(7);
    ASSERT_TRUE(runUntil(entry.loop, [&]() { return versionOf(entry) == 7; }));
    offerAt(entry, 6, { .era = 2, .number = 50 });
    const auto queries = entry.reader.queries;
    ASSERT_TRUE(runUntil(entry.loop, [&]() { return entry.reader.queries >= queries + 4; }));
    EXPECT_EQ(versionOf(entry), 7U);
    EXPECT_FALSE(entry.isOutOfDate());
    offerAt(entry, 8, { .era = 2, .number = 60 });
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return versionOf(entry) == 8; }));
}
