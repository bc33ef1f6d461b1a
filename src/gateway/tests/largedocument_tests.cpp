// Operators wrote a configuration with many routes more, and it was acknowledged. Entries on narrow links went on routing by the
// one before, and a few seconds later refused every request with a key, for good. An answer of another entry had to be whole within
// 350 ms, one of the store within 600 ms. A document of 580 KB takes 460 ms over 10 Mbit/s, and one of 290 KB took as long where 63
// entries asked the same one at once. What had come by then was thrown away and asked for anew, so the links stayed full of answers
// that nobody kept. These lines settled it; the document had 290,221 bytes:
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
/// What a link of 10 Mbit/s carries in 350 ms.
constexpr std::size_t CarriedInTime = 437500;
/// A configuration is to be in force within 4 s. An answer that is cut off costs 350 ms, and the next question comes 300 ms later.
constexpr std::size_t MostCutOff = 6;
/// Ends a test that neither succeeds nor fails.
constexpr Duration Bound = std::chrono::seconds(30);

/// Of letters in no order, so that it does not shrink much when it is packed.
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

TEST(LargeDocumentTests, aDocumentLargerThanTheLinkCarriesInOneAnswerArrives)
{
    const auto document = makeDocument(LargestDocument);
    task::EventLoop loop;
    DirectoryState state;
    applyConfiguration(state, { .document = document, .revision = 1 });
    DirectoryPage page(loop, state);
    const NarrowLink link(loop, page.listen("127.0.0.1:0"), { .bytes = CarriedInTime });

    std::string taken;
    const DirectoryTags nothing;
    DirectoryFollower follower(loop,
                               nothing,
                               0,
                               { .onConfiguration = [&](const ConfigurationSnapshot &read) { taken = read.document; },
                                 .onConfigurationOffered = [](auto &&...) {},
                                 .onReaderChecked = [](auto &&...) {},
                                 .onReachable = [](auto &&...) {} });
    follower.follow({ link.address() });
    runUntil(
        loop, [&]() { return !taken.empty() || link.cutOff() >= MostCutOff; }, Bound);

    EXPECT_TRUE(taken == document) << taken.size() << " bytes taken over, " << link.cutOff() << " answers cut off";
}

/// An entry reads the store itself where it has nobody to ask. The link passes 160 KB each 125 ms: the store's answer takes about a
/// second, and never pauses for as long as a connection that went silent.
TEST(LargeDocumentTests, anAnswerOfTheStoreMayTakeLongAsLongAsItComes)
{
    const auto document = makeDocument(LargestDocument);
    task::EventLoop loop;
    StoreStandin store(loop);
    store.put(std::string(ConfigurationKey), document);
    const NarrowLink link(loop, store.address(), { .bytes = 160000, .pause = std::chrono::milliseconds(125) });

    std::string taken;
    Directory directory(loop,
                        { .store = link.address(), .self = { .name = "entry-1" } },
                        {
                            .onConfiguration = [&](const ConfigurationSnapshot &read) { taken = read.document; },
                            .onConfigurationConfirmed = [](TimePoint) {},
                            .onServers = [](const ServersSnapshot &) {},
                            .onRegistrations = [](auto &&...) {},
                            .onRegistrationsFailed = []() {},
                            .onEntriesSnapshot = [](auto &&...) {},
                            .onReachable = [](auto &&...) {},
                        });
    directory.setReadsForPeers(true);
    runUntil(
        loop, [&]() { return !taken.empty() || link.cutOff() >= MostCutOff; }, Bound);

    EXPECT_TRUE(taken == document) << taken.size() << " bytes taken over, " << link.cutOff() << " answers cut off";
}

/// An entry that hears nothing of the others asks the store several times in three seconds. It has the document already, so what the
/// store sends must not grow with it: 60 entries that read it over and over kept their links full.
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
                            .onConfigurationConfirmed = [&](TimePoint) { confirmations += 1; },
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
