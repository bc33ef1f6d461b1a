// Guards against a large configuration that never comes into force. Operators wrote a configuration with many more routes, and it was
// acknowledged. Entries on narrow links kept routing by the previous one, and a few seconds later permanently refused every request with a
// key. A response of another entry had to be complete within 350 ms, one of the store within 600 ms. A document of 580 KB takes 460 ms over
// 10 Mbit/s, and one of 290 KB took as long when 63 entries requested it from the same entry at once. The bytes received by then were
// discarded and requested again, so the links stayed full of discarded responses. The log of an entry whose document had 290,221 bytes:
//
//     dependency-lost, ask-directory: receive 10.1.0.39:7180: timeout after 147456 bytes (reused connection)
//     dependency-lost, read-configuration: receive 10.200.1.7:8064: timeout

#include "gateway/directory.h"
#include "gateway/directoryfollower.h"
#include "gateway/directorypage.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "standins/testing/narrowlink.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

using namespace auburnspread;
using namespace auburnspread::gateway;
using adapter::standins::ConfigurationKey;
using adapter::standins::StoreStandin;
using http::tests::runUntil;
using standins::NarrowLink;

namespace
{

/// The largest value that the store takes.
constexpr std::size_t LargestDocument = 1024UL * 1024;
/// Bytes that a link of 10 Mbit/s carries in 350 ms.
constexpr std::size_t CarriedWithinTimeout = 437500;
/// A configuration has to be in force within 4 s. A response that is cut off takes 350 ms, and the next request follows 300 ms later.
constexpr std::size_t MaxCutOff = 6;
/// Time limit of a test that neither succeeds nor fails.
constexpr Duration Bound = std::chrono::seconds(30);

/// A document of random letters, which does not shrink much when it is packed.
auto makeDocument(std::size_t size) -> std::string
{
    std::mt19937_64 random(7);
    std::uniform_int_distribution<int> letter('0', 'z');
    std::string document(size, ' ');
    for (auto &each : document) {
        each = static_cast<char>(letter(random));
    }
    return document;
}

} // namespace

TEST(LargeDocumentTests, aDocumentTooLargeForOneResponseIsReceived)
{
    const auto document = makeDocument(LargestDocument);
    task::EventLoop loop;
    DirectoryState state;
    applyConfiguration(state, { .document = document, .revision = { .number = 1 } });
    DirectoryPage page(loop, state);
    const NarrowLink link(loop, page.listen("127.0.0.1:0"), { .bytes = CarriedWithinTimeout });

    std::string received;
    const DirectoryState nothing;
    DirectoryFollower follower(loop,
                               nothing,
                               0,
                               { .onConfiguration = [&](const ConfigurationSnapshot &read) { received = read.document; },
                                 .onConfigurationOffered = [](auto &&...) {},
                                 .onReaderChecked = [](auto &&...) {},
                                 .onReachable = [](auto &&...) {} });
    follower.follow({ link.address() });
    runUntil(
        loop, [&]() { return !received.empty() || link.cutOff() >= MaxCutOff; }, Bound);

    EXPECT_TRUE(received == document) << received.size() << " bytes received, " << link.cutOff() << " responses cut off";
}

/// An entry without other entries to query reads the store itself. The link passes 160 KB every 125 ms, so the store's response takes about
/// a second, and its pauses stay shorter than the silence timeout of a connection.
TEST(LargeDocumentTests, aResponseOfTheStoreMayTakeLongWhileBytesArrive)
{
    const auto document = makeDocument(LargestDocument);
    task::EventLoop loop;
    StoreStandin store(loop);
    store.put(std::string(ConfigurationKey), document);
    const NarrowLink link(loop, store.address(), { .bytes = 160000, .pause = std::chrono::milliseconds(125) });

    std::string received;
    Directory directory(loop,
                        { .store = link.address(), .self = { .name = "entry-1" } },
                        {
                            .onConfiguration = [&](const ConfigurationSnapshot &read) { received = read.document; },
                            .onConfigurationConfirmed = [](auto &&...) {},
                            .onServers = [](const ServersSnapshot &) {},
                            .onRegistrations = [](auto &&...) {},
                            .onRegistrationsFailed = []() {},
                            .onEntriesSnapshot = [](auto &&...) {},
                            .onReachable = [](auto &&...) {},
                        });
    directory.setReadsForPeers(true);
    runUntil(
        loop, [&]() { return !received.empty() || link.cutOff() >= MaxCutOff; }, Bound);

    EXPECT_TRUE(received == document) << received.size() << " bytes received, " << link.cutOff() << " responses cut off";
}

/// An entry that receives nothing from the others queries the store several times in three seconds. It already has the document, so the size
/// of the responses must not depend on it: 60 entries that read the document repeatedly kept their links full.
TEST(LargeDocumentTests, aKnownDocumentIsConfirmedWithoutBeingRead)
{
    task::EventLoop loop;
    StoreStandin store(loop);
    store.put(std::string(ConfigurationKey), makeDocument(LargestDocument));
    const NarrowLink link(loop, store.address(), { .bytes = 4 * LargestDocument });

    int confirmations = 0;
    Directory directory(loop,
                        { .store = link.address(), .self = { .name = "entry-1" } },
                        {
                            .onConfiguration = [](const ConfigurationSnapshot &) {},
                            .onConfigurationConfirmed = [&](auto &&...) { confirmations += 1; },
                            .onServers = [](const ServersSnapshot &) {},
                            .onRegistrations = [](auto &&...) {},
                            .onRegistrationsFailed = []() {},
                            .onEntriesSnapshot = [](auto &&...) {},
                            .onReachable = [](auto &&...) {},
                        });
    constexpr int Reads = 4;
    for (int read = 1; read <= Reads; read += 1) {
        directory.readOnce();
        runUntil(
            loop, [&]() { return confirmations >= read; }, Bound);
    }
    EXPECT_EQ(confirmations, Reads);
    EXPECT_LT(link.passed(), 2 * LargestDocument) << "one document as base64 and some lists";
}
