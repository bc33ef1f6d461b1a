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

/// Status of a request on a route without any server: 401 for an unknown key, otherwise the request waits and is refused.
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

/// Guards against an entry that stays missing from the addresses permanently. The store ended the lease during an outage; the entry
/// notices at its next renewal and registers again.
TEST(DirectoryTests, anEntryWhoseLeaseEndedRegistersAgain)
{
    const Site site;
    ASSERT_TRUE(waitUntil([&]() { return isRegistered(site); }));
    site.runOnLoop([](StoreStandin &store) { store.endLeases(); });
    EXPECT_TRUE(waitUntil([&]() { return isRegistered(site); }));
}

/// Guards against an entry that alternately appears in and disappears from the list of addresses. The store grants a shorter lease than
/// the entry requests; if the entry renews by the requested duration, it loses its registration before each renewal.
TEST(DirectoryTests, theLeaseIsRenewedByTheGrantedDuration)
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

TEST(DirectoryTests, aNewConfigurationComesIntoForceWithoutARestart)
{
    Site site;
    EXPECT_EQ(statusOf(site, "key-2"), "401");
    site.putConfiguration(2, "key-2");
    EXPECT_TRUE(waitUntil([&]() { return statusOf(site, "key-2") == "503"; }));
    EXPECT_EQ(statusOf(site, "key-1"), "401");
}

/// Guards against an accepted configuration that never comes into force. The store has compacted the history that contains the change,
/// so the watch cannot continue and the whole document has to be read again.
TEST(DirectoryTests, aConfigurationWhoseHistoryWasDroppedIsReadAgain)
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

/// Guards against a withdrawn key that is still admitted. The store stops responding to this entry, so the entry cannot learn of the
/// withdrawal. After the bound it admits no key and reports that it is not ready; it recovers when the store responds again.
TEST(DirectoryTests, anEntryWithoutTheStoreRefusesKeysAndRecovers)
{
    Site site("2600");
    site.runOnLoop([](StoreStandin &store) { store.setSilent(true); });
    EXPECT_TRUE(waitUntil([&]() { return site.readiness().find("503") != std::string::npos; }));
    EXPECT_EQ(statusOf(site, "key-1"), "503");
    EXPECT_EQ(statusOf(site, "unknown"), "503") << "it cannot know that the key is unknown";
    site.runOnLoop([](StoreStandin &store) { store.setSilent(false); });
    EXPECT_TRUE(waitUntil([&]() { return statusOf(site, "unknown") == "401"; }));
}

/// Guards against a withdrawn key that is admitted for longer than the operators now allow. They shorten the bound while the entry runs;
/// during an outage of the store the entry stops admitting keys by the new bound, not by the one from its start.
TEST(DirectoryTests, aChangedBoundAppliesToARunningEntry)
{
    Site site("60000");
    site.runOnLoop([](StoreStandin &store) { store.setBusy(true); });
    EXPECT_TRUE(site.setKeyWithdrawal(std::chrono::seconds(2)));
    EXPECT_TRUE(waitUntil([&]() { return !contains(site.readiness(), " 200 "); }));
    EXPECT_EQ(statusOf(site, "key-1"), "503");
    EXPECT_TRUE(contains(site.metrics(), "reason=\"stale-configuration\"} 1"));
}

TEST(DirectoryTests, allPagesOfAListOfServersAreRead)
{
    Site site;
    site.runOnLoop([](StoreStandin &store) { store.setPageSize(2); });
    for (const auto *id : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
        site.addServer(id, "portal", "127.0.0.1:9");
    }
}

/// Guards against responses that are cut off when an entry restarts. A leaving entry is at once not ready and no longer named in the
/// addresses. It completes the response in progress and asks the caller to close the connection.
TEST(DirectoryTests, aLeavingEntryCompletesRequestsInProgress)
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
