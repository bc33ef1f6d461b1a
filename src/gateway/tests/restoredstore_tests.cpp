#include "gateway/clock.h"
#include "gateway/directory.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <string>

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
    Directory directory{ loop,
                         { .store = store.address(), .self = { .name = "entry-1" }, .leaseDuration = std::chrono::seconds(1) },
                         {
                             .onConfiguration = [this](const ConfigurationSnapshot &read) { configuration = read.document; },
                             .onConfigurationConfirmed = [this](auto &&...) { confirmations += 1; },
                             .onServers = [](auto &&...) {},
                             .onRegistrations = [](auto &&...) {},
                             .onRegistrationsFailed = []() {},
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
    task::EventLoop loop;
    StoreReader reader;
    reader.store.remove(EntryKey);
    reader.store.saveCopy();
    reader.store.restoreCopy();
    EXPECT_TRUE(runUntil(
        reader.loop, [&]() { return reader.store.find(EntryKey).has_value(); }, std::chrono::seconds(10)));
}
