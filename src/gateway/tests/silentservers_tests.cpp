#include "gateway/clock.h"
#include "gateway/tests/site.h"
#include "gateway/tests/standinserver.h"
#include "gateway/tests/upstreamcallbacks.h"
#include "gateway/upstream.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;

namespace
{

constexpr auto LastChunk = "0\r\n\r\n";
constexpr Duration SilenceTimeout = std::chrono::minutes(10);
constexpr Duration PollInterval = std::chrono::milliseconds(1);

/// A client for backend servers on its own event loop, with one attempt on a server that the test plays.
class SilentExchange
{
public:
    explicit SilentExchange(const Server &server)
        : address_(server.address())
    {
    }

    auto send(AttemptId attempt = AttemptId{ 1 }) -> void
    {
        upstream_.send(
            {
                .attempt = attempt,
                .server = "i-1",
                .address = address_,
                .remaining = SilenceTimeout,
                .isStream = true,
                .startTimeout = SilenceTimeout,
                .silenceTimeout = SilenceTimeout,
            },
            std::make_shared<const BufferedRequest>(BufferedRequest{ .target = "/check/1" }),
            "id-1");
    }
    /// Sends the request to the server as if it were another entry.
    auto forward() -> void
    {
        upstream_.forward({ .attempt = AttemptId{ 1 }, .peer = address_, .remaining = SilenceTimeout, .isStream = true },
                          std::make_shared<const BufferedRequest>(BufferedRequest{ .target = "/check/1" }),
                          "id-1");
    }

    /// Runs the loop until \p isTrue.
    auto runUntil(const std::function<bool()> &isTrue) -> void
    {
        const auto timer = loop_.every(PollInterval, [&]() {
            if (isTrue()) {
                loop_.stop();
            }
        });
        loop_.run();
    }
    auto passTimeout() -> void
    {
        upstream_.reviewAttempts(now() + 2 * SilenceTimeout);
    }
    auto review(TimePoint at) -> void
    {
        upstream_.reviewAttempts(at);
    }

    std::string body;
    bool isComplete = false;
    std::optional<Failure> failure;
    std::vector<AttemptSilence> silences;

private:
    auto callbacks() -> UpstreamCallbacks
    {
        auto callbacks = ignoringCallbacks();
        callbacks.onEvents = [this](AttemptId, std::string_view events) { body += events; };
        callbacks.onStreamEnded = [this](AttemptId, const BodyEnd &) { isComplete = true; };
        callbacks.onResponse = [this](AttemptId, const BufferedResponse &response, const BodyEnd &) {
            body += response.body;
            isComplete = true;
        };
        callbacks.onFailed = [this](AttemptId, const AttemptFailure &report) { failure = report.failure; };
        callbacks.onSilent = [this](AttemptId, const AttemptSilence &silence) { silences.push_back(silence); };
        return callbacks;
    }

    std::string address_;
    task::EventLoop loop_;
    memory::Account account_{ loop_, { .bytes = std::size_t{ 32 } * 1024 * 1024 } };
    Upstream upstream_{ loop_, account_, callbacks() };
};

auto isAttemptKept(const Site &site) -> bool
{
    std::istringstream lines(site.metrics());
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("auburnspread_silent_attempts_kept_total{") && !line.ends_with(" 0")) {
            return true;
        }
    }
    return false;
}

/// Sends a stream's request to the only server, which falls silent, and lets the server go on once the gateway has judged its silence.
auto expectWholeStream(const std::function<void(adapter::standins::ServerStandin &standin)> &configure) -> void
{
    constexpr int Events = 10;
    Site site;
    StandinServer server("i-1", configure, "/check/");
    site.addServer("i-1", "portal", server.address());
    Caller caller(site.callerAddress());
    caller.send(makeRequest("/check/1", "id-1", "x"));
    EXPECT_TRUE(waitUntil([&site]() { return isAttemptKept(site); }));
    server.goOn();
    const auto answer = caller.readUntil(LastChunk);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    for (int number = 1; number <= Events; ++number) {
        EXPECT_TRUE(contains(answer, "data: id-1/" + std::to_string(number) + "\n")) << answer;
    }
    EXPECT_TRUE(answer.ends_with(LastChunk)) << answer;
    EXPECT_EQ(server.executions(), 1);
}

} // namespace

/// Guards against a stream that the whole gateway breaks off because the process of its server pauses and then goes on.
TEST(SilentServerTests, aStreamWhoseServerPausesIsRelayedToItsEnd)
{
    expectWholeStream([](adapter::standins::ServerStandin &standin) { standin.fallSilentBeforeEvent(3); });
}

/// The same where the server is silent before it has read the request, on a connection that only the kernel has accepted.
TEST(SilentServerTests, aRequestToAPausedServerIsServedWhenItGoesOn)
{
    expectWholeStream([](adapter::standins::ServerStandin &standin) { standin.setSilent(true); });
}

/// Guards against a response that is given up because its server is silent for longer than a timeout and then goes on.
TEST(SilentServerTests, aStreamThatGoesOnAfterTheTimeoutIsRelayedToItsEnd)
{
    const Server server;
    SilentExchange exchange(server);
    exchange.send();
    std::atomic<bool> goesOn = false;
    std::thread thread([&]() {
        auto connection = server.accept();
        connection.readUntil(EndOfHead);
        connection.send(makeStreamHead("id-1") + makeChunk("id: 1\ndata: a\n\n"));
        goesOn.wait(false);
        connection.send(makeChunk("id: 2\ndata: b\n\n") + LastChunk);
    });
    exchange.runUntil([&]() { return !exchange.body.empty(); });
    exchange.passTimeout();
    ASSERT_EQ(exchange.silences.size(), 1U);
    EXPECT_EQ(exchange.silences.front().timeout, Failure::ProgressTimeout);
    EXPECT_EQ(exchange.silences.front().lastEventId, "1");
    goesOn = true;
    goesOn.notify_one();
    exchange.runUntil([&]() { return exchange.isComplete || exchange.failure; });
    thread.join();
    EXPECT_FALSE(exchange.failure);
    EXPECT_EQ(exchange.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

/// The same before the first byte of the response.
TEST(SilentServerTests, aResponseThatBeginsAfterTheTimeoutIsRelayed)
{
    const Server server;
    SilentExchange exchange(server);
    exchange.send();
    std::atomic<bool> isRead = false;
    std::atomic<bool> goesOn = false;
    std::thread thread([&]() {
        auto connection = server.accept();
        connection.readUntil(EndOfHead);
        isRead = true;
        goesOn.wait(false);
        connection.send(makeStreamHead("id-1") + makeChunk("id: 1\ndata: a\n\n") + LastChunk);
    });
    exchange.runUntil([&]() { return isRead.load(); });
    exchange.passTimeout();
    goesOn = true;
    goesOn.notify_one();
    exchange.runUntil([&]() { return exchange.isComplete || exchange.failure; });
    thread.join();
    EXPECT_FALSE(exchange.failure);
    EXPECT_EQ(exchange.body, "id: 1\ndata: a\n\n");
}

/// Guards against servers that count as silent because this process did not run: what they have sent is still to be read.
TEST(SilentServerTests, aPauseOfTheEntryIsNoSilenceOfItsServers)
{
    const Server server;
    SilentExchange exchange(server);
    exchange.send();
    const auto start = now();
    exchange.review(start);
    exchange.review(start + 2 * SilenceTimeout);
    exchange.review(start + 2 * SilenceTimeout + ReviewInterval);
    EXPECT_TRUE(exchange.silences.empty());
    EXPECT_FALSE(exchange.failure);
}

/// Guards against two entries that judge the same silence, each by a clock of its own.
TEST(SilentServerTests, theSilenceOfAForwardedRequestIsLeftToTheOtherEntry)
{
    const Server server;
    SilentExchange exchange(server);
    std::atomic<bool> isDone = false;
    std::thread thread([&]() {
        auto connection = server.accept();
        connection.readUntil(EndOfHead);
        connection.send(makeStreamHead("id-1") + makeChunk("id: 1\ndata: a\n\n"));
        isDone.wait(false);
    });
    exchange.forward();
    exchange.runUntil([&]() { return !exchange.body.empty(); });
    exchange.passTimeout();
    EXPECT_TRUE(exchange.silences.empty());
    EXPECT_FALSE(exchange.failure);
    isDone = true;
    isDone.notify_one();
    thread.join();
}

/// Guards against a response that ends because another one of its server was reported as silent, which closes idle connections.
TEST(SilentServerTests, theOtherAttemptsOnASilentServerGoOn)
{
    const Server server;
    SilentExchange exchange(server);
    exchange.send();
    std::atomic<bool> isFirstRead = false;
    std::atomic<bool> isDone = false;
    std::atomic<bool> goesOn = false;
    std::thread thread([&]() {
        const auto first = server.accept();
        first.readUntil(EndOfHead);
        isFirstRead = true;
        const auto second = server.accept();
        second.readUntil(EndOfHead);
        second.send(makeStreamHead("id-1") + makeChunk("id: 1\ndata: a\n\n"));
        goesOn.wait(false);
        second.send(makeChunk("id: 2\ndata: b\n\n") + LastChunk);
        isDone.wait(false); // the first connection stays open
    });
    exchange.runUntil([&]() { return isFirstRead.load(); });
    exchange.passTimeout();
    ASSERT_EQ(exchange.silences.size(), 1U);
    exchange.send(AttemptId{ 2 });
    exchange.runUntil([&]() { return !exchange.body.empty(); });
    exchange.passTimeout();
    goesOn = true;
    goesOn.notify_one();
    exchange.runUntil([&]() { return exchange.isComplete || exchange.failure; });
    isDone = true;
    isDone.notify_one();
    thread.join();
    EXPECT_FALSE(exchange.failure);
    EXPECT_EQ(exchange.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}
