// Guards against requests to a server that has left. An entry was cut off from the store for some seconds and received the list of backend
// servers from other entries in the meantime. When it reached the store again and read for others, a server that had just left was missing
// from the list. The entry treated this as a registration that had expired during an outage of the store, and kept sending requests to the
// server for two seconds:
//
//     25.047 s  the server leaves according to the store
//     26.014 s  the entry reads the list without it
//     27.649 s  a request from this entry reaches the server
//
// The entry's own calls had failed three seconds earlier, and the last update from another entry was 1.9 s old. The two facts are unrelated
// and do not indicate an outage.

#include "gateway/clock.h"
#include "gateway/directory.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <optional>

using namespace auburnspread;
using namespace auburnspread::gateway;
using adapter::standins::StoreStandin;
using http::tests::runUntil;

namespace
{

/// Longer than the gap after which an entry whose calls fail assumes that registrations have expired.
constexpr Duration Gap = std::chrono::milliseconds(1700);

struct StoreReader {
    StoreReader()
    {
        store.put(std::string(adapter::standins::ConfigurationKey), "{}");
        const passthrough::Server server{ .service = "portal", .address = "127.0.0.1:9", .failureDomain = "a", .slots = 6 };
        store.put(adapter::standins::serverKey("i-1"), adapter::standins::serverText(server));
    }

    auto readUntilListed() -> void
    {
        list.reset();
        directory.setReadsForPeers(true);
        runUntil(loop, [this]() { return list.has_value(); });
    }

    auto failFor(Duration time) -> void
    {
        store.setBusy(true);
        runUntil(
            loop, []() { return false; }, time);
        store.setBusy(false);
    }

    task::EventLoop loop;
    StoreStandin store{ loop };
    std::optional<ServersSnapshot> list;
    std::optional<bool> isReachable;
    Directory directory{ loop,
                         { .store = store.address(), .self = { .name = "entry-1" } },
                         {
                             .onConfiguration = [](auto &&...) {},
                             .onConfigurationConfirmed = [](auto &&...) {},
                             .onServers = [this](const ServersSnapshot &read) { list = read; },
                             .onRegistrations = [](auto &&...) {},
                             .onRegistrationsFailed = []() {},
                             .onEntriesSnapshot = [](auto &&...) {},
                             .onReachable = [this](std::string_view, bool reachable, auto &&...) { isReachable = reachable; },
                         } };
};

} // namespace

TEST(OutageTests, callsThatFailedBeforeAnUpdateFromAnotherEntryIndicateNoOutage)
{
    StoreReader reader;
    reader.readUntilListed();
    reader.failFor(std::chrono::seconds(1));
    reader.directory.setReadsForPeers(false);
    reader.directory.recordServersConfirmed(now());
    runUntil(
        reader.loop, []() { return false; }, Gap);
    reader.readUntilListed();
    ASSERT_TRUE(reader.list);
    EXPECT_FALSE(reader.list->outageEndedAt);
}

TEST(OutageTests, callsThatFailedSinceTheLastUpdateIndicateAnOutage)
{
    StoreReader reader;
    reader.readUntilListed();
    reader.failFor(Gap + std::chrono::seconds(1));
    reader.readUntilListed();
    runUntil(reader.loop, [&]() { return reader.list && reader.list->outageEndedAt; });
    ASSERT_TRUE(reader.list);
    EXPECT_TRUE(reader.list->outageEndedAt);
}

/// Guards against an entry that reads the store for others and never reads the backend servers, because a read of the configuration was in
/// flight when it started.
TEST(OutageTests, anEntryThatStartsReadingDuringACallReadsTheServersToo)
{
    StoreReader reader;
    reader.store.setBusy(true);
    reader.directory.readStale();
    runUntil(reader.loop, [&reader]() { return reader.isReachable == false; });
    reader.directory.confirmConfiguration();
    reader.directory.setReadsForPeers(true);
    reader.store.setBusy(false);
    runUntil(reader.loop, [&reader]() { return reader.list.has_value(); });
    ASSERT_TRUE(reader.list);
    EXPECT_EQ(reader.list->servers.size(), 1U);
}
