// Guards against an entry that no longer follows the store because of one item that another writer left there. Its key cannot be read, so the whole
// response was refused and requested again without end: new servers got no requests, and servers that were leaving still did.

#include "gateway/directory.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <string>

using namespace auburnspread;
using namespace auburnspread::gateway;
using adapter::standins::StoreStandin;
using adapter::standins::UnreadableMark;
using http::tests::runUntil;

namespace
{

struct StoreReader {
    StoreReader()
    {
        store.put(std::string(adapter::standins::ConfigurationKey), "{}");
        addServer("i-1");
    }

    auto addServer(const std::string &id) -> void
    {
        const passthrough::Server server{ .service = "portal", .address = "127.0.0.1:9", .failureDomain = "a", .slots = 6 };
        store.put(adapter::standins::serverKey(id), adapter::standins::serverText(server));
    }

    auto addUnreadable(const std::string &id) -> void
    {
        addServer(id + std::string(UnreadableMark));
    }

    auto removeUnreadable(const std::string &id) -> void
    {
        store.remove(adapter::standins::serverKey(id + std::string(UnreadableMark)));
    }

    /// Whether the list comes to hold this many servers.
    auto lists(std::size_t servers) -> bool
    {
        return runUntil(loop, [this, servers]() { return list && list->servers.size() == servers; });
    }

    task::EventLoop loop;
    StoreStandin store{ loop };
    std::optional<ServersSnapshot> list;
    std::size_t invalidItems = 0;
    Directory directory{ loop,
                         { .store = store.address(), .self = { .name = "entry-1" } },
                         {
                             .onConfiguration = [](auto &&...) {},
                             .onConfigurationConfirmed = [](auto &&...) {},
                             .onServers = [this](const ServersSnapshot &read) { list = read; },
                             .onRegistrations = [](auto &&...) {},
                             .onRegistrationsFailed = []() {},
                             .onEntriesSnapshot = [](auto &&...) {},
                             .onReachable = [](auto &&...) {},
                             .onInvalid = [this](auto &&...) { invalidItems += 1; },
                         } };
};

} // namespace

TEST(OddItemTests, anUnreadableKeyDoesNotEndAWatch)
{
    StoreReader reader;
    reader.directory.setReadsForPeers(true);
    ASSERT_TRUE(reader.lists(1));
    reader.addUnreadable("i-2");
    reader.addServer("i-3");
    EXPECT_TRUE(reader.lists(2));
    reader.store.remove(adapter::standins::serverKey("i-1"));
    EXPECT_TRUE(reader.lists(1));
    EXPECT_GT(reader.invalidItems, 0U) << "it is logged";
}

TEST(OddItemTests, anUnreadableKeyInTheHistoryDoesNotEndAWatch)
{
    StoreReader reader;
    reader.directory.setReadsForPeers(true);
    ASSERT_TRUE(reader.lists(1));
    reader.addUnreadable("i-2");
    reader.removeUnreadable("i-2");
    reader.addServer("i-3");
    EXPECT_TRUE(reader.lists(2));
}

TEST(OddItemTests, anUnreadableKeyDoesNotCutAList)
{
    constexpr std::size_t ItemsOfPage = 2; // the unreadable key is the last one of the first page
    StoreReader reader;
    reader.store.setPageSize(ItemsOfPage);
    reader.addUnreadable("i-1");
    reader.addServer("i-2");
    reader.addServer("i-3");
    reader.directory.setReadsForPeers(true);
    EXPECT_TRUE(reader.lists(3));
}

/// Guards against a list that ends with a page of which no key can be read. It would hold a part of the servers.
TEST(OddItemTests, aPageWithoutAReadableKeyIsNotTakenForTheLastOne)
{
    StoreReader reader;
    reader.store.setPageSize(1);
    reader.directory.setReadsForPeers(true);
    ASSERT_TRUE(reader.lists(1));
    reader.addUnreadable("i-0");
    reader.addServer("i-2");
    EXPECT_TRUE(reader.lists(2));
    const auto before = reader.invalidItems;
    reader.store.setBusy(true);
    reader.addServer("i-3");
    reader.addServer("i-4");
    reader.store.dropHistory();
    reader.store.setBusy(false);
    EXPECT_TRUE(runUntil(reader.loop, [&]() { return reader.invalidItems >= before + 2; })) << "the list is read again";
    EXPECT_GE(reader.list->servers.size(), 2U);
}

/// Guards against a watch whose response cannot be decoded and is requested again from the same revision without end.
TEST(OddItemTests, aWatchThatCannotBeDecodedIsReplacedByTheList)
{
    StoreReader reader;
    reader.store.setBroken(true);
    reader.directory.setReadsForPeers(true);
    ASSERT_TRUE(reader.lists(1));
    reader.addServer("i-2");
    EXPECT_TRUE(reader.lists(2));
}
