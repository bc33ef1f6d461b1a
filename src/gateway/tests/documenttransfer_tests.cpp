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

/// A document of random bytes, which do not shrink when they are packed. It has as many parts as its size implies, if Room is left in the
/// last part for the overhead of packing.
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

/// An entry that serves the parts of a few documents, and may stop responding.
struct Reader {
    explicit Reader(task::EventLoop &loop)
        : server(loop)
    {
        server.route(std::string(DocumentPath), [this](const http::IncomingRequest &request, const http::Replier &replier) {
            const auto partQuery = parsePartQuery(request.query);
            queries.push_back(partQuery);
            if (queries.size() > answersBeforeFailure) {
                replier.reply(503, "text/plain", "");
                return;
            }
            const auto part = readPart(documents, partQuery.tag, partQuery.from);
            replier.reply(part ? 200 : 404, "application/octet-stream", part.value_or(std::string_view()));
        });
        address = server.listen("127.0.0.1:0");
    }

    auto put(const std::string &document, std::uint64_t revision) -> DocumentOffer
    {
        documents.insert(documents.begin(), makeOfferedDocument({ .document = document, .revision = { .number = revision } }));
        return documents.front().offer;
    }

    http::Server server;
    std::string address;
    std::vector<OfferedDocument> documents;
    std::vector<PartQuery> queries;
    std::size_t answersBeforeFailure = 1000; ///< number of requests before it stops responding
};

struct FetcherTests : testing::Test {
    task::EventLoop loop;
    http::Client client{ loop };
    std::vector<ConfigurationSnapshot> received;
    DocumentFetcher fetcher{ loop,
                             client,
                             0,
                             { .onDocument = [this](const ConfigurationSnapshot &read) { received.push_back(read); }, .onPartFailed = [](auto &&...) {} } };

    auto runUntilReceived(std::size_t documents) -> void
    {
        runUntil(
            loop, [&]() { return received.size() >= documents; }, Bound);
    }
};

} // namespace

/// The entry that serves a document dies half-way. The received parts are kept, and the next entry is asked only for the rest. Otherwise
/// entries of a fleet in a rolling restart could fetch the beginning of a large document again and again.
TEST_F(FetcherTests, partsFromAnEntryThatDiedAreKept)
{
    Reader dying(loop);
    Reader other(loop);
    const auto document = makeDocument(5 * PartBytes - Room, 1);
    const auto offer = dying.put(document, 7);
    other.put(document, 7);
    dying.answersBeforeFailure = 3;
    fetcher.setReaders({ dying.address, other.address });
    fetcher.fetch(offer);
    runUntilReceived(1);
    ASSERT_EQ(received.size(), 1U);
    EXPECT_TRUE(received.front().document == document);
    EXPECT_EQ(received.front().revision.number, 7U);
    EXPECT_EQ(other.queries.front().from, 3 * PartBytes);
    EXPECT_EQ(dying.queries.size() + other.queries.size(), 6U) << "five parts and one request without a response";
}

/// Operators write three documents while the first one is being transferred. Each is offered as it is written. The transfer in progress
/// completes first, and then the newest document is fetched. An entry that switched to each newer document would never receive any.
TEST_F(FetcherTests, aTransferInProgressCompletesBeforeANewerOne)
{
    Reader reader(loop);
    const auto first = makeDocument(3 * PartBytes - Room, 1);
    const auto last = makeDocument(3 * PartBytes - Room, 3);
    fetcher.setReaders({ reader.address });
    fetcher.fetch(reader.put(first, 7));
    fetcher.fetch(reader.put(makeDocument(3 * PartBytes - Room, 2), 8));
    fetcher.fetch(reader.put(last, 9));
    runUntilReceived(2);
    ASSERT_EQ(received.size(), 2U);
    EXPECT_TRUE(received.front().document == first);
    EXPECT_TRUE(received.back().document == last);
}

TEST_F(FetcherTests, aDocumentThatIsGoneIsAbortedForTheNewerOne)
{
    Reader reader(loop);
    const auto newer = makeDocument(PartBytes + 1, 2);
    fetcher.setReaders({ reader.address });
    fetcher.fetch({ .revision = { .number = 7 }, .tag = 1, .bytes = 10, .documentBytes = 10 });
    fetcher.fetch(reader.put(newer, 8));
    runUntilReceived(1);
    ASSERT_EQ(received.size(), 1U);
    EXPECT_TRUE(received.front().document == newer);
}

TEST_F(FetcherTests, aDocumentBeyondTheSizeLimitIsNotFetched)
{
    Reader reader(loop);
    auto offer = reader.put("{}", 7);
    offer.bytes = MaxDocumentBytes + 1;
    fetcher.setReaders({ reader.address });
    fetcher.fetch(offer);
    fetcher.fetch(reader.put(makeDocument(1, 2), 8));
    runUntilReceived(1);
    ASSERT_EQ(reader.queries.size(), 1U);
    EXPECT_EQ(received.front().revision.number, 8U);
}

/// Guards against a withdrawn key that is admitted by an entry that considers itself up to date. The reader confirmed a newer configuration
/// that the entry had not received yet.
TEST(DirectoryFollowerTests, aConfigurationIsNotConfirmedBeforeItIsReceived)
{
    task::EventLoop loop;
    DirectoryState reader{ .confirmedAt = task::monotonicNow(), .serversAt = task::monotonicNow() };
    applyConfiguration(reader, { .document = makeDocument(4 * PartBytes, 1), .revision = { .number = 7 } });
    DirectoryPage page(loop, reader);

    DirectoryState known{ .tags = { .configuration = { .number = 3 } } };
    std::vector<std::uint64_t> confirmed; ///< revision that the entry had at each confirmation
    DirectoryFollower follower(loop,
                               known,
                               0,
                               {
                                   .onConfiguration =
                                       [&](const ConfigurationSnapshot &read) {
                                           applyConfiguration(known, read);
                                           if (applyPendingConfirmations(known)) {
                                               confirmed.push_back(known.tags.configuration.number);
                                           }
                                       },
                                   .onConfigurationConfirmed =
                                       [&](StoreRevision revision, TimePoint asOf) {
                                           if (recordConfirmation(known, revision, asOf)) {
                                               confirmed.push_back(known.tags.configuration.number);
                                           }
                                       },
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

/// Guards against a slow start after all entries have restarted. The entries assigned to read the store had not read it yet when they were
/// queried, were considered lost, and were not queried again for seconds.
TEST(DirectoryFollowerTests, anEntryThatHasJustStartedIsNotConsideredLost)
{
    task::EventLoop loop;
    DirectoryState reader;
    DirectoryPage page(loop, reader);
    const DirectoryState known;
    std::vector<bool> health;
    DirectoryFollower follower(loop,
                               known,
                               0,
                               {
                                   .onServersConfirmed = [](auto &&...) {},
                                   .onReaderChecked = [&](const std::string &, bool isHealthy) { health.push_back(isHealthy); },
                                   .onReachable = [](auto &&...) {},
                               });
    const auto address = page.listen("127.0.0.1:0");
    follower.follow({ address });
    runUntil(
        loop, [&]() { return follower.answeredAt() != TimePoint(); }, Bound);
    EXPECT_TRUE(health.empty());
    reader.confirmedAt = task::monotonicNow();
    reader.serversAt = task::monotonicNow();
    runUntil(
        loop, [&]() { return !health.empty(); }, Bound);
    EXPECT_EQ(health, std::vector<bool>{ true });
}

TEST(DocumentTransferTests, aTransferWithWrongBytesRestarts)
{
    const auto offered = makeOfferedDocument({ .document = "document", .revision = { .number = 1 } });
    auto other = offered.bytes;
    other.back() = static_cast<char>(other.back() + 1);
    for (const auto &part : { offered.bytes + "s", other, std::string() }) {
        DocumentTransfer transfer{ .offer = offered.offer };
        EXPECT_EQ(appendPart(transfer, part), PartOutcome::Corrupt);
        EXPECT_TRUE(transfer.bytes.empty());
    }
}

RC_GTEST_PROP(DocumentTransferTests, everyDocumentIsTransferredPartByPart, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 3 * PartBytes + 2);
    const auto document = makeDocument(size, 1);
    const std::vector<OfferedDocument> documents = { makeOfferedDocument({ .document = document, .revision = { .number = 5 } }) };
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
    RC_ASSERT(makeOfferedDocument(read).offer == transfer.offer); // any entry with the document can continue the transfer
    RC_ASSERT(!readPart(documents, transfer.offer.tag, transfer.offer.bytes));
}

/// Entries with different versions of the compression library may pack a document differently. An entry that fetched the document offers the
/// bytes it received, so that a transfer can continue at any entry that has fetched the same bytes.
TEST(DocumentTransferTests, aPackedDocumentIsOfferedUnchanged)
{
    const auto offered = makeOfferedDocument({ .document = "document", .revision = { .number = 1 }, .packed = "packed otherwise" });
    EXPECT_EQ(offered.bytes, "packed otherwise");
    EXPECT_EQ(offered.offer.bytes, offered.bytes.size());
    EXPECT_NE(offered.offer.tag, makeOfferedDocument({ .document = "document", .revision = { .number = 1 } }).offer.tag);
}

/// An offer with a wrong size must not make an entry apply a truncated document, nor exhaust its memory.
TEST(DocumentTransferTests, aDocumentOfAnotherSizeThanOfferedIsRejected)
{
    const auto offered = makeOfferedDocument({ .document = std::string(5000, 'a'), .revision = { .number = 1 } });
    for (const std::uint64_t size : { 4999, 5001 }) {
        DocumentTransfer transfer{ .offer = offered.offer, .bytes = offered.bytes };
        transfer.offer.documentBytes = size;
        EXPECT_FALSE(unpackDocument(transfer));
    }
}

/// A list of routes is repetitive and compresses well.
TEST(DocumentTransferTests, aListOfRoutesIsSentInASixthOfItsSize)
{
    std::mt19937 random(7);
    std::vector<passthrough::Route> routes(1400);
    for (auto &route : routes) {
        route = { .name = "route-" + std::to_string(random()), .host = "quotes.example", .prefix = "/" + std::to_string(random()) + "/" };
    }
    const auto document = adapter::standins::configurationText(1, routes, "portal", "roofers", { "key-1" });
    EXPECT_LT(makeOfferedDocument({ .document = document, .revision = { .number = 1 } }).offer.bytes * 6, document.size());
}
