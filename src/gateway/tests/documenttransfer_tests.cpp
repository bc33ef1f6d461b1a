#include "gateway/directoryfollower.h"
#include "gateway/directorypage.h"
#include "gateway/documentfetcher.h"
#include "gateway/documenttransfer.h"
#include "platform/standins/wiretext.h"
#include "wire/http/server.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using http::tests::runUntil;

namespace
{

constexpr Duration Bound = std::chrono::seconds(30);

/// Random bytes, which do not shrink when they are packed: as many parts as the size says, if the last one has some room for the
/// packing.
auto makeDocument(std::size_t size, unsigned seed) -> std::string
{
    std::mt19937 random(seed);
    std::string document(size, ' ');
    for (auto &each : document) {
        each = static_cast<char>(random());
    }
    return document;
}
constexpr std::size_t Room = 1000;

/// An entry that sends the parts of a few documents, and may stop to do so.
struct Reader {
    explicit Reader(task::EventLoop &loop)
        : server(loop)
    {
        server.route(std::string(DocumentPath), [this](const http::IncomingRequest &request, const http::Replier &replier) {
            const auto question = parsePartQuery(request.query);
            asked.push_back(question);
            if (asked.size() > answers) {
                replier.reply(503, "text/plain", "");
                return;
            }
            const auto part = readPart(documents, question.tag, question.from);
            replier.reply(part ? 200 : 404, "application/octet-stream", part.value_or(std::string_view()));
        });
        address = server.listen("127.0.0.1:0");
    }

    auto put(const std::string &document, std::uint64_t revision) -> DocumentOffer
    {
        documents.insert(documents.begin(), makeOfferedDocument({ .document = document, .revision = revision }));
        return documents.front().offer;
    }

    http::Server server;
    std::string address;
    std::vector<OfferedDocument> documents;
    std::vector<PartQuery> asked;
    std::size_t answers = 1000; ///< before it answers no more
};

struct FetcherTests : testing::Test {
    task::EventLoop loop;
    http::Client client{ loop };
    std::vector<ConfigurationSnapshot> taken;
    DocumentFetcher fetcher{ loop,
                             client,
                             0,
                             { .onDocument = [this](const ConfigurationSnapshot &read) { taken.push_back(read); }, .onPartFailed = [](auto &&...) {} } };

    auto runUntilTaken(std::size_t documents) -> void
    {
        runUntil(
            loop, [&]() { return taken.size() >= documents; }, Bound);
    }
};

} // namespace

/// The entry that sends a document dies half-way. What came of it is kept, and the next entry is asked for the rest alone: otherwise a
/// fleet that is restarted in turn could fetch the beginning of a large document again and again.
TEST_F(FetcherTests, whatCameFromAnEntryThatDiedIsKept)
{
    Reader dying(loop);
    Reader other(loop);
    const auto document = makeDocument(5 * PartBytes - Room, 1);
    const auto offer = dying.put(document, 7);
    other.put(document, 7);
    dying.answers = 3;
    fetcher.setReaders({ dying.address, other.address });
    fetcher.fetch(offer);
    runUntilTaken(1);
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_TRUE(taken.front().document == document);
    EXPECT_EQ(taken.front().revision, 7U);
    EXPECT_EQ(other.asked.front().from, 3 * PartBytes);
    EXPECT_EQ(dying.asked.size() + other.asked.size(), 6U) << "five parts and one question that was not answered";
}

/// Operators write three documents while the first one is still on its way. Each is offered as it comes; the one that has begun ends
/// first, and then the newest one is fetched. An entry that turned to each newer one would never have any.
TEST_F(FetcherTests, aTransferThatHasBegunEndsBeforeANewerOne)
{
    Reader reader(loop);
    const auto first = makeDocument(3 * PartBytes - Room, 1);
    const auto last = makeDocument(3 * PartBytes - Room, 3);
    fetcher.setReaders({ reader.address });
    fetcher.fetch(reader.put(first, 7));
    fetcher.fetch(reader.put(makeDocument(3 * PartBytes - Room, 2), 8));
    fetcher.fetch(reader.put(last, 9));
    runUntilTaken(2);
    ASSERT_EQ(taken.size(), 2U);
    EXPECT_TRUE(taken.front().document == first);
    EXPECT_TRUE(taken.back().document == last);
}

TEST_F(FetcherTests, aDocumentThatIsGoneIsGivenUpForTheNewerOne)
{
    Reader reader(loop);
    const auto newer = makeDocument(PartBytes + 1, 2);
    fetcher.setReaders({ reader.address });
    fetcher.fetch({ .revision = 7, .tag = 1, .bytes = 10, .documentBytes = 10 });
    fetcher.fetch(reader.put(newer, 8));
    runUntilTaken(1);
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_TRUE(taken.front().document == newer);
}

TEST_F(FetcherTests, anAbsurdSizeIsNotFetched)
{
    Reader reader(loop);
    auto offer = reader.put("{}", 7);
    offer.bytes = MaxDocumentBytes + 1;
    fetcher.setReaders({ reader.address });
    fetcher.fetch(offer);
    fetcher.fetch(reader.put(makeDocument(1, 2), 8));
    runUntilTaken(1);
    ASSERT_EQ(reader.asked.size(), 1U);
    EXPECT_EQ(taken.front().revision, 8U);
}

/// What an operator sees: a key that was withdrawn still runs work at an entry that says it is up to date. It had heard that a newer
/// configuration was the newest, and had not got it yet.
TEST(DirectoryFollowerTests, aConfigurationIsNotConfirmedBeforeItIsThere)
{
    task::EventLoop loop;
    DirectoryState reader{ .confirmedAt = task::monotonicNow(), .serversAt = task::monotonicNow() };
    applyConfiguration(reader, { .document = makeDocument(4 * PartBytes, 1), .revision = 7 });
    DirectoryPage page(loop, reader);

    DirectoryTags known{ .configuration = 3 };
    std::vector<std::uint64_t> confirmed; ///< revisions that the entry had when it heard that its configuration is the newest
    DirectoryFollower follower(loop,
                               known,
                               0,
                               {
                                   .onConfiguration = [&](const ConfigurationSnapshot &read) { known.configuration = read.revision; },
                                   .onConfigurationConfirmed = [&](TimePoint) { confirmed.push_back(known.configuration); },
                                   .onConfigurationOffered = [](auto &&...) {},
                                   .onServersConfirmed = [](auto &&...) {},
                                   .onReaderChecked = [](auto &&...) {},
                                   .onReachable = [](auto &&...) {},
                               });
    follower.follow({ page.listen("127.0.0.1:0") });
    runUntil(
        loop, [&]() { return !confirmed.empty(); }, Bound);
    EXPECT_EQ(confirmed, std::vector<std::uint64_t>{ 7 });
}

/// What callers see: entries that are ready a third of a second after all have restarted. Those that are to read the store for others had
/// not read it yet when they were asked, were taken for lost, and were not asked again for seconds.
TEST(DirectoryFollowerTests, anEntryThatHasJustStartedIsNotTakenForLost)
{
    task::EventLoop loop;
    DirectoryState reader;
    DirectoryPage page(loop, reader);
    const DirectoryTags known;
    std::vector<bool> fitness;
    DirectoryFollower follower(loop,
                               known,
                               0,
                               {
                                   .onServersConfirmed = [](auto &&...) {},
                                   .onReaderChecked = [&](const std::string &, bool isHealthy) { fitness.push_back(isHealthy); },
                                   .onReachable = [](auto &&...) {},
                               });
    const auto address = page.listen("127.0.0.1:0");
    follower.follow({ address });
    runUntil(
        loop, [&]() { return follower.answeredAt() != TimePoint(); }, Bound);
    EXPECT_TRUE(fitness.empty());
    reader.confirmedAt = task::monotonicNow();
    reader.serversAt = task::monotonicNow();
    runUntil(
        loop, [&]() { return !fitness.empty(); }, Bound);
    EXPECT_EQ(fitness, std::vector<bool>{ true });
}

TEST(DocumentTransferTests, otherBytesThanTheOfferedOnesBeginAnew)
{
    const auto offered = makeOfferedDocument({ .document = "document", .revision = 1 });
    auto other = offered.bytes;
    other.back() = static_cast<char>(other.back() + 1);
    for (const auto &part : { offered.bytes + "s", other, std::string() }) {
        DocumentTransfer transfer{ .offer = offered.offer };
        EXPECT_EQ(appendPart(transfer, part), PartOutcome::Corrupt);
        EXPECT_TRUE(transfer.bytes.empty());
    }
}

RC_GTEST_PROP(DocumentTransferTests, everyDocumentArrivesPartByPart, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 3 * PartBytes + 2);
    const auto document = makeDocument(size, 1);
    const std::vector<OfferedDocument> documents = { makeOfferedDocument({ .document = document, .revision = 5 }) };
    DocumentTransfer transfer{ .offer = documents.front().offer };
    auto outcome = PartOutcome::Incomplete;
    while (outcome == PartOutcome::Incomplete) {
        const auto part = readPart(documents, transfer.offer.tag, transfer.bytes.size());
        RC_ASSERT(part && part->size() <= PartBytes);
        outcome = appendPart(transfer, *part);
    }
    RC_ASSERT(outcome == PartOutcome::Complete);
    const auto read = unpackDocument(transfer).value();
    RC_ASSERT(read.document == document);
    RC_ASSERT(makeOfferedDocument(read).offer == transfer.offer); // so that any entry can send the rest to one that has a part
    RC_ASSERT(!readPart(documents, transfer.offer.tag, transfer.offer.bytes));
}

/// Entries of two versions of the packing library may pack a document in different ways. One that fetched it offers the bytes that came,
/// so that a transfer goes on at any entry that has fetched the same ones.
TEST(DocumentTransferTests, whatCamePackedIsOfferedAsItCame)
{
    const auto offered = makeOfferedDocument({ .document = "document", .revision = 1, .packed = "packed otherwise" });
    EXPECT_EQ(offered.bytes, "packed otherwise");
    EXPECT_EQ(offered.offer.bytes, offered.bytes.size());
    EXPECT_NE(offered.offer.tag, makeOfferedDocument({ .document = "document", .revision = 1 }).offer.tag);
}

/// An offer that says less than its document has must not make an entry take over the beginning of it, nor fill its memory.
TEST(DocumentTransferTests, aDocumentOfAnotherSizeThanOfferedIsNotRead)
{
    const auto offered = makeOfferedDocument({ .document = std::string(5000, 'a'), .revision = 1 });
    for (const std::uint64_t size : { 4999, 5001 }) {
        DocumentTransfer transfer{ .offer = offered.offer, .bytes = offered.bytes };
        transfer.offer.documentBytes = size;
        EXPECT_FALSE(unpackDocument(transfer));
    }
}

/// A list of routes says the same words over and over.
TEST(DocumentTransferTests, aListOfRoutesTravelsInASixthOfItsSize)
{
    std::mt19937 random(7);
    std::vector<passthrough::Route> routes(1400);
    for (auto &route : routes) {
        route = { .name = "route-" + std::to_string(random()), .host = "quotes.example", .prefix = "/" + std::to_string(random()) + "/" };
    }
    const auto document = adapter::standins::configurationText(1, routes, "portal", "roofers", { "key-1" });
    EXPECT_LT(makeOfferedDocument({ .document = document, .revision = 1 }).offer.bytes * 6, document.size());
}
