#include "entry/caller/callertask.h"

#include "entry/caller/tests/wirecaller.h"
#include "runtime/task/eventloop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <poll.h>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::entry;

namespace
{

constexpr int WaitMilliseconds = 30'000; // generous: only a hanging test meets it
constexpr auto GoodBody = R"({"messages":[{"role":"user","content":"roof"}],"stream":true})";

auto withDefaults(CallerTaskOptions options) -> CallerTaskOptions
{
    options.address = "127.0.0.1:0";
    options.publicPrefix = "entry-1-7";
    return options;
}

/// Whose limit is not what a test is about.
constexpr std::size_t LargeVmBytes = std::size_t{ 4 } * 1024 * 1024 * 1024;

/// A caller task in its own thread; the test plays the router, the backend and the control task.
struct Fixture {
    Mailboxes mailboxes;
    std::mutex mutex;
    std::vector<Reason> refusals;
    CallerTask task;
    std::thread thread;

    explicit Fixture(CallerTaskOptions options = {})
        : task(
            [&]() {
                options.refused = [this](const routing::Refuse &refusal, const std::string & /*detail*/) {
                    const std::lock_guard lock(mutex);
                    refusals.push_back(refusal.reason);
                };
                return withDefaults(std::move(options));
            }(),
            mailboxes)
    {
        task.listen();
        thread = std::thread([this]() { task.run(); });
    }

    ~Fixture()
    {
        task.stopWhenIdle();
        thread.join();
    }

    /// The next message to the router; nothing if none comes.
    auto nextToRouter() -> std::optional<RouterMessage>
    {
        if (taken.empty()) {
            pollfd watched{ .fd = mailboxes.router.descriptor(), .events = POLLIN, .revents = 0 };
            ::poll(&watched, 1, WaitMilliseconds);
            for (auto &message : mailboxes.router.takeAll()) {
                taken.push_back(std::move(message));
            }
        }
        if (taken.empty()) {
            return std::nullopt;
        }
        auto message = std::move(taken.front());
        taken.erase(taken.begin());
        return message;
    }

    auto nextSubmission() -> Submission
    {
        return std::get<Submission>(nextToRouter().value());
    }

    auto nextBlocked() -> bool
    {
        pollfd watched{ .fd = mailboxes.backend.descriptor(), .events = POLLIN, .revents = 0 };
        ::poll(&watched, 1, WaitMilliseconds);
        return std::get<CallerBlocked>(mailboxes.backend.takeAll().front()).blocked;
    }

    std::vector<RouterMessage> taken;
};

auto makePost(const std::string &body,
              const std::string &headers = "Auburnspread-Workspace: w\r\nAuburnspread-Class: c\r\n",
              const std::string &version = "1.1") -> std::string
{
    return "POST /v1/chat/completions HTTP/" + version + "\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto makeLargeHeaders(int count) -> std::string
{
    std::string headers;
    for (int i = 0; i < count; ++i) {
        headers += "X-Padding-" + std::to_string(i) + ": " + std::string(500, 'x') + "\r\n";
    }
    return headers;
}

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

// The caller's body exceeds the bound. It gets a 413 that names the reason and says that nothing was run, although
// most of the body was thrown away unread.
TEST(CallerTaskTests, anOversizeBodyIsAnsweredAndNotKept)
{
    Fixture fixture({ .bodyBytes = 1000 });
    WireCaller caller(fixture.task.address());
    caller.send(makePost(std::string(200'000, 'x')));
    const auto answer = caller.readToEnd();
    EXPECT_TRUE(contains(answer, "HTTP/1.1 413")) << answer;
    EXPECT_TRUE(contains(answer, "Auburnspread-Outcome: not-run"));
    EXPECT_TRUE(contains(answer, "Auburnspread-Reason: body-too-large"));
}

/// Guards against a refusal for want of memory that nobody counts, or that its caller does not get, as it still sends.
TEST(CallerTaskTests, aRefusalForWantOfMemoryReachesACallerWhoStillSends)
{
    constexpr std::size_t BodyBytes = 900'000;
    Fixture fixture({ .memoryBytes = BodyBytes });
    WireCaller caller(fixture.task.address());
    caller.send(makePost(std::string(BodyBytes, 'x')));
    const auto answer = caller.readToEnd();
    EXPECT_TRUE(contains(answer, "HTTP/1.1 503")) << answer;
    EXPECT_TRUE(contains(answer, "Auburnspread-Reason: memory-full"));
    EXPECT_TRUE(contains(answer, "Retry-After: 1"));
    const std::lock_guard lock(fixture.mutex);
    EXPECT_EQ(fixture.refusals, std::vector{ Reason::MemoryFull });
}

// The caller's headers exceed the bound: a clear answer. Far beyond it the connection is cut: no memory for it.
TEST(CallerTaskTests, oversizeHeadersAreAnsweredAndFarBeyondTheBoundCut)
{
    Fixture fixture({ .headerBytes = 2000 });
    WireCaller over(fixture.task.address());
    over.send(makePost(GoodBody, makeLargeHeaders(6)));
    EXPECT_TRUE(contains(over.readToEnd(), "Auburnspread-Reason: header-too-large"));
    WireCaller farOver(fixture.task.address());
    farOver.send(makePost(GoodBody, makeLargeHeaders(400)));
    EXPECT_EQ(farOver.readToEnd(), "");
}

// Each malformed request gets a clear answer with its reason; none reaches the router.
TEST(CallerTaskTests, malformedRequestsAreRefusedAsNotRun)
{
    Fixture fixture;
    const std::string workspace = "Auburnspread-Workspace: w\r\nAuburnspread-Class: c\r\n";
    const std::vector<std::pair<std::string, std::string>> cases = {
        { makePost("{\"messages"), "400" },
        { makePost(GoodBody, ""), "400" },
        { makePost(GoodBody, "Auburnspread-Workspace: w\r\n"), "400" },
        { makePost(GoodBody, workspace + "Auburnspread-Repeatable: maybe\r\n"), "400" },
        { makePost(GoodBody, workspace + "Auburnspread-Deadline-Ms: soon\r\n"), "400" },
        { makePost(GoodBody, workspace + "Idempotency-Key: " + std::string(300, 'k') + "\r\n"), "400" },
        { "GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n", "400" },
        { "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "400" },
        { "POST /v1/tickets?workspace=w&count=many HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "400" },
    };
    for (const auto &[request, status] : cases) {
        WireCaller caller(fixture.task.address());
        caller.send(request);
        const auto answer = caller.readToEnd();
        EXPECT_TRUE(contains(answer, "HTTP/1.1 " + status)) << request << answer;
        EXPECT_TRUE(contains(answer, "Auburnspread-Outcome: not-run")) << request;
    }
    EXPECT_EQ(fixture.refusals.size(), cases.size());
    EXPECT_TRUE(fixture.mailboxes.router.takeAll().empty());
}

// Something that is not HTTP at all only loses its own connection.
TEST(CallerTaskTests, rubbishEndsItsOwnConnectionOnly)
{
    Fixture fixture;
    WireCaller rubbish(fixture.task.address());
    rubbish.send("\x16\x03\x01\x02 rubbish \r\n\r\n");
    rubbish.readToEnd();
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    EXPECT_EQ(fixture.nextSubmission().arrived.workspace, "w");
}

// A caller sends half of its request and then nothing, to hold the connection. It is cut after the read timeout.
TEST(CallerTaskTests, aRequestThatNeverEndsIsCut)
{
    Fixture fixture({ .readTimeout = std::chrono::milliseconds(50) });
    WireCaller inHeaders(fixture.task.address());
    inHeaders.send("POST /v1/chat/completions HTTP/1.1\r\nHost:");
    WireCaller inBody(fixture.task.address());
    inBody.send(makePost(GoodBody).substr(0, 150));
    EXPECT_EQ(inHeaders.readToEnd(), "");
    EXPECT_EQ(inBody.readToEnd(), "");
    EXPECT_TRUE(fixture.mailboxes.router.takeAll().empty());
}

// The caller goes away in the middle of its answer. The router hears it once and can free the backend server.
TEST(CallerTaskTests, aCallerThatVanishesIsReported)
{
    Fixture fixture;
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto id = fixture.nextSubmission().arrived.request;
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .event = "{}" });
    caller.readUntil("data: {}");
    caller.close();
    const auto event = std::get<routing::Event>(fixture.nextToRouter().value());
    EXPECT_EQ(std::get<routing::CallerGone>(event).request, id);
    fixture.mailboxes.caller.post(AnswerEnded{ .request = id }); // late: must find no one
}

// The same before its answer begins, by a reset: nothing is written that would show it.
TEST(CallerTaskTests, aCallerThatResetsItsConnectionIsReported)
{
    Fixture fixture;
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto id = fixture.nextSubmission().arrived.request;
    caller.reset();
    const auto event = std::get<routing::Event>(fixture.nextToRouter().value());
    EXPECT_EQ(std::get<routing::CallerGone>(event).request, id);
}

/// Guards against a caller that takes the body of a refusal for its next answer: there is none after HEAD.
TEST(CallerTaskTests, aRefusalOfAHeadRequestHasNoBody)
{
    Fixture fixture;
    WireCaller caller(fixture.task.address());
    caller.send("HEAD /nowhere HTTP/1.1\r\nHost: x\r\n\r\nGET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
    auto answers = caller.readUntil("}");
    const auto body = answers.find("\r\n\r\n") + 4;
    EXPECT_TRUE(body == answers.size() || answers.compare(body, 9, "HTTP/1.1 ") == 0) << answers;
}

// A second request sent behind the first gets its answer second, on the same connection.
TEST(CallerTaskTests, pipelinedRequestsAreAnsweredInOrder)
{
    Fixture fixture;
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody) + makePost(GoodBody));
    for (const auto *text : { "first", "second" }) {
        const auto id = fixture.nextSubmission().arrived.request;
        fixture.mailboxes.caller.post(AnswerPart{ .request = id, .event = text });
        fixture.mailboxes.caller.post(AnswerEnded{ .request = id });
        const auto answer = caller.readUntil("0\r\n\r\n");
        EXPECT_TRUE(contains(answer, std::string("data: ") + text)) << answer;
        EXPECT_TRUE(contains(answer, "data: [DONE]")) << answer;
    }
}

// The caller reads nothing while its answer comes fast. Beyond the bound the backend server is held back instead of
// memory filling; once the caller reads, the answer goes on.
TEST(CallerTaskTests, aCallerThatDoesNotReadHoldsItsBackendServerBack)
{
    Fixture fixture({ .streamBufferBytes = 65536, .memoryBytes = LargeVmBytes });
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto id = fixture.nextSubmission().arrived.request;
    constexpr int Parts = 400;
    for (int i = 0; i < Parts; ++i) {
        fixture.mailboxes.caller.post(AnswerPart{ .request = id, .event = std::string(65536, 'x') });
    }
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .event = "last" });
    EXPECT_TRUE(fixture.nextBlocked());
    EXPECT_TRUE(contains(caller.readUntil("data: last"), "data: last"));
    EXPECT_FALSE(fixture.nextBlocked());
    fixture.mailboxes.caller.post(AnswerEnded{ .request = id });
    EXPECT_TRUE(contains(caller.readUntil("[DONE]"), "[DONE]"));
}

// The stream breaks after its first byte and cannot go on: the caller sees an error event and a proper end, never a
// silent one.
TEST(CallerTaskTests, aRefusalAfterTheFirstByteIsAnErrorEvent)
{
    Fixture fixture;
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto id = fixture.nextSubmission().arrived.request;
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .event = "{}" });
    fixture.mailboxes.caller.post(routing::Refuse{ .request = id, .reason = Reason::StreamBroken, .outcome = Outcome::MayHaveRun, .step = "relay" });
    const auto answer = caller.readUntil("\r\n0\r\n\r\n");
    EXPECT_TRUE(contains(answer, "event: error")) << answer;
    EXPECT_TRUE(contains(answer, "stream-broken"));
    EXPECT_TRUE(contains(answer, "may-have-run"));
    EXPECT_FALSE(contains(answer, "[DONE]"));
}

// A plain service's answer breaks after its first bytes. There is no error event in it, so the connection ends
// without the last chunk: the caller's HTTP library reports an incomplete answer.
TEST(CallerTaskTests, aBrokenServiceAnswerEndsWithoutItsLastChunk)
{
    Fixture fixture;
    WireCaller caller(fixture.task.address());
    caller.send("GET /services/portal/x HTTP/1.1\r\nHost: x\r\nAuburnspread-Workspace: w\r\n\r\n");
    const auto id = fixture.nextSubmission().arrived.request;
    fixture.mailboxes.caller.post(ServiceAnswer{ .request = id, .status = 200, .contentType = "text/plain" });
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .content = "half" });
    caller.readUntil("half");
    fixture.mailboxes.caller.post(routing::Refuse{ .request = id, .reason = Reason::StreamBroken, .outcome = Outcome::MayHaveRun });
    EXPECT_FALSE(contains(caller.readToEnd(), "0\r\n\r\n"));
}

/// Guards against answers that are cut off although they are complete: the idle timeout counted from the request's arrival, so that the
/// next sweep closed the connection of a request that had lasted longer, with the end of its answer not yet in the socket.
TEST(CallerTaskTests, theEndOfALongAnswerIsNotCutOffAsIdle)
{
    constexpr auto Idle = std::chrono::seconds(6);
    constexpr auto Read = std::chrono::milliseconds(500);
    constexpr std::size_t Large = std::size_t{ 24 } * 1024 * 1024; // more than the kernel's buffers take
    Fixture fixture({ .memoryBytes = LargeVmBytes, .readTimeout = Read, .idleTimeout = Idle });
    // A connection that sends nothing is closed by the first sweep after the read timeout.
    const auto waitForSweep = [&]() { WireCaller(fixture.task.address()).readToEnd(); };
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto id = fixture.nextSubmission().arrived.request;
    const auto begun = task::monotonicNow();
    while (task::monotonicNow() - begun <= Idle) {
        waitForSweep();
    }
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .event = std::string(Large, 'x') });
    fixture.mailboxes.caller.post(AnswerEnded{ .request = id });
    waitForSweep();
    EXPECT_TRUE(contains(caller.readUntil("data: [DONE]"), "data: [DONE]"));
}

/// Guards against an entry that ends while the end of an answer still waits for its caller to read.
TEST(CallerTaskTests, anEntryThatIsToEndWritesItsAnswersFirst)
{
    constexpr std::size_t Large = std::size_t{ 24 } * 1024 * 1024; // more than the kernel's buffers take
    Fixture fixture({ .memoryBytes = LargeVmBytes });
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto id = fixture.nextSubmission().arrived.request;
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .event = std::string(Large, 'x') });
    fixture.mailboxes.caller.post(AnswerEnded{ .request = id });
    fixture.task.stopWhenIdle();
    EXPECT_TRUE(contains(caller.readUntil("data: [DONE]"), "data: [DONE]"));
}

// A caller with an old address comes to an entry that leaves. It is sent to a peer and told that nothing was run.
TEST(CallerTaskTests, aLeavingEntryRedirectsNewRequests)
{
    Fixture fixture;
    auto view = std::make_shared<EntriesView>();
    view->addresses = { "127.0.1.2:8080" };
    fixture.mailboxes.caller.post(EntriesPublished{ .view = view });
    fixture.mailboxes.caller.post(routing::DrainStarted{});
    // The question comes back only after the messages before it were taken.
    WireCaller first(fixture.task.address());
    first.send("GET /v1/entries?workspace=w HTTP/1.1\r\nHost: x\r\n\r\n");
    pollfd watched{ .fd = fixture.mailboxes.control.descriptor(), .events = POLLIN, .revents = 0 };
    ::poll(&watched, 1, WaitMilliseconds);
    const auto asked = std::get<EntriesAsked>(fixture.mailboxes.control.takeAll().front());
    fixture.mailboxes.caller.post(EntriesAnswered{ .request = asked.request, .view = *view });
    EXPECT_TRUE(contains(first.readUntil("}"), "127.0.1.2:8080"));
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto answer = caller.readToEnd();
    EXPECT_TRUE(contains(answer, "HTTP/1.1 307")) << answer;
    EXPECT_TRUE(contains(answer, "Location: http://127.0.1.2:8080/v1/chat/completions"));
    EXPECT_TRUE(contains(answer, "Auburnspread-Outcome: not-run"));
    EXPECT_TRUE(contains(answer, "Connection: close"));
}

// The request came just before the entry began to leave, and the router refuses it before this task knows of the
// drain. The caller is sent to a peer all the same.
TEST(CallerTaskTests, aRequestThatMeetsTheBeginOfADrainIsRedirected)
{
    Fixture fixture;
    auto view = std::make_shared<EntriesView>();
    view->addresses = { "127.0.1.2:8080" };
    fixture.mailboxes.caller.post(EntriesPublished{ .view = view });
    WireCaller caller(fixture.task.address());
    caller.send(makePost(GoodBody));
    const auto id = fixture.nextSubmission().arrived.request;
    fixture.mailboxes.caller.post(routing::Refuse{ .request = id, .reason = Reason::Draining, .outcome = Outcome::NotRun });
    const auto answer = caller.readToEnd();
    EXPECT_TRUE(contains(answer, "HTTP/1.1 307")) << answer;
    EXPECT_TRUE(contains(answer, "Auburnspread-Outcome: not-run"));
}

// More connections than allowed: the caller is told to come back, not left hanging.
TEST(CallerTaskTests, aConnectionBeyondTheBoundIsRefused)
{
    Fixture fixture({ .connections = 1 });
    const WireCaller first(fixture.task.address());
    WireCaller second(fixture.task.address());
    second.send(makePost(GoodBody));
    const auto answer = second.readToEnd();
    EXPECT_TRUE(contains(answer, "HTTP/1.1 503")) << answer;
    EXPECT_TRUE(contains(answer, "Auburnspread-Reason: too-many-connections"));
    EXPECT_TRUE(contains(answer, "Retry-After: 1"));
}

TEST(CallerTaskTests, anOldCallerGetsItsAnswerWithoutChunks)
{
    Fixture fixture;
    WireCaller caller(fixture.task.address());
    caller.send(makePost(R"({"messages":[{"role":"user","content":"roof"}]})", "Auburnspread-Workspace: w\r\nAuburnspread-Class: c\r\n", "1.0"));
    const auto id = fixture.nextSubmission().arrived.request;
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .content = "tiles " });
    fixture.mailboxes.caller.post(AnswerPart{ .request = id, .finishReason = "stop" });
    fixture.mailboxes.caller.post(AnswerEnded{ .request = id });
    const auto answer = caller.readToEnd();
    EXPECT_TRUE(contains(answer, "tiles ")) << answer;
    EXPECT_FALSE(contains(answer, "chunked"));
}
