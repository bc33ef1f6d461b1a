#include "entry/backend/tests/backendfixture.h"
#include "entry/backend/tests/chatbytes.h"
#include "entry/router/routertask.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::entry;
using namespace std::chrono_literals;

namespace
{

constexpr Duration ShortTimeout = 100ms;

/// The next event of an attempt other than reports of silence.
template <typename Wanted>
auto nextBesideSilence(Fixture &fixture) -> Wanted
{
    while (true) {
        const auto event = std::get<routing::Event>(Fixture::next(fixture.mailboxes.router, fixture.toRouter));
        if (const auto *wanted = std::get_if<Wanted>(&event)) {
            return *wanted;
        }
        if (std::holds_alternative<routing::AttemptFailed>(event)) {
            throw std::runtime_error("the attempt failed");
        }
    }
}

/// Waits for what the task reports at the timeout. \return whether it is a failure
auto failsAtTheTimeout(Fixture &fixture) -> bool
{
    return std::holds_alternative<routing::AttemptFailed>(std::get<routing::Event>(Fixture::next(fixture.mailboxes.router, fixture.toRouter)));
}

auto commit(Fixture &fixture, int attempt = 1) -> void
{
    fixture.mailboxes.backend.post(routing::CommitAttempt{ .request = RequestId{ 1 }, .attempt = static_cast<AttemptId>(attempt) });
}

constexpr auto SecondId = "entry-1-7-2"; // of the second attempt, on the wire

/// Sends request 1 to the server once more, beside attempt 1, from token \p offset on.
auto orderSecond(Fixture &fixture, std::uint32_t offset) -> TcpConnection
{
    fixture.mailboxes.backend.post(DispatchOrder{
        .dispatch = { .request = RequestId{ 1 },
                      .attempt = AttemptId{ 2 },
                      .address = fixture.server.address(),
                      .resumeOffset = offset,
                      .freshConnection = true,
                      .firstTokenTimeout = NeverReached,
                      .progressTimeout = NeverReached },
        .payload = std::make_shared<const Payload>(makeChatPayload()),
    });
    auto connection = fixture.server.accept();
    connection.readUntil("}");
    return connection;
}

auto cancelFirst(Fixture &fixture) -> void
{
    fixture.mailboxes.backend.post(routing::CancelAttempt{ .attempt = AttemptId{ 1 } });
}

/// Router and backend task with two engines that take one request each.
struct Site {
    Mailboxes mailboxes;
    TcpServer first;
    TcpServer second;
    RouterTask router{ { .router = { .entry = "entry-1" }, .publishInterval = NeverReached }, mailboxes };
    BackendTask backend{ { .attemptPrefix = "entry-1-7", .mostEventBytes = MostEventBytes, .connectTimeout = NeverReached, .idleAge = NeverReached },
                         mailboxes };
    std::thread routerThread;
    std::thread backendThread;
    std::deque<CallerMessage> toCaller;

    explicit Site(int servers, Duration firstTokenTimeout = ShortTimeout)
    {
        auto adopted = std::make_shared<configuration::AdoptedDocument>();
        adopted->version = 1;
        auto &document = adopted->document;
        document.limits.firstTokenTimeout = firstTokenTimeout;
        document.limits.progressTimeout = ShortTimeout;
        document.models = { { .name = "quote", .versions = { "1" } } };
        document.classes = { { .name = "quote", .models = { { .model = "quote" } }, .firstTokenTarget = NeverReached, .answerTarget = NeverReached } };
        document.workspaces = { { .name = "karoo", .classes = { "quote" } } };
        addServer(document, "gpu-1", first);
        if (servers > 1) {
            addServer(document, "gpu-2", second);
        }
        mailboxes.router.post(routing::Event(routing::ConfigurationAdopted{ adopted }));
        routerThread = std::thread([this]() { router.run(); });
        backendThread = std::thread([this]() { backend.run(); });
    }

    ~Site()
    {
        router.stop();
        backend.stop();
        routerThread.join();
        backendThread.join();
    }

    static auto addServer(configuration::Document &document, const std::string &name, const TcpServer &server) -> void
    {
        document.backendServers.push_back(
            { .name = name, .address = server.address(), .models = { { .model = "quote", .version = "1" } }, .concurrency = 1, .canResume = true });
    }

    auto ask() -> void
    {
        mailboxes.router.post(Submission{
            .arrived = { .request = RequestId{ 1 }, .workspace = "karoo", .requestClass = "quote", .stream = false },
            .payload = std::make_shared<const Payload>(makeChatPayload()),
        });
    }

    /// The content that the caller has when the response ends.
    auto contentOfResponse() -> std::string
    {
        std::string content;
        while (true) {
            const auto message = Fixture::next(mailboxes.caller, toCaller);
            if (std::holds_alternative<AnswerEnded>(message)) {
                return content;
            }
            if (const auto *refused = std::get_if<routing::Refuse>(&message)) {
                return "refused: " + std::string(reasonInfo(refused->reason).name);
            }
            if (std::holds_alternative<AnswerRestarted>(message)) {
                content.clear();
            }
            if (const auto *part = std::get_if<AnswerPart>(&message)) {
                content += part->content;
            }
        }
    }
};

/// The router has a silent server probed, so a probe shows that the timeout has passed.
auto waitForProbe(const TcpServer &server) -> void
{
    const auto probe = server.accept();
    probe.readUntil("/health");
    probe.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

/// The engine that the request was sent to, and the other one.
auto enginesInOrder(Site &site) -> std::pair<TcpServer &, TcpServer &>
{
    while (!site.first.hasConnection() && !site.second.hasConnection()) {
        std::this_thread::yield();
    }
    if (site.first.hasConnection()) {
        return { site.first, site.second };
    }
    return { site.second, site.first };
}

/// A stream whose first token was relayed. \return the connection of its server
auto relayFirstToken(Fixture &fixture) -> TcpConnection
{
    auto first = fixture.answer(StreamHead + makeToken(0, "a"), { .progressTimeout = ShortTimeout });
    fixture.commit();
    fixture.nextToCaller<AnswerRestarted>();
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "a");
    return first;
}

} // namespace

/// Guards against a sound server that is given up: it pauses for longer than the timeout before its first token.
TEST(BackendSilenceTests, aResponseThatBeginsAfterTheTimeoutIsRelayed)
{
    Fixture fixture;
    const auto backend = fixture.answer("", { .firstTokenTimeout = ShortTimeout });
    ASSERT_FALSE(failsAtTheTimeout(fixture));
    backend.send(StreamHead + makeToken(0, "a") + makeLast(1) + StreamEnd);
    nextBesideSilence<routing::AttemptStarted>(fixture);
    commit(fixture);
    fixture.nextToCaller<AnswerRestarted>();
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "a");
    EXPECT_EQ(nextBesideSilence<routing::AttemptFinished>(fixture).relayedTokens, 1U);
}

/// Guards against a stream that is broken off: its server pauses for longer than the timeout between two tokens.
TEST(BackendSilenceTests, aStreamThatGoesOnAfterTheTimeoutIsRelayed)
{
    Fixture fixture;
    const auto backend = fixture.answer(StreamHead + makeToken(0, "a"), { .progressTimeout = ShortTimeout });
    fixture.commit();
    ASSERT_FALSE(failsAtTheTimeout(fixture));
    backend.send(makeToken(1, "b") + makeLast(2) + StreamEnd);
    fixture.nextToCaller<AnswerRestarted>();
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "a");
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "b");
    EXPECT_EQ(nextBesideSilence<routing::AttemptFinished>(fixture).relayedTokens, 2U);
}

/// Guards against a request that is refused because its only server pauses: nothing else could serve it.
TEST(BackendSilenceTests, aRequestWhoseOnlyServerPausesIsAnswered)
{
    Site site(1);
    site.ask();
    const auto paused = site.first.accept();
    paused.readUntil("}");
    waitForProbe(site.first);
    paused.send(StreamHead + makeToken(0, "a") + makeLast(1) + StreamEnd);
    EXPECT_EQ(site.contentOfResponse(), "a");
}

/// Guards against a response that is given up for another one that may come to nothing: the first server goes on after the
/// request was sent to another server as well.
TEST(BackendSilenceTests, theFirstServerThatGoesOnServesTheRequest)
{
    Site site(2);
    site.ask();
    const auto [one, other] = enginesInOrder(site);
    const auto paused = one.accept();
    paused.readUntil("}");
    const auto replacement = other.accept();
    replacement.readUntil("}");
    paused.send(StreamHead + makeToken(0, "a") + makeLast(1) + StreamEnd);
    EXPECT_EQ(site.contentOfResponse(), "a");
    EXPECT_TRUE(replacement.seesEnd());
}

/// Guards against tokens that are relayed twice or left out: a server pauses in a stream, another one goes on with it.
TEST(BackendSilenceTests, aStreamOfASilentServerIsCompletedByAnother)
{
    Site site(2, NeverReached);
    site.ask();
    const auto [one, other] = enginesInOrder(site);
    const auto paused = one.accept();
    paused.readUntil("}");
    paused.send(StreamHead + makeToken(0, "a") + makeToken(1, "b"));
    const auto replacement = other.accept();
    EXPECT_NE(replacement.readUntil("}").find("Resume-Offset: 2\r\n"), std::string::npos);
    replacement.send(StreamHead + makeToken(2, "c", "entry-1-7-2") + makeLast(3, "entry-1-7-2") + StreamEnd);
    EXPECT_EQ(site.contentOfResponse(), "abc");
    EXPECT_TRUE(paused.seesEnd());
}

/// Guards against tokens that the caller gets twice: the silent attempt goes on while the second one starts where the first one stopped,
/// and the second one is chosen.
TEST(BackendSilenceTests, tokensThatTheFirstAttemptRelaysMeanwhileAreLeftOutOfTheSecond)
{
    Fixture fixture;
    const auto first = relayFirstToken(fixture);
    const auto second = orderSecond(fixture, 1);
    first.send(makeToken(1, "b") + makeToken(2, "c"));
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "b");
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "c");
    second.send(StreamHead + makeToken(1, "b", SecondId));
    nextBesideSilence<routing::AttemptStarted>(fixture);
    cancelFirst(fixture);
    commit(fixture, 2);
    EXPECT_TRUE(first.seesEnd());
    second.send(makeToken(2, "c", SecondId) + makeToken(3, "d", SecondId) + makeLast(4, SecondId) + StreamEnd);
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "d");
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().finishReason, "stop");
    fixture.nextToCaller<AnswerEnded>();
    EXPECT_EQ(nextBesideSilence<routing::AttemptFinished>(fixture).relayedTokens, 4U);
}

/// Guards against an answer with two ends: the silent attempt sends the rest of it while the second one starts, and the second one is chosen.
TEST(BackendSilenceTests, anAnswerThatTheFirstAttemptCompletesMeanwhileIsNotRelayedAgain)
{
    Fixture fixture;
    const auto first = relayFirstToken(fixture);
    const auto second = orderSecond(fixture, 1);
    first.send(makeToken(1, "b") + makeLast(2));
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().content, "b");
    EXPECT_EQ(fixture.nextToCaller<AnswerPart>().finishReason, "stop");
    second.send(StreamHead + makeToken(1, "b", SecondId));
    nextBesideSilence<routing::AttemptStarted>(fixture);
    cancelFirst(fixture);
    commit(fixture, 2);
    fixture.nextToCaller<AnswerEnded>();
    auto finished = nextBesideSilence<routing::AttemptFinished>(fixture);
    while (finished.attempt != AttemptId{ 2 }) {
        finished = nextBesideSilence<routing::AttemptFinished>(fixture);
    }
    EXPECT_EQ(finished.relayedTokens, 2U);
    EXPECT_TRUE(second.seesEnd());
    EXPECT_TRUE(fixture.callerGotNothing());
}
