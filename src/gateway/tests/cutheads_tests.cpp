/// \file
/// Heads that are cut off: of responses, at each byte, and of requests.

#include "gateway/clock.h"
#include "gateway/tests/site.h"
#include "gateway/tests/upstreamcallbacks.h"
#include "gateway/upstream.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;

namespace
{

constexpr Duration AttemptTimeout = std::chrono::minutes(10);
constexpr auto Interim = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr auto LastAttempt = AttemptId{ 2 };

enum class End {
    Closed,
    Reset,
};

/// What a server sends before it ends the connection.
struct CutAnswer {
    std::string bytes;
    End end{};
    bool isStream = false;
    bool isLater = false;     ///< the connection has brought a complete response before
    bool isForwarded = false; ///< the server is another entry
};

/// What the entry made of it.
struct Outcome {
    bool hasStarted = false;
    bool isComplete = false;
    std::string body; ///< bytes passed on
    std::optional<Failure> failure;
};

/// A client for backend servers on its own event loop, and a server in a thread.
class Exchange
{
public:
    auto play(const CutAnswer &answer) -> Outcome
    {
        answer_ = answer;
        std::promise<void> isDone;
        std::thread thread([&]() {
            auto connection = server_.accept();
            if (answer.isLater) {
                connection.readUntil(EndOfHead);
                connection.send(makeAnswer("id-1", "whole"));
            }
            connection.readUntil(EndOfHead);
            connection.send(answer.bytes);
            if (answer.end == End::Closed) {
                connection.close();
            } else {
                connection.reset();
            }
            isDone.get_future().wait();
        });
        send(answer.isLater ? AttemptId{ 1 } : LastAttempt);
        loop_.run();
        isDone.set_value();
        thread.join();
        return outcome_;
    }

private:
    auto send(AttemptId attempt) -> void
    {
        const auto message = std::make_shared<const BufferedRequest>(BufferedRequest{ .target = "/notice/1" });
        if (answer_.isForwarded) {
            upstream_.forward({ .attempt = attempt, .peer = server_.address(), .remaining = AttemptTimeout, .isStream = answer_.isStream }, message, "id-1");
            return;
        }
        upstream_.send(
            {
                .attempt = attempt,
                .server = "i-1",
                .address = server_.address(),
                .remaining = AttemptTimeout,
                .isStream = answer_.isStream && attempt == LastAttempt,
                .startTimeout = AttemptTimeout,
                .silenceTimeout = AttemptTimeout,
            },
            message,
            "id-1");
    }

    auto callbacks() -> UpstreamCallbacks
    {
        auto callbacks = ignoringCallbacks();
        callbacks.onStarted = [this](AttemptId attempt, bool) { outcome_.hasStarted |= attempt == LastAttempt; };
        callbacks.onStreamStarted = [this](AttemptId, int, const http::Headers &) { outcome_.hasStarted = true; };
        callbacks.onEvents = [this](AttemptId, std::string_view events) { outcome_.body += events; };
        callbacks.onStreamEnded = [this](AttemptId, const BodyEnd &) { finish(true); };
        callbacks.onResponse = [this](AttemptId attempt, const BufferedResponse &response, const BodyEnd &) {
            if (attempt != LastAttempt) {
                next_ = loop_.after(Duration::zero(), [this]() { send(LastAttempt); });
                return;
            }
            outcome_.body += response.body;
            finish(true);
        };
        callbacks.onFailed = [this](AttemptId attempt, const AttemptFailure &failure) {
            EXPECT_EQ(attempt, LastAttempt);
            outcome_.failure = failure.failure;
            finish(false);
        };
        return callbacks;
    }

    auto finish(bool isComplete) -> void
    {
        outcome_.isComplete = isComplete;
        loop_.stop();
    }

    const Server server_;
    task::EventLoop loop_;
    CutAnswer answer_;
    Outcome outcome_;
    task::Watch next_;
    memory::Account account_{ loop_, { .bytes = std::size_t{ 32 } * 1024 * 1024 } };
    Upstream upstream_{ loop_, account_, callbacks() };
};

auto withBareLineFeeds(const std::string &head) -> std::string
{
    std::string bare;
    std::copy_if(head.begin(), head.end(), std::back_inserter(bare), [](char c) { return c != '\r'; });
    return bare;
}

/// Heads of complete responses in each framing. The last line but one ends with a number of several digits.
auto makeHeads(const std::string &type) -> std::vector<std::string>
{
    const auto start = makeAnswerHead("id-1") + "Content-Type: " + type + "\r\n";
    std::vector<std::string> heads{ start + "Content-Length: 1000\r\n\r\n", start + "Transfer-Encoding: chunked\r\n\r\n", start + "\r\n" };
    heads.push_back(withBareLineFeeds(heads.front()));
    return heads;
}

auto typeOf(bool isStream) -> std::string
{
    return isStream ? "text/event-stream" : "application/json";
}

/// Expects that the answer cut after each of its bytes but the last one is a failure, and nothing of it is passed on.
auto expectFailureAtEachByte(const std::string &before, const std::string &head, CutAnswer answer) -> void
{
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
        answer.bytes = before + head.substr(0, bytes);
        const auto outcome = Exchange().play(answer);
        EXPECT_TRUE(outcome.failure) << answer.bytes;
        EXPECT_FALSE(outcome.isComplete) << answer.bytes;
        EXPECT_FALSE(outcome.hasStarted) << answer.bytes;
        EXPECT_EQ(outcome.body, "") << answer.bytes;
        if (answer.end == End::Closed) {
            EXPECT_EQ(outcome.failure, before.empty() ? Failure::BrokenBeforeFirstByte : Failure::BadResponse) << answer.bytes;
        }
    }
}

auto expectFailureOfEachHead(const CutAnswer &answer, const std::string &before = "") -> void
{
    for (const auto &head : makeHeads(typeOf(answer.isStream))) {
        expectFailureAtEachByte(before, head, answer);
    }
}

/// A gateway with two backend servers, and a caller.
struct CutSite {
    CutSite()
        : caller(site.callerAddress())
    {
        site.addServer("i-1", "portal", first.address());
    }

    /// Sends a request, whose response the first server cuts off after \p bytes of the head. The second one could run it then.
    auto sendAndCut(const std::string &path, const std::string &bytes) -> void
    {
        caller.send(makeRequest(path, "id-1", "x"));
        auto connection = first.accept();
        connection.readUntil(EndOfHead);
        site.addServer("i-2", "portal", second.address());
        connection.send(bytes);
        connection.close();
    }

    Site site;
    const Server first;
    const Server second;
    Caller caller;
};

/// Parts of a head at whose ends a parser could go wrong: nothing, the status line, in a number, in the line end after it, in that of the empty line.
auto makeParts(const std::string &head) -> std::vector<std::string>
{
    const auto inNumber = head.find("1000") + 1;
    const auto line = head.find("\r\n");
    std::vector<std::string> parts;
    for (const auto bytes : { std::size_t{ 0 }, line + 2, inNumber, head.size() - 3, head.size() - 1 }) {
        parts.push_back(head.substr(0, bytes));
    }
    return parts;
}

} // namespace

/// Guards against a success with an empty or short body: the server closes the connection inside the head of its response.
TEST(CutHeadTests, aHeadThatIsClosedAtAnyByteIsAFailure)
{
    for (const auto isStream : { false, true }) {
        expectFailureOfEachHead({ .end = End::Closed, .isStream = isStream });
    }
}

/// Guards against the same when the connection is reset.
TEST(CutHeadTests, aHeadThatIsResetAtAnyByteIsAFailure)
{
    for (const auto isStream : { false, true }) {
        expectFailureOfEachHead({ .end = End::Reset, .isStream = isStream });
    }
}

/// Guards against what is left of an earlier response being taken for the one that is cut: both use one connection.
TEST(CutHeadTests, aLaterHeadOnTheConnectionThatIsCutAtAnyByteIsAFailure)
{
    for (const auto isStream : { false, true }) {
        expectFailureOfEachHead({ .end = End::Closed, .isStream = isStream, .isLater = true });
    }
}

/// Guards against an interim head that stands for the one that is cut.
TEST(CutHeadTests, aHeadThatIsCutAfterAnInterimOneIsAFailure)
{
    for (const auto isStream : { false, true }) {
        expectFailureOfEachHead({ .end = End::Closed, .isStream = isStream }, Interim);
    }
}

/// Guards against a response without body: the interim head itself is cut.
TEST(CutHeadTests, anInterimHeadThatIsCutAtAnyByteIsAFailure)
{
    expectFailureAtEachByte("", Interim, { .end = End::Closed });
    expectFailureAtEachByte("", Interim, { .end = End::Closed, .isStream = true });
}

/// Guards against a success that another entry did not give: the head of the response that it relays is cut.
TEST(CutHeadTests, aHeadOfAnotherEntryThatIsCutAtAnyByteIsAFailure)
{
    for (const auto isStream : { false, true }) {
        expectFailureOfEachHead({ .end = End::Closed, .isStream = isStream, .isForwarded = true });
    }
}

/// Guards against a test above that finds a failure in any response.
TEST(CutHeadTests, aHeadThatIsNotCutIsASuccess)
{
    for (const auto isLater : { false, true }) {
        for (const auto isForwarded : { false, true }) {
            if (isLater && isForwarded) {
                continue;
            }
            const auto head = makeAnswerHead("id-1") + "Content-Length: 4\r\n\r\nbody";
            for (const auto &bytes : { head, withBareLineFeeds(head) }) {
                const auto outcome = Exchange().play({ .bytes = bytes, .end = End::Closed, .isLater = isLater, .isForwarded = isForwarded });
                EXPECT_TRUE(outcome.isComplete);
                EXPECT_EQ(outcome.body, "body");
            }
        }
    }
}

/// Guards against a success, and a second run, of a request that may run only once: the head of its response is cut.
TEST(CutHeadTests, aRequestThatMayRunOnceGetsAnErrorAndRunsOnce)
{
    for (const auto *path : { "/notice/1", "/quote/1" }) {
        const auto isStream = std::string_view(path) == "/quote/1";
        for (const auto &part : makeParts(makeHeads(typeOf(isStream)).front())) {
            CutSite cut;
            cut.sendAndCut(path, part);
            const auto answer = cut.caller.readUntil(EndOfHead);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << part << "\n" << answer;
            EXPECT_FALSE(cut.first.hasConnection()) << part;
            EXPECT_FALSE(cut.second.hasConnection()) << part;
        }
    }
}

/// Guards against a success with an empty body in place of a retry: the head of the first response is cut.
TEST(CutHeadTests, aRequestThatMayRunAgainIsRetriedAndWhole)
{
    for (const auto *path : { "/fetch/1", "/check/1" }) {
        const auto isStream = std::string_view(path) == "/check/1";
        for (const auto &part : makeParts(makeHeads(typeOf(isStream)).front())) {
            CutSite cut;
            cut.sendAndCut(path, part);
            const auto connection = cut.second.accept();
            connection.readUntil(EndOfHead);
            const std::string event = "id: 1\ndata: a\n\n";
            connection.send(isStream ? makeStreamHead("id-1") + makeChunk(event) + "0\r\n\r\n" : makeAnswer("id-1", event));
            const auto answer = cut.caller.readUntil(isStream ? "0\r\n\r\n" : event);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << part << "\n" << answer;
            EXPECT_TRUE(contains(answer, event)) << part << "\n" << answer;
        }
    }
}

/// Guards against a success of a forwarded request whose entry has ended inside the head of its response.
TEST(CutHeadTests, aForwardedRequestWhoseHeadIsCutIsAnError)
{
    for (const auto *path : { "/notice/1", "/quote/1" }) {
        for (const auto &part : makeParts(makeHeads(typeOf(std::string_view(path) == "/quote/1")).front())) {
            Site site;
            const Server other;
            for (const auto *id : { "i-1", "i-2", "i-3" }) {
                site.addServer(id, "portal", makeRefusingAddress());
            }
            site.addEntry("entry-2", other.address());
            Caller caller(site.callerAddress());
            caller.send(makeRequest(path, "id-1", "x"));
            {
                const auto connection = other.accept();
                connection.readUntil(EndOfHead);
                connection.send(part);
            }
            const auto answer = caller.readUntil(EndOfHead);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << part << "\n" << answer;
            EXPECT_FALSE(other.hasConnection()) << part;
        }
    }
}

/// Guards against a request that runs although its caller has not sent it: the caller stops inside the head, or the body, and closes its
/// connection later. A request that is taken up by mistake runs before that, as nothing cancels it.
TEST(CutHeadTests, aRequestThatIsCutAtAnyByteDoesNotRun)
{
    const SiteWithServer served;
    const auto request = makeRequest("/notice/cut", "id-cut", "body");
    for (const auto end : { End::Closed, End::Reset }) {
        std::deque<Caller> cut;
        for (std::size_t bytes = 0; bytes < request.size(); ++bytes) {
            cut.emplace_back(served.site.callerAddress()).send(request.substr(0, bytes));
        }
        // two whole requests after them, so that the entry has read the cut ones, and their ends
        for (const auto isEnded : { false, true }) {
            Caller caller(served.site.callerAddress());
            caller.send(makeRequest("/notice/whole", "id-1", "x", "Connection: close\r\n"));
            const auto connection = served.server.accept();
            const auto head = connection.readUntil(EndOfHead);
            EXPECT_TRUE(contains(head, "/notice/whole")) << head;
            connection.send(makeAnswerHead("id-1") + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole");
            EXPECT_TRUE(contains(caller.readUntil("whole"), "HTTP/1.1 200 "));
            EXPECT_FALSE(served.server.hasConnection());
            if (!isEnded) {
                std::for_each(cut.begin(), cut.end(), [&](Caller &ended) { end == End::Closed ? ended.close() : ended.reset(); });
            }
        }
    }
}
