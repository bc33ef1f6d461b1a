// An entry that hears nothing of the others for some time reads the store itself, and again after 0.8 s if it still hears nothing. Where the
// first answer takes longer than that, a second one is on its way beside it, and a third: over a narrow link they delay each other, as
// in the incident of the large configuration, and what the store says of the servers is mixed up. With 727 KB, 86 entries that started at
// once were ready after 0.2 to 2.6 s; a relay that carries 1.28 MB a second showed why, when one read had been asked for and was asked
// for again twice before its end:
//
//     4195747 bytes passed, of an answer that has 1398104

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

/// A store, and an entry's dealings with it over a link.
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
    std::string taken;
    std::vector<ServersSnapshot> lists;
    Directory directory{ loop,
                         { .store = link.address(), .self = { .name = "entry-1" } },
                         {
                             .onConfiguration = [this](const ConfigurationSnapshot &read) { taken = read.document; },
                             .onConfigurationConfirmed = [](TimePoint) {},
                             .onServers = [this](const ServersSnapshot &read) { lists.push_back(read); },
                             .onRegistrations = [](auto &&...) {},
                             .onRegistrationsFailed = []() {},
                             .onEntriesSnapshot = [](auto &&...) {},
                             .onReachable = [](auto &&...) {},
                         } };
};

} // namespace

/// The entry asks again, and becomes one that reads the store for others, while the document is on its way.
TEST(RepeatedReadTests, aDocumentThatIsOnItsWayIsNotAskedForAgain)
{
    StoreReader reader;
    reader.directory.readOnce();
    runUntil(reader.loop, [&]() { return reader.link.passed() > LargestDocument / 4; });
    reader.directory.readOnce();
    reader.directory.setReadsForPeers(true);
    runUntil(reader.loop, [&]() { return !reader.taken.empty(); });
    EXPECT_TRUE(reader.taken == reader.document);
    EXPECT_LT(reader.link.passed(), 2 * LargestDocument) << "one document as base64 and some lists";
}

/// What callers see: requests sent to a server that has left. The first answer was taken for the one to the second question, and so for
/// younger than it is; when the second one came, the list had every server twice.
TEST(RepeatedReadTests, aListOfServersIsOneAnswerToOneQuestion)
{
    StoreReader reader;
    reader.directory.readOnce();
    const auto firstAskedBy = now();
    reader.directory.readOnce();
    runUntil(reader.loop, [&]() { return !reader.lists.empty(); });
    reader.directory.readOnce();
    runUntil(reader.loop, [&]() { return reader.lists.size() >= 2; });
    ASSERT_GE(reader.lists.size(), 2U);
    EXPECT_LE(reader.lists.front().asOf, firstAskedBy);
    for (const auto &list : reader.lists) {
        EXPECT_EQ(list.servers.size(), 3U);
    }
}
