#include "gateway/directoryfollower.h"
#include "gateway/directorystate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace auburnspread;
using namespace auburnspread::gateway;

namespace
{

constexpr TimePoint Now(std::chrono::hours(1));
constexpr auto Document = "{\"version\":7}";

auto makeServer(bool isLeaving) -> passthrough::Server
{
    return { .id = "i-1", .service = "engines", .address = "10.0.0.1:80", .failureDomain = "a", .slots = 32, .isLeaving = isLeaving };
}

auto makeState() -> DirectoryState
{
    DirectoryState state{ .confirmedAt = Now - std::chrono::milliseconds(300) };
    applyConfiguration(state, { .document = Document, .revision = { .number = 12 } });
    applyServers(state, { .servers = { makeServer(true) }, .asOf = Now });
    applyEntries(state, { { .name = "e1", .callerAddress = "10.0.0.2:80", .peerAddress = "10.0.0.2:90", .failureDomain = "a" } }, Now);
    return state;
}

} // namespace

TEST(DirectoryStateTests, aNewEntryGetsEverythingAndOthersGetChanges)
{
    auto state = makeState();
    const auto whole = decodeAnswer(encodeAnswer(makeAnswer(state, {}, Now)));
    ASSERT_TRUE(whole.configuration && whole.servers && whole.entries && whole.confirmedAge);
    DocumentTransfer transfer{ .offer = *whole.configuration };
    ASSERT_EQ(appendPart(transfer, readPart(state.configurations, whole.configuration->tag, 0).value()), PartOutcome::Complete);
    EXPECT_EQ(unpackDocument(transfer).value().document, Document);
    EXPECT_EQ(whole.configuration->revision.number, 12U);
    EXPECT_EQ(unpackServers(*whole.servers).front(), state.servers.front());
    EXPECT_EQ(unpackEntries(*whole.entries).front(), state.entries.front());
    EXPECT_EQ(*whole.confirmedAge, std::chrono::milliseconds(300));

    const auto known = state.tags;
    applyServers(state, { .servers = { makeServer(false) }, .asOf = Now });
    const auto change = decodeAnswer(encodeAnswer(makeAnswer(state, known, Now)));
    EXPECT_EQ(change.configuration, whole.configuration);
    EXPECT_FALSE(change.entries);
    EXPECT_FALSE(change.servers) << "the changes are enough";
    ASSERT_TRUE(change.serverChanges);
    EXPECT_FALSE(change.serverChanges->changed.front().isLeaving);
    ServerRecords list{ makeServer(true) };
    applyChanges(list, *change.serverChanges);
    EXPECT_EQ(list, state.servers);
    EXPECT_EQ(change.serversTag, state.tags.servers);
}

/// Guards against refusing every request after an outage of the store although the servers are alive. An entry that queries shortly after
/// the outage must learn that absent servers may be about to register again.
TEST(DirectoryStateTests, anOutageIsReportedToLaterQueries)
{
    auto state = makeState();
    state.outageEndedAt = Now;
    EXPECT_EQ(decodeAnswer(encodeAnswer(makeAnswer(state, {}, Now + std::chrono::seconds(1)))).outageAge, std::chrono::seconds(1));
    EXPECT_FALSE(makeAnswer(state, {}, Now + std::chrono::seconds(3)).outageAge);
}

/// Guards against requests to a server that left two seconds ago. An entry that reads the store for others was partitioned and has
/// returned; the first entries that query it get its old list, which must not replace a newer one.
TEST(DirectoryStateTests, anOldListOfAPartitionedReaderIsNotApplied)
{
    DirectoryState state;
    const passthrough::Server leaving{ .id = "i-1", .service = "engines", .isLeaving = true };
    const passthrough::Server available{ .id = "i-1", .service = "engines" };
    EXPECT_TRUE(applyServers(state, { .servers = { leaving }, .revision = { .number = 20 }, .asOf = Now }));
    EXPECT_FALSE(applyServers(state, { .servers = { available }, .revision = { .number = 12 }, .asOf = Now }));
    EXPECT_TRUE(state.servers.front().isLeaving);
}

/// After the store came back from a copy, a reader that has not seen it yet still sends the list from before.
TEST(DirectoryStateTests, aListOfAnEarlierEraIsNotApplied)
{
    DirectoryState state;
    const passthrough::Server leaving{ .id = "i-1", .service = "engines", .isLeaving = true };
    const passthrough::Server available{ .id = "i-1", .service = "engines" };
    EXPECT_TRUE(applyServers(state, { .servers = { leaving }, .revision = { .era = 2, .number = 12 }, .asOf = Now }));
    EXPECT_FALSE(applyServers(state, { .servers = { available }, .revision = { .era = 1, .number = 20 }, .asOf = Now }));
    EXPECT_TRUE(state.servers.front().isLeaving);
    EXPECT_EQ(decodeAnswer(encodeAnswer(makeAnswer(state, {}, Now))).serversRevision, (StoreRevision{ .era = 2, .number = 12 }));
}

TEST(DirectoryStateTests, anAnswerContainsTheAgeOfItsList)
{
    auto state = makeState();
    const auto answer = decodeAnswer(encodeAnswer(makeAnswer(state, state.tags, Now + std::chrono::seconds(2))));
    EXPECT_FALSE(answer.servers);
    EXPECT_EQ(answer.serversAge, std::chrono::seconds(2));
}

TEST(DirectoryStateTests, anEntryWithoutAConfigurationConfirmsNothing)
{
    const auto answer = decodeAnswer(encodeAnswer(makeAnswer({}, {}, Now)));
    EXPECT_FALSE(answer.confirmedAge);
    EXPECT_FALSE(answer.configuration);
    EXPECT_FALSE(answer.servers) << "an empty list that was never read must not be taken for the fleet";
}

RC_GTEST_PROP(DirectoryStateTests, anyBytesAreAnAnswerOrAnError, (const std::string &bytes))
{
    try {
        decodeAnswer(bytes);
        unpackServers({ .bytes = bytes, .size = bytes.size() });
    } catch (const std::runtime_error &) {
        RC_SUCCEED("refused");
    }
}

/// Two newer configurations are offered while the first one is being fetched. When it arrives, the entry still lacks the second.
TEST(DirectoryStateTests, aConfigurationIsOutdatedSinceANewerOneWasOffered)
{
    auto state = makeState();
    const auto at = [](int milliseconds) { return Now + std::chrono::milliseconds(milliseconds); };
    EXPECT_FALSE(outdatedSince(state));
    EXPECT_TRUE(recordOffer(state, { .number = 13 }, at(0)));
    EXPECT_FALSE(recordOffer(state, { .number = 13 }, at(300))) << "offered before";
    EXPECT_TRUE(recordOffer(state, { .number = 15 }, at(600)));
    EXPECT_EQ(outdatedSince(state), at(0));
    applyConfiguration(state, { .document = Document, .revision = { .number = 13 } });
    EXPECT_EQ(outdatedSince(state), at(600));
    applyConfiguration(state, { .document = Document, .revision = { .number = 16 } });
    EXPECT_FALSE(outdatedSince(state));
    EXPECT_FALSE(recordOffer(state, { .number = 16 }, at(900))) << "no newer one";
}

/// Guards against an entry that refuses every request permanently. Another entry with corrupt state offered a configuration that was
/// never written. A later confirmation by the store that the known configuration is the newest clears the offer.
TEST(DirectoryStateTests, anOfferUnknownToTheStoreIsDropped)
{
    auto state = makeState();
    recordOffer(state, { .number = 1000 }, Now);
    applyConfirmation(state, Now - std::chrono::milliseconds(1));
    EXPECT_EQ(outdatedSince(state), Now) << "it may have been written since";
    applyConfirmation(state, Now + std::chrono::milliseconds(1));
    EXPECT_FALSE(outdatedSince(state));
}
