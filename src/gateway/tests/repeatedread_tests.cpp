// Guards against overlapping reads of the store. An entry that receives nothing from the others for some time reads the store itself, and
// again after 0.8 s if it still receives nothing. If the first response takes longer than that, a second and a third one are in flight at
// the same time. Over a narrow link they delay each other, and the lists of servers in them are mixed. With a configuration of 727 KB, 86
// entries that started at once were ready after 0.2 to 2.6 s. A relay that carries 1.28 MB a second showed the cause: a read that was
// repeated twice before its end transferred 4195747 bytes for a response of 1398104 bytes.

#include "gateway/clock.h"
#include "gateway/directory.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "standins/testing/narrowlink.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using adapter::standins::StoreStandin;
using http::tests::runUntil;

namespace
{

/// The largest value that the store takes.
constexpr std::size_t LargestDocument = 1024UL * 1024;

/// A store, and an entry that reads it over a narrow link.
struct StoreReader {
    StoreReader()
    {
        store.put(std::string(adapter::standins::ConfigurationKey), document);
        for (const auto *id : { "i-1", "i-2", "i-3" }) {
            const passthrough::Server server{ .service = "portal", .address = "127.0.0.1:9", .failureDomain = "a", .slots = 6 };
            store.put(adapter::standins::serverKey(id), adapter::standins::serverText(server));
        }
    }

    const std::string document = std::string(LargestDocument, 'a');
    task::EventLoop loop;
    StoreStandin store{ loop };
    standins::NarrowLink link{ loop, store.address(), { .bytes = 160000, .pause = std::chrono::milliseconds(125) } };
    std::string received;
    std::vector<ServersSnapshot> lists;
    Directory directory{ loop,
                         { .store = link.address(), .self = { .name = "entry-1" } },
                         {
                             .onConfiguration = [this](const ConfigurationSnapshot &read) { received = read.document; },
                             .onConfigurationConfirmed = [](auto &&...) {},
                             .onServers = [this](const ServersSnapshot &read) { lists.push_back(read); },
                             .onRegistrations = [](auto &&...) {},
                             .onRegistrationsFailed = []() {},
                             .onEntriesSnapshot = [](auto &&...) {},
                             .onReachable = [](auto &&...) {},
                         } };
};

} // namespace

/// The entry repeats the read, and is assigned to read the store for others, while the document is being transferred.
TEST(RepeatedReadTests, aDocumentInTransferIsNotRequestedAgain)
{
    StoreReader reader;
    reader.directory.readOnce();
    runUntil(reader.loop, [&]() { return reader.link.passed() > LargestDocument / 4; });
    reader.directory.readOnce();
    reader.directory.setReadsForPeers(true);
    runUntil(reader.loop, [&]() { return !reader.received.empty(); });
    EXPECT_TRUE(reader.received == reader.document);
    EXPECT_LT(reader.link.passed(), 2 * LargestDocument) << "one document as base64 and some lists";
}

/// Guards against requests to a server that has left. The first response was treated as the response to the second request, and thus as
/// newer than it is. When the second response arrived, the list contained every server twice.
TEST(RepeatedReadTests, aListOfServersComesFromOneResponse)
{
    StoreReader reader;
    reader.directory.readOnce();
    const auto firstRequestedBefore = now();
    reader.directory.readOnce();
    runUntil(reader.loop, [&]() { return !reader.lists.empty(); });
    reader.directory.readOnce();
    runUntil(reader.loop, [&]() { return reader.lists.size() >= 2; });
    ASSERT_GE(reader.lists.size(), 2U);
    EXPECT_LE(reader.lists.front().asOf, firstRequestedBefore);
    for (const auto &list : reader.lists) {
        EXPECT_EQ(list.servers.size(), 3U);
    }
}
