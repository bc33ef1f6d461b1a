#include "core/passthrough/peerreports.h"
#include "gateway/clock.h"
#include "gateway/eventsplitter.h"
#include "gateway/peerexchange.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace auburnspread;
using namespace auburnspread::gateway;

/// One report of a stream's origin goes to each keeper, so its size counts.
TEST(PeerMessageTests, originsAndQuestionsAboutThemAreDecodedAsEncoded)
{
    constexpr auto Stream = passthrough::StreamId{ 0xfeedfacecafebeefULL };
    const passthrough::OriginReported report{ .stream = Stream, .origin = { .service = "engines", .version = { "v1.2" } } };
    const auto bytes = encodePeerMessage(report);
    EXPECT_LE(bytes.size(), 32U);
    const auto readReport = std::get<passthrough::OriginReported>(decodePeerMessage(bytes));
    EXPECT_EQ(readReport.stream, Stream);
    EXPECT_EQ(readReport.origin, report.origin);
    const auto question = std::get<OriginQuestion>(
        decodePeerMessage(encodePeerMessage(OriginQuestion{ .stream = Stream, .service = "engines", .peerAddress = "10.0.0.1:7200" })));
    EXPECT_EQ(question.stream, Stream);
    EXPECT_EQ(question.service, "engines");
    EXPECT_EQ(question.peerAddress, "10.0.0.1:7200");
    const auto unknown
        = std::get<passthrough::OriginUnknown>(decodePeerMessage(encodePeerMessage(passthrough::OriginUnknown{ .stream = Stream, .entry = "e" })));
    EXPECT_EQ(unknown.stream, Stream);
    EXPECT_EQ(unknown.entry, "e");
    EXPECT_FALSE(unknown.versions);
}

TEST(PeerMessageTests, historiesOfVersionsAreDecodedAsEncoded)
{
    using std::chrono::milliseconds;
    const passthrough::VersionReport report{
        .service = "engines", .knownFor = milliseconds(90'000), .confirmedAge = milliseconds(300), .seen = { { .version = "v1", .age = milliseconds(40) } }
    };
    const passthrough::OriginUnknown answer{ .stream = passthrough::StreamId{ 7 }, .entry = "e", .versions = report };
    const auto read = std::get<passthrough::OriginUnknown>(decodePeerMessage(encodePeerMessage(answer)));
    ASSERT_TRUE(read.versions);
    EXPECT_EQ(read.versions->service, "engines");
    EXPECT_EQ(read.versions->knownFor, report.knownFor);
    EXPECT_EQ(read.versions->confirmedAge, report.confirmedAge);
    ASSERT_EQ(read.versions->seen.size(), 1U);
    EXPECT_EQ(read.versions->seen[0].version, "v1");
    EXPECT_EQ(read.versions->seen[0].age, milliseconds(40));
}

TEST(PeerMessageTests, messagesAreDecodedAsEncoded)
{
    const passthrough::PeerReported report{
        .entry = "entry-1",
        .uses = { { .server = "i-1", .inFlight = 3, .unreadTokens = 9000, .heldTokens = 20'000, .shortPrompts = 2 } },
    };
    const auto read = std::get<passthrough::PeerReported>(decodePeerMessage(encodePeerMessage(report)));
    EXPECT_EQ(read.entry, report.entry);
    ASSERT_EQ(read.uses.size(), 1U);
    EXPECT_EQ(read.uses[0].server, "i-1");
    EXPECT_EQ(read.uses[0].heldTokens, 20'000U);
    EXPECT_EQ(read.uses[0].shortPrompts, 2U);

    const passthrough::CrashesReported crashes{ .suspect = passthrough::requestSuspect(Fingerprint{ 77 }),
                                                .incidents = { { .server = "i-1", .at = now(), .hadEvents = true } } };
    const auto readCrashes = std::get<passthrough::CrashesReported>(decodePeerMessage(encodePeerMessage(crashes)));
    EXPECT_EQ(readCrashes.suspect, crashes.suspect);
    ASSERT_EQ(readCrashes.incidents.size(), 1U);
    EXPECT_EQ(readCrashes.incidents[0].server, "i-1");
    EXPECT_TRUE(readCrashes.incidents[0].hadEvents);
}

TEST(PeerMessageTests, reportsOnPromptPartsAreDecodedAsEncoded)
{
    const auto at = now() - std::chrono::seconds(2);
    const passthrough::CrashesReported crashes{
        .suspect = passthrough::partSuspect(78),
        .incidents = { { .server = "i-1", .startedAt = 1'796'613'811'742, .at = now(), .sentAt = at, .request = Fingerprint{ 79 } } }
    };
    const auto read = std::get<passthrough::CrashesReported>(decodePeerMessage(encodePeerMessage(crashes)));
    EXPECT_EQ(read.suspect, crashes.suspect);
    ASSERT_EQ(read.incidents.size(), 1U);
    EXPECT_EQ(read.incidents[0].startedAt, 1'796'613'811'742);
    EXPECT_LT(read.incidents[0].sentAt, read.incidents[0].at);
    EXPECT_EQ(read.incidents[0].request, Fingerprint{ 79 });

    const passthrough::CrashesReported proof{ .suspect = passthrough::partSuspect(78), .provenAt = at };
    const auto readProof = std::get<passthrough::CrashesReported>(decodePeerMessage(encodePeerMessage(proof)));
    EXPECT_TRUE(readProof.incidents.empty());
    EXPECT_LT(readProof.provenAt, now() - std::chrono::seconds(1));
}

TEST(PeerMessageTests, limitsAreDecodedAsEncoded)
{
    using Limit = passthrough::PeerReported::Limit;
    const passthrough::PeerReported report{
        .entry = "entry-1",
        .uses = { { .server = "i-1", .limit = Limit{ .perSecond = 1.4, .age = std::chrono::milliseconds(70) }, .sentLately = 3 },
                  { .server = "i-2", .limit = Limit{ .age = std::chrono::milliseconds(5) } },
                  { .server = "i-3", .inFlight = 1 } },
    };
    const auto read = std::get<passthrough::PeerReported>(decodePeerMessage(encodePeerMessage(report)));
    ASSERT_EQ(read.uses.size(), 3U);
    ASSERT_TRUE(read.uses[0].limit && read.uses[1].limit);
    EXPECT_EQ(read.uses[0].limit->perSecond, 1.4);
    EXPECT_EQ(read.uses[0].limit->age, std::chrono::milliseconds(70));
    EXPECT_EQ(read.uses[0].sentLately, 3U);
    EXPECT_FALSE(read.uses[1].limit->perSecond);
    EXPECT_FALSE(read.uses[2].limit);
}

/// Guards against figures that wrap into plausible ones when they are read: 2^63 would become 0.
TEST(PeerMessageTests, aReportWithAFigureBeyond32BitsIsInvalidAndItsSenderIsNamed)
{
    using nlohmann::json;
    const passthrough::PeerReported report{ .entry = "entry-1", .uses = { { .server = "i-1", .inFlight = 3 } } };
    for (const auto &figure : { json(std::uint64_t{ 1 } << 63), json((std::uint64_t{ 1 } << 32) + 3), json(-1), json(3.5) }) {
        auto document = json::from_cbor(encodePeerMessage(report));
        document["uses"][0][1] = figure;
        std::string bytes;
        json::to_cbor(document, bytes);
        try {
            decodePeerMessage(bytes);
            ADD_FAILURE() << figure;
        } catch (const std::runtime_error &error) {
            EXPECT_NE(std::string(error.what()).find("entry-1"), std::string::npos) << error.what();
        }
    }
}

/// Guards against an aggregate that exceeds the size of a datagram and is therefore lost as a whole.
TEST(PeerMessageTests, aSumOfServersThatAllHaveALimitFitsIntoADatagram)
{
    constexpr auto Servers = 1000;
    passthrough::ServerTable table;
    const TimePoint now(std::chrono::hours(1));
    passthrough::ServersListed list;
    for (auto i = 0; i < Servers; ++i) {
        list.servers.push_back({ .id = "i-0123456" + std::to_string(100'000 + i), .service = "engines" });
    }
    passthrough::applyServerList(table, list, now);
    for (const auto &[id, server] : table.byId) {
        passthrough::recordSend(table, *server, { .unreadTokens = 70'000, .heldTokens = 70'000, .isShort = true }, Duration::zero(), now);
        passthrough::recordLimitStatement(table, *server, 1.4, now, now);
    }
    const auto sum = passthrough::makeAggregateReport(table, "entry-with-a-long-name", passthrough::ReportScope::Fleet, now + std::chrono::seconds(70));
    EXPECT_LE(encodePeerMessage(sum).size(), 8192U);
    EXPECT_GE(sum.uses.size(), 100U);
}

/// Guards against sessions whose prompts are computed again on another engine. After a restart an entry reports the cache contents of
/// several engines, which exceed one datagram. The remaining parts must follow in further messages, which must not replace the load that
/// the first message reports.
TEST(PeerMessageTests, partsBeyondOneDatagramAreSentInFurtherMessages)
{
    passthrough::PeerReported report{ .entry = "entry-1" };
    for (auto engine = 0; engine < 4; ++engine) {
        auto &use = report.uses.emplace_back(passthrough::PeerReported::ServerUsage{ .server = "i-" + std::to_string(engine), .inFlight = 1 });
        for (std::uint64_t part = 0; part < 200; ++part) {
            use.sent.push_back({ .id = 1000 * static_cast<std::uint64_t>(engine) + part, .tokens = 3000 });
        }
    }
    const auto messages = splitIntoDatagrams(report);
    ASSERT_EQ(messages.size(), 3U);
    std::size_t parts = 0;
    for (const auto &message : messages) {
        const auto read = std::get<passthrough::PeerReported>(decodePeerMessage(encodePeerMessage(message)));
        EXPECT_EQ(read.isContinuation, &message != &messages.front());
        for (const auto &use : read.uses) {
            EXPECT_EQ(use.inFlight, read.isContinuation ? 0U : 1U);
            parts += use.sent.size();
        }
    }
    EXPECT_EQ(parts, 800U);
}

/// Guards against an entry that terminates on an invalid datagram. Any host can send a datagram, and invalid content must only cause an
/// error.
RC_GTEST_PROP(PeerMessageTests, anyBytesAreAMessageOrAnError, (const std::string &bytes))
{
    try {
        decodePeerMessage(bytes);
    } catch (const std::runtime_error &) {
        RC_SUCCEED("refused");
    }
}

RC_GTEST_PROP(EventSplitterTests, noByteIsLostWhereverTheStreamIsSplit, (const std::vector<std::string> &pieces))
{
    EventSplitter splitter;
    std::string whole;
    std::string passed;
    for (const auto &piece : pieces) {
        whole += piece;
        passed += splitter.feed(piece);
    }
    RC_ASSERT(passed + splitter.takeRemainder() == whole);
}

TEST(EventSplitterTests, onlyCompleteEventsAreForwarded)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\ndata: a\n"), "");
    EXPECT_EQ(splitter.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.lastEventId(), "1");
    EXPECT_EQ(splitter.feed("ta: b\r\n\r\n"), "id: 2\ndata: b\r\n\r\n");
    EXPECT_EQ(splitter.lastEventId(), "2");
}

/// Guards against events that are held back or cut: a lone CR ends a line too, and the LF of a CRLF may arrive later.
TEST(EventSplitterTests, eachKindOfLineEndEndsAnEvent)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\rdata: a\r\rid: 2\r"), "id: 1\rdata: a\r\r");
    EXPECT_EQ(splitter.lastEventId(), "1");
    EXPECT_FALSE(splitter.endsWithEvent());
    EXPECT_EQ(splitter.feed("\n\r"), "id: 2\r\n\r");
    EXPECT_EQ(splitter.feed("\ndata: c\r"), "\n");
    EXPECT_EQ(splitter.feed("\n"), "");
    EXPECT_EQ(splitter.feed("\n"), "data: c\r\n\n");
    EXPECT_TRUE(splitter.endsWithEvent());
    EXPECT_EQ(countEvents("id: 1\r\rid: 2\r\n\r\n\r\n"), 2U);
}

TEST(EventSplitterTests, onlyAPartOfAnEventIsMissingItsEnd)
{
    EventSplitter splitter;
    EXPECT_FALSE(splitter.endsWithEvent());
    splitter.feed("data: a\n\n");
    EXPECT_TRUE(splitter.endsWithEvent());
    splitter.feed(": keep-alive\n");
    EXPECT_TRUE(splitter.endsWithEvent());
    splitter.feed("data");
    EXPECT_FALSE(splitter.endsWithEvent());
}

TEST(EventSplitterTests, completeEventsAreCounted)
{
    EXPECT_EQ(countEvents(""), 0U);
    EXPECT_EQ(countEvents("id: 1\ndata: a\n\n"), 1U);
    EXPECT_EQ(countEvents("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"), 3U);
}

TEST(EventSplitterTests, anUnterminatedEventIsDetected)
{
    EventSplitter splitter(100);
    splitter.feed(std::string(101, 'x'));
    EXPECT_TRUE(splitter.exceedsLimit());
}

TEST(PeerMessageTests, theSpeedOfEnginesIsReported)
{
    const passthrough::PeerReported report{
        .entry = "entry-1", .failureDomain = "a", .isContinuation = true, .speeds = { { .server = "engine-1", .samples = 12, .logSum = -6.5 } }
    };
    const auto read = std::get<passthrough::PeerReported>(decodePeerMessage(encodePeerMessage(report)));
    ASSERT_EQ(read.speeds.size(), 1U);
    EXPECT_EQ(read.speeds.front().server, "engine-1");
    EXPECT_DOUBLE_EQ(read.speeds.front().samples, 12);
    EXPECT_DOUBLE_EQ(read.speeds.front().logSum, -6.5);
}
