#include "gateway/directory.h"
#include "gateway/tests/site.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;
using standins::StoreStandin;

namespace
{

constexpr auto EntryKey = "auburnspread/entries/entry-1";

/// Status of a request on a route that no server serves: 401 for an unknown key, else it waits or is refused.
auto statusOf(const Site &site, const std::string &key) -> std::string
{
    Caller caller(site.callerAddress());
    caller.send(makeHead("GET /fetch/1", "id", key) + standins::deadlineLine(50) + "\r\n\r\n");
    return caller.readUntil(EndOfHead).substr(9, 3);
}

auto isRegistered(const Site &site) -> bool
{
    auto found = false;
    site.runOnLoop([&](StoreStandin &store) { found = store.find(EntryKey).has_value(); });
    return found;
}

} // namespace

TEST(DirectoryTests, theEntryRegistersItselfAndAnswersWithItsAddress)
{
    const Site site;
    EXPECT_TRUE(waitUntil([&]() { return isRegistered(site); }));
    EXPECT_NE(site.addresses().find(standins::KeepField), std::string::npos);
    EXPECT_NE(site.addresses().find("127.0.0.1:"), std::string::npos);
}

/// What callers see: one entry fewer for ever. The store ended the lease while it was away; the entry finds out at its next
/// renewal and registers anew.
TEST(DirectoryTests, anEntryWhoseLeaseEndedRegistersAnew)
{
    const Site site;
    ASSERT_TRUE(waitUntil([&]() { return isRegistered(site); }));
    site.runOnLoop([](StoreStandin &store) { store.endLeases(); });
    EXPECT_TRUE(waitUntil([&]() { return isRegistered(site); }));
}

/// What callers see: an entry that comes and goes in the list of addresses. The store grants a shorter lease than the entry asks
/// for; an entry that renews by what it asked for has lost its registration before each renewal.
TEST(DirectoryTests, theLeaseIsRenewedByTheTimeThatTheStoreGranted)
{
    task::EventLoop loop;
    StoreStandin store(loop);
    store.setGrantedLease(std::chrono::milliseconds(300));
    constexpr auto AskedFor = std::chrono::minutes(10);
    Directory directory(loop, { .store = store.address(), .self = { .name = "entry-1" }, .leaseDuration = AskedFor }, { .onReachable = [](auto &&...) {} });
    directory.registerSelf();
    const auto look = loop.every(std::chrono::milliseconds(10), [&]() {
        if (store.renewals() >= 2) {
            loop.stop();
        }
    });
    const auto bound = loop.after(std::chrono::seconds(30), [&]() { loop.stop(); });
    loop.run();
    EXPECT_GE(store.renewals(), 2U);
}

TEST(DirectoryTests, aNewConfigurationIsInForceWithoutARestart)
{
    Site site;
    EXPECT_EQ(statusOf(site, "key-2"), "401");
    site.putConfiguration(2, "key-2");
    EXPECT_TRUE(waitUntil([&]() { return statusOf(site, "key-2") == "503"; }));
    EXPECT_EQ(statusOf(site, "key-1"), "401");
}

/// What an operator sees: a configuration that was accepted and never comes into force. The store has dropped the history
/// in which it stood, so the watch can't go on; the whole document is read anew.
TEST(DirectoryTests, aConfigurationWhoseHistoryWasDroppedIsReadAnew)
{
    Site site;
    site.runOnLoop([](StoreStandin &store) { store.setBusy(true); });
    site.putConfiguration(2, "key-2");
    site.runOnLoop([](StoreStandin &store) {
        store.dropHistory();
        store.setBusy(false);
    });
    EXPECT_TRUE(waitUntil([&]() { return statusOf(site, "key-2") == "503"; }));
}

/// What an operator sees: a withdrawn key that still runs work. The store falls silent for this entry, so it can't hear of
/// the withdrawal; after the bound no key passes, the entry says that it is not ready, and on the store's return it is.
TEST(DirectoryTests, anEntryWithoutTheStoreRefusesKeysAndRecovers)
{
    Site site("2600");
    site.runOnLoop([](StoreStandin &store) { store.setSilent(true); });
    EXPECT_TRUE(waitUntil([&]() { return site.readiness().find("503") != std::string::npos; }));
    EXPECT_EQ(statusOf(site, "key-1"), "503");
    EXPECT_EQ(statusOf(site, "unknown"), "503") << "it can't know that the key is unknown";
    site.runOnLoop([](StoreStandin &store) { store.setSilent(false); });
    EXPECT_TRUE(waitUntil([&]() { return statusOf(site, "unknown") == "401"; }));
}

/// What callers see: a key that was taken away runs for longer than the operators now say. They shorten the bound while the entry
/// runs; with the store away, the entry stops to admit keys by the new bound, not by the one that it was started with.
TEST(DirectoryTests, aBoundThatChangesHoldsInARunningEntry)
{
    Site site("60000");
    site.runOnLoop([](StoreStandin &store) { store.setBusy(true); });
    EXPECT_TRUE(site.setKeyWithdrawal(std::chrono::seconds(2)));
    EXPECT_TRUE(waitUntil([&]() { return !contains(site.readiness(), " 200 "); }));
    EXPECT_EQ(statusOf(site, "key-1"), "503");
    EXPECT_TRUE(contains(site.metrics(), "reason=\"stale-configuration\"} 1"));
}

TEST(DirectoryTests, aListOfServersInPagesIsReadWhole)
{
    Site site;
    site.runOnLoop([](StoreStandin &store) { store.setPageSize(2); });
    for (const auto *id : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
        site.addServer(id, "portal", "127.0.0.1:9");
    }
}

/// What a caller sees: a quote cut off because its entry was restarted. The entry leaves: it is out of the addresses and
/// not ready at once, ends the answer under way, and tells the caller to use its connection no more.
TEST(DirectoryTests, aLeavingEntryEndsWhatItBegan)
{
    SiteWithServer served;
    auto &site = served.site;
    const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
    site.drain();
    EXPECT_NE(site.readiness().find("503"), std::string::npos);
    EXPECT_EQ(site.addresses().find("\"127"), std::string::npos);
    EXPECT_TRUE(waitUntil([&]() { return !isRegistered(site); }));
    connection.send(makeAnswer("id-1", "whole answer"));
    EXPECT_NE(served.caller.readUntil("whole answer").find("Connection: close"), std::string::npos);
    EXPECT_TRUE(waitUntil([&]() { return site.hasDrained(); }));
}
