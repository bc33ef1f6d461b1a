#include "gateway/clock.h"
#include "gateway/tests/site.h"
#include "gateway/upstream.h"

#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <thread>

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
    {
        upstream_.send(
            {
                .attempt = AttemptId{ 1 },
                .server = "i-1",
                .address = server.address(),
                .remaining = SilenceTimeout,
                .isStream = true,
                .startTimeout = SilenceTimeout,
                .silenceTimeout = SilenceTimeout,
            },
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
        upstream_.failOverdueAttempts(now() + 2 * SilenceTimeout);
    }

    std::string body;
    bool isComplete = false;
    std::optional<Failure> failure;

private:
    task::EventLoop loop_;
    Upstream upstream_{ loop_,
                        {
                            .onStarted = [](AttemptId, bool) {},
                            .onRateLimit = [](AttemptId, std::optional<double>) {},
                            .onBrittleness = [](AttemptId, std::optional<double>) {},
                            .onNotice = [](AttemptId, const passthrough::ServerNotice &) {},
                            .onStreamStarted = [](AttemptId, int, const http::Headers &) {},
                            .onEvents = [this](AttemptId, std::string_view events) { body += events; },
                            .onStreamEnded = [this](AttemptId, const BodyEnd &) { isComplete = true; },
                            .onResponse =
                                [this](AttemptId, const BufferedResponse &response, const BodyEnd &) {
                                    body += response.body;
                                    isComplete = true;
                                },
                            .onFailed = [this](AttemptId, const AttemptFailure &report) { failure = report.failure; },
                        } };
};

} // namespace

/// Guards against a response that is given up because its server is silent for longer than a timeout and then goes on.
TEST(SilentServerTests, aStreamThatGoesOnAfterTheTimeoutIsRelayedToItsEnd)
{
    const Server server;
    SilentExchange exchange(server);
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
