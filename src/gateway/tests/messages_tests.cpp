#include "gateway/eventsplitter.h"
#include "gateway/peerexchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace auburnspread;
using namespace auburnspread::gateway;

TEST(PeerMessageTests, messagesReadBack)
{
    const passthrough::PeerReported report{
        .entry = "entry-1",
        .uses = { { .server = "i-1", .inFlight = 3, .unreadTokens = 9000, .heldTokens = 20'000, .talkers = 2 } },
    };
    const auto read = std::get<passthrough::PeerReported>(decodePeerMessage(encodePeerMessage(report)));
    EXPECT_EQ(read.entry, report.entry);
    ASSERT_EQ(read.uses.size(), 1U);
    EXPECT_EQ(read.uses[0].server, "i-1");
    EXPECT_EQ(read.uses[0].heldTokens, 20'000U);
    EXPECT_EQ(read.uses[0].talkers, 2U);

    const passthrough::CrashesHeard crashes{ .fingerprint = Fingerprint{ 77 }, .crashes = 2 };
    EXPECT_EQ(std::get<passthrough::CrashesHeard>(decodePeerMessage(encodePeerMessage(crashes))).fingerprint, crashes.fingerprint);
}

/// What an operator sees: an entry that ends by itself. Anybody can send a datagram; whatever is in it must be an error and
/// no more.
RC_GTEST_PROP(PeerMessageTests, anyBytesAreAMessageOrAnError, (const std::string &bytes))
{
    try {
        decodePeerMessage(bytes);
    } catch (const std::runtime_error &) {
        RC_SUCCEED("refused");
    }
}

RC_GTEST_PROP(EventSplitterTests, noByteIsLostWhereverTheStreamIsCut, (const std::vector<std::string> &pieces))
{
    EventSplitter splitter;
    std::string whole;
    std::string passed;
    for (const auto &piece : pieces) {
        whole += piece;
        passed += splitter.feed(piece);
    }
    RC_ASSERT(passed + splitter.takeRest() == whole);
}

TEST(EventSplitterTests, onlyWholeEventsPass)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\ndata: a\n"), "");
    EXPECT_EQ(splitter.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.lastEventId(), "1");
    EXPECT_EQ(splitter.feed("ta: b\r\n\r\n"), "id: 2\ndata: b\r\n\r\n");
    EXPECT_EQ(splitter.lastEventId(), "2");
}

TEST(EventSplitterTests, anEventWithoutEndIsNoticed)
{
    EventSplitter splitter(100);
    splitter.feed(std::string(101, 'x'));
    EXPECT_TRUE(splitter.isTooLong());
}
