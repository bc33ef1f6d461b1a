#include "wire/peer/links.h"
#include "wire/peer/tests/relay.h"
#include "wire/peer/tests/stranger.h"
#include "wire/peer/tests/testpeer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace auburnspread;
using namespace auburnspread::peer::testing;
using peer::MessageType;

namespace
{

constexpr int SomeRounds = 50;

auto linkEachOther(task::EventLoop &loop, TestPeer &a, const std::string &nameOfA, TestPeer &b, const std::string &nameOfB) -> bool
{
    return runUntil(loop, [&]() { return a.isLinkedTo(nameOfB) && b.isLinkedTo(nameOfA); });
}

/// Sends notices until one arrives: the first may be lost with a link that was being replaced.
auto deliversNotices(task::EventLoop &loop, TestPeer &from, const std::string &nameOfFrom, TestPeer &to, const std::string &nameOfTo) -> bool
{
    const auto before = to.countReceived(nameOfFrom, MessageType::Quarantine);
    return runUntil(loop, [&]() {
        from.links.send(nameOfTo, makeNotice(1));
        return to.countReceived(nameOfFrom, MessageType::Quarantine) > before;
    });
}

} // namespace

TEST(LinksTests, entriesThatDialEachOtherAtOnceKeepOneLink)
{
    // Two entries start together and dial each other. If each kept its own connection, or each ended the other's,
    // they would flap; both must settle on the same one and carry messages both ways.
    task::EventLoop loop;
    TestPeer a(loop, makeOptions("entry-a"));
    TestPeer b(loop, makeOptions("entry-b"));
    a.links.connect(b.links.listenAddress());
    b.links.connect(a.links.listenAddress());
    ASSERT_TRUE(linkEachOther(loop, a, "entry-a", b, "entry-b"));
    EXPECT_TRUE(deliversNotices(loop, a, "entry-a", b, "entry-b"));
    EXPECT_TRUE(deliversNotices(loop, b, "entry-b", a, "entry-a"));
    runRounds(loop, SomeRounds);
    const auto opened = a.opened["entry-b"];
    runRounds(loop, SomeRounds);
    EXPECT_EQ(a.opened["entry-b"], opened) << "the link flaps";
    EXPECT_TRUE(a.failedDials.empty());
}

TEST(LinksTests, anEntryWithAnotherSecretIsNotLinked)
{
    // An entry of another deployment has our address in its settings by mistake. Its operator sees authentication
    // failures counted; neither side opens a link, so neither takes in the other's members.
    task::EventLoop loop;
    TestPeer ours(loop, makeOptions("entry-a"));
    auto options = makeOptions("entry-b");
    options.secret = "a secret of another deployment";
    TestPeer theirs(loop, options);
    theirs.links.connect(ours.links.listenAddress());
    ours.links.connect(theirs.links.listenAddress());
    ASSERT_TRUE(runUntil(loop, [&]() { return ours.links.counters().authenticationFailures > 1 && theirs.links.counters().authenticationFailures > 1; }));
    EXPECT_TRUE(ours.opened.empty());
    EXPECT_TRUE(theirs.opened.empty());
    EXPECT_FALSE(ours.failedDials.empty());
}

TEST(LinksTests, aMessageBeforeTheProofChangesNothing)
{
    // A stranger that does not know the secret sends a leaving mark without any proof, or hands the entry's own proof
    // back to it. The entry must close the connection and deliver nothing, or anyone could empty the member list.
    task::EventLoop loop;
    TestPeer entry(loop, makeOptions("entry-a"));
    Stranger hasty(loop, entry.links.listenAddress(), "entry-b");
    hasty.opened = [&]() { hasty.send(peer::Leaving{}); };
    Stranger mirror(loop, entry.links.listenAddress(), "entry-c");
    mirror.opened = [&]() { mirror.send(peer::Hello{}); };
    mirror.received = [&](const peer::Envelope &envelope) {
        mirror.send(peer::Proof{ std::get<peer::Challenge>(envelope.message).proof });
        mirror.send(peer::Leaving{});
    };
    ASSERT_TRUE(runUntil(loop, [&]() { return hasty.isClosed() && mirror.isClosed(); }));
    EXPECT_TRUE(entry.opened.empty());
    EXPECT_TRUE(entry.received.empty());
    EXPECT_EQ(entry.links.counters().authenticationFailures, 2U);
}

TEST(LinksTests, aStrangerThatSaysNothingIsClosed)
{
    // A port scanner connects and waits. Its connections must not use up the places for new members.
    task::EventLoop loop;
    auto options = makeOptions("entry-a");
    options.handshakeTimeout = std::chrono::milliseconds(100);
    options.unauthenticated = 2;
    TestPeer entry(loop, options);
    Stranger first(loop, entry.links.listenAddress(), "x");
    Stranger second(loop, entry.links.listenAddress(), "y");
    Stranger third(loop, entry.links.listenAddress(), "z");
    ASSERT_TRUE(runUntil(loop, [&]() { return first.isClosed() && second.isClosed() && third.isClosed(); }));
    EXPECT_EQ(entry.links.counters().refused, 1U);
    TestPeer member(loop, makeOptions("entry-b"));
    member.links.connect(entry.links.listenAddress());
    EXPECT_TRUE(linkEachOther(loop, entry, "entry-a", member, "entry-b"));
}

class SilentLinkTests : public ::testing::TestWithParam<Direction>
{
};

TEST_P(SilentLinkTests, aLinkSilentOneWayIsReplaced)
{
    // Something between two entries loses track of their connection: what one sends no longer arrives and no end is
    // ever seen, while new connections work. Load vectors and marks would vanish unnoticed; both must find the
    // silence, and the dialling side must open a new link, over which messages flow both ways.
    task::EventLoop loop;
    TestPeer a(loop, makeOptions("entry-a"));
    TestPeer b(loop, makeOptions("entry-b"));
    Relay relay(loop, b.links.listenAddress());
    a.links.connect(relay.address());
    ASSERT_TRUE(linkEachOther(loop, a, "entry-a", b, "entry-b"));
    relay.freezeOpenConnections(GetParam());
    ASSERT_TRUE(runUntil(loop, [&]() { return a.opened["entry-b"] > 1 && b.opened["entry-a"] > 1; }));
    EXPECT_TRUE(deliversNotices(loop, a, "entry-a", b, "entry-b"));
    EXPECT_TRUE(deliversNotices(loop, b, "entry-b", a, "entry-a"));
    EXPECT_GE(a.links.counters().silent + b.links.counters().silent, 1U);
    EXPECT_GE(a.links.counters().reconnects, 1U);
}

INSTANTIATE_TEST_SUITE_P(EachWay, SilentLinkTests, ::testing::Values(Direction::ToTarget, Direction::FromTarget));

TEST(LinksTests, aRestartedPeerTakesThePlaceOfItsFormerRun)
{
    // A process is killed and started again under the same name while its old connection still looks open. Its new
    // incarnation must get through at once, and a late connection of the old run must not displace it.
    task::EventLoop loop;
    TestPeer entry(loop, makeOptions("entry-a"));
    TestPeer formerRun(loop, makeOptions("entry-b"));
    formerRun.links.connect(entry.links.listenAddress());
    ASSERT_TRUE(linkEachOther(loop, entry, "entry-a", formerRun, "entry-b"));
    auto options = makeOptions("entry-b");
    options.incarnation = 2;
    TestPeer newRun(loop, options);
    newRun.links.connect(entry.links.listenAddress());
    ASSERT_TRUE(runUntil(loop, [&]() { return newRun.isLinkedTo("entry-a") && !formerRun.isLinkedTo("entry-a"); }));
    runRounds(loop, SomeRounds);
    EXPECT_TRUE(deliversNotices(loop, entry, "entry-a", newRun, "entry-b"));
    EXPECT_EQ(formerRun.countReceived("entry-a", MessageType::Quarantine), 0U);
}

TEST(LinksTests, rubbishAndOversizeMessagesEndTheirLinkAlone)
{
    // A member's process is broken: it authenticates, then sends rubbish or a message beyond the bound. Its link ends
    // and is counted; the entry's other links go on.
    task::EventLoop loop;
    auto options = makeOptions("entry-a");
    options.messageBytes = 4096;
    TestPeer entry(loop, options);
    TestPeer good(loop, makeOptions("entry-b"));
    good.links.connect(entry.links.listenAddress());
    ASSERT_TRUE(linkEachOther(loop, entry, "entry-a", good, "entry-b"));
    const std::vector<std::string> bad{ "rubbish", std::string(options.messageBytes + 1, 'x') };
    for (const auto &bytes : bad) {
        Stranger broken(loop, entry.links.listenAddress(), "entry-c");
        broken.authenticate(options.secret, [&]() { broken.sendBytes(bytes); });
        ASSERT_TRUE(runUntil(loop, [&]() { return broken.isClosed(); }));
    }
    EXPECT_EQ(entry.links.counters().malformed, bad.size());
    EXPECT_EQ(entry.closed["entry-c"].size(), bad.size());
    EXPECT_TRUE(entry.closed["entry-b"].empty());
    EXPECT_TRUE(deliversNotices(loop, good, "entry-b", entry, "entry-a"));
}

TEST(LinksTests, randomBytesOnThePeerPortEndInAClosedConnection)
{
    // Anything may connect to the port: another protocol, a scanner, a damaged stream. Each connection must end, none
    // may open a link or stop the entry.
    constexpr int Connections = 40;
    constexpr std::size_t MostBytes = 3000;
    task::EventLoop loop;
    auto options = makeOptions("entry-a");
    options.handshakeTimeout = std::chrono::milliseconds(200);
    TestPeer entry(loop, options);
    std::mt19937 random(1);
    std::vector<std::unique_ptr<Stranger>> strangers;
    for (int i = 0; i < Connections; ++i) {
        auto &stranger = *strangers.emplace_back(std::make_unique<Stranger>(loop, entry.links.listenAddress(), "x"));
        std::string bytes(random() % MostBytes, '\0');
        std::generate(bytes.begin(), bytes.end(), [&]() { return static_cast<char>(random()); });
        // Half speak WebSocket first, so that the bytes reach the frame decoder.
        if (i % 2 == 0) {
            stranger.sendRaw(bytes);
        } else {
            stranger.opened = [&stranger, bytes]() { stranger.sendRaw(bytes); };
        }
    }
    ASSERT_TRUE(runUntil(loop, [&]() { return std::all_of(strangers.begin(), strangers.end(), [](const auto &stranger) { return stranger->isClosed(); }); }));
    EXPECT_TRUE(entry.opened.empty());
    EXPECT_TRUE(entry.received.empty());
}

TEST(LinksTests, aBurstBeyondTheQueueLosesReportsAndNoNotice)
{
    // An entry sends more than a peer takes in at once. Reports beyond the queue's bound are dropped and counted,
    // but each quarantine notice sent in the same burst arrives, in order.
    constexpr std::uint64_t Notices = 20;
    constexpr int ReportsEach = 200;
    task::EventLoop loop;
    auto options = makeOptions("entry-a");
    options.queueBytes = 64UL * 1024;
    TestPeer a(loop, options);
    TestPeer b(loop, makeOptions("entry-b"));
    a.links.connect(b.links.listenAddress());
    ASSERT_TRUE(linkEachOther(loop, a, "entry-a", b, "entry-b"));
    peer::Report report;
    report.report.backends.resize(10, { .backend = "a backend server with a long name", .inFlight = 1 });
    for (std::uint64_t number = 0; number < Notices; ++number) {
        a.links.send("entry-b", makeNotice(number));
        for (int i = 0; i < ReportsEach; ++i) {
            a.links.send("entry-b", report);
        }
    }
    EXPECT_GT(a.links.counters().dropped.at(static_cast<std::size_t>(MessageType::IndexedReport)), 0U);
    ASSERT_TRUE(runUntil(loop, [&]() { return b.countReceived("entry-a", MessageType::Quarantine) == Notices; }));
    std::uint64_t next = 0;
    for (const auto &[from, message] : b.received) {
        if (const auto *notice = std::get_if<peer::Quarantine>(&message)) {
            EXPECT_EQ(notice->notice.fingerprint, Fingerprint(next++));
        }
    }
    EXPECT_TRUE(a.closed.empty());
}

TEST(LinksTests, reportsKeepTheirNamesOverEveryLink)
{
    // Reports travel with numbers for names. A peer that links later and a sender that has used up its numbers must
    // leave the names right: a report read under another backend server's name would shift load to the wrong one.
    constexpr int Backends = 500;
    constexpr std::size_t Enough = 60;
    task::EventLoop loop;
    TestPeer sender(loop, makeOptions("entry-a"));
    TestPeer early(loop, makeOptions("entry-b"));
    TestPeer late(loop, makeOptions("entry-c"));
    int first = 0;
    const auto sendReport = [&]() {
        first += Backends / 5;
        peer::Report report;
        for (int i = first; i < first + Backends; ++i) {
            report.report.backends.push_back({ .backend = "gpu-" + std::to_string(i), .inFlight = static_cast<std::uint32_t>(i) });
        }
        sender.links.broadcast(report);
    };
    const auto isRight = [](const std::pair<std::string, peer::Message> &item) {
        const auto &backends = std::get<peer::Report>(item.second).report.backends;
        return backends.size() == Backends
            && std::all_of(backends.begin(), backends.end(), [](const auto &use) { return use.backend == "gpu-" + std::to_string(use.inFlight); });
    };
    for (auto *receiver : { &early, &late }) {
        receiver->links.connect(sender.links.listenAddress());
        ASSERT_TRUE(runUntil(loop, [&]() {
            sendReport();
            return receiver->countReceived("entry-a", MessageType::Report) > Enough;
        }));
        EXPECT_TRUE(std::all_of(receiver->received.begin(), receiver->received.end(), isRight));
    }
    EXPECT_TRUE(sender.closed.empty());
}
