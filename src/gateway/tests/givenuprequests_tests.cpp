/// \file
/// Requests that are given up while the kernel holds a part of them, as their server stands still or the path to it is cut.

#include "entry/backend/tests/stillserver.h"
#include "gateway/tests/site.h"
#include "gateway/tests/upstreamcallbacks.h"
#include "gateway/upstream.h"
#include "wire/http/client.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;

namespace
{

using entry::EndOfRequest;
using entry::makeHeldBody;
using entry::StillServer;

constexpr std::size_t AccountBytes = std::size_t{ 32 } * 1024 * 1024;
constexpr Duration AttemptTimeout = std::chrono::minutes(10);
constexpr auto EndOfTurns = 100; ///< more turns of the loop than it takes to write a request to its socket

/// Runs the loop until \p isTrue, and then for a number of turns.
auto runUntil(task::EventLoop &loop, const std::function<bool()> &isTrue) -> void
{
    int turns = 0;
    const auto timer = loop.every(std::chrono::milliseconds(1), [&]() {
        turns = isTrue() ? turns + 1 : 0;
        if (turns == EndOfTurns) {
            loop.stop();
        }
    });
    loop.run();
}

auto runTurns(task::EventLoop &loop) -> void
{
    runUntil(loop, []() { return true; });
}

/// A client for backend servers with one attempt on a server that stands still.
class HeldExchange
{
public:
    explicit HeldExchange(StillServer &server)
        : server_(server)
    {
    }

    auto send(const std::string &body = makeHeldBody(), bool isAtMostOnce = false) -> void
    {
        upstream_->send({ .attempt = Id, .server = "i-1", .address = server_.address(), .remaining = AttemptTimeout, .isAtMostOnce = isAtMostOnce },
                        makeMessage(body),
                        "id-1");
        runUntil(loop_, [this]() { return server_.hasReceived(); });
    }
    /// Sends the request to the server as if it were another entry.
    auto forward() -> void
    {
        upstream_->forward({ .attempt = Id, .peer = server_.address(), .remaining = AttemptTimeout }, makeMessage(makeHeldBody()), "id-1");
        runUntil(loop_, [this]() { return server_.hasReceived(); });
    }
    auto cancel() -> std::optional<CancelledAttempt>
    {
        auto cancelled = upstream_->cancel(Id);
        runTurns(loop_);
        return cancelled;
    }
    auto cancelIncomplete() -> std::optional<CancelledAttempt>
    {
        auto cancelled = upstream_->cancelIncomplete(Id);
        runTurns(loop_);
        return cancelled;
    }
    /// As when the process exits.
    auto exit() -> void
    {
        upstream_.reset();
    }

private:
    static constexpr AttemptId Id{ 1 };

    static auto makeMessage(const std::string &body) -> BufferedRequestPointer
    {
        return std::make_shared<const BufferedRequest>(BufferedRequest{ .method = EVHTTP_REQ_POST, .target = "/fetch/1", .body = body });
    }

    StillServer &server_;
    task::EventLoop loop_;
    memory::Account account_{ loop_, { .bytes = AccountBytes } };
    std::unique_ptr<Upstream> upstream_ = std::make_unique<Upstream>(loop_, account_, ignoringCallbacks());
};

auto isWhole(const std::string &received) -> bool
{
    return received.ends_with(EndOfRequest);
}

auto countCallersGone(const Site &site) -> int
{
    const auto metrics = site.metrics();
    constexpr std::string_view Name = "\nauburnspread_callers_gone_total ";
    const auto at = metrics.find(Name);
    return at == std::string::npos ? 0 : std::stoi(metrics.substr(at + Name.size()));
}

} // namespace

/// Guards against a server that runs a request after it was given up: closing a connection leaves what was written to the kernel, which
/// delivers it once the server reads on.
TEST(GivenUpRequestsTests, aCancelledRequestThatTheKernelHoldsIsTakenBack)
{
    StillServer server;
    HeldExchange exchange(server);
    exchange.send();
    const auto cancelled = exchange.cancel();
    ASSERT_TRUE(cancelled && cancelled->sendQueue);
    EXPECT_EQ(cancelled->unwrittenBytes, 0U);
    EXPECT_GT(cancelled->sendQueue->unsent, 0U);
    EXPECT_FALSE(isWhole(server.readToEnd()));
}

/// Guards against a request that may run once and is interrupted at work: its server has all of it.
TEST(GivenUpRequestsTests, aRequestThatMayRunOnceIsNotInterruptedOnceItsServerHasIt)
{
    StillServer server;
    HeldExchange exchange(server);
    exchange.send(EndOfRequest, true);
    EXPECT_FALSE(exchange.cancelIncomplete());
    EXPECT_TRUE(exchange.cancel());
    EXPECT_TRUE(isWhole(server.readToEnd()));
    EXPECT_FALSE(server.wasReset());
}

/// Guards against a request that runs once long after it was given up.
TEST(GivenUpRequestsTests, aRequestThatMayRunOnceIsTakenBackWhileItsServerHasAPartOfIt)
{
    StillServer server;
    HeldExchange exchange(server);
    exchange.send(makeHeldBody(), true);
    EXPECT_TRUE(exchange.cancelIncomplete());
    EXPECT_FALSE(isWhole(server.readToEnd()));
}

/// Guards against a reset that is lost on the way, so that a server works on: nothing is left to take back, and an ordinary close is repeated
/// until it arrives.
TEST(GivenUpRequestsTests, theConnectionOfARequestThatItsServerHasIsClosedInOrder)
{
    StillServer server;
    HeldExchange exchange(server);
    exchange.send(EndOfRequest);
    exchange.cancel();
    EXPECT_TRUE(isWhole(server.readToEnd()));
    EXPECT_FALSE(server.wasReset());
}

/// Guards against the same at another entry, to which the request was forwarded.
TEST(GivenUpRequestsTests, aForwardedRequestThatTheKernelHoldsIsTakenBack)
{
    StillServer server;
    HeldExchange exchange(server);
    exchange.forward();
    exchange.cancel();
    EXPECT_FALSE(isWhole(server.readToEnd()));
}

/// Guards against the same after the exit of the entry, whose callers have lost their connections by then.
TEST(GivenUpRequestsTests, aRequestThatTheKernelHoldsAtTheExitIsTakenBack)
{
    StillServer server;
    HeldExchange exchange(server);
    exchange.send();
    exchange.exit();
    EXPECT_FALSE(isWhole(server.readToEnd()));
}

/// Guards against work for callers who have left, through a whole entry and for each kind of route.
TEST(GivenUpRequestsTests, aRequestWhoseCallerHasLeftIsTakenBack)
{
    for (const auto *path : { "/fetch/1", "/check/1", "/quote/1", "/notice/1" }) {
        Site site;
        StillServer server;
        site.addServer("i-1", "portal", server.address());
        Caller caller(site.callerAddress());
        caller.send(makeRequest(path, "id-1", makeHeldBody()));
        ASSERT_TRUE(waitUntil([&]() { return server.hasReceived(); })) << path;
        caller.close();
        ASSERT_TRUE(waitUntil([&]() { return countCallersGone(site) == 1; })) << path;
        EXPECT_FALSE(isWhole(server.readToEnd())) << path;
    }
}

/// Guards against a request that is sent anew for a caller who has left: its server breaks off, and the close of the caller lies in the kernel
/// when the entry decides on a retry.
TEST(GivenUpRequestsTests, aRequestIsNotSentAnewForACallerWhoHasLeft)
{
    Site site;
    const Server first;
    site.addServer("i-1", "portal", first.address());
    Caller caller(site.callerAddress());
    caller.send(makeRequest("/fetch/1", "id-1"));
    auto connection = first.accept();
    connection.readUntil(EndOfHead);
    const Server second;
    site.addServer("i-2", "portal", second.address());
    site.runOnLoop([&](adapter::standins::StoreStandin &) {
        connection.close();
        caller.close();
    });
    ASSERT_TRUE(waitUntil([&]() { return countCallersGone(site) == 1; }));
    if (second.hasConnection()) {
        EXPECT_TRUE(second.accept().seesEndOrReset());
    }
}

/// Guards against a write to the store, or an order, that takes effect long after it was given up.
TEST(GivenUpRequestsTests, aCancelledCallThatTheKernelHoldsIsTakenBack)
{
    StillServer server;
    task::EventLoop loop;
    http::Client client(loop);
    const auto call
        = client.fetch({ .method = http::Method::Put, .address = server.address(), .path = "/key", .body = makeHeldBody() }, [](const http::Result &) {});
    runUntil(loop, [&]() { return server.hasReceived(); });
    client.cancel(call);
    runTurns(loop);
    EXPECT_FALSE(isWhole(server.readToEnd()));
}

/// Guards against the same after the call's timeout.
TEST(GivenUpRequestsTests, aCallThatTheKernelHoldsAtItsTimeoutIsTakenBack)
{
    StillServer server;
    task::EventLoop loop;
    http::Client client(loop);
    bool hasEnded = false;
    client.fetch(
        { .method = http::Method::Put, .address = server.address(), .path = "/key", .body = makeHeldBody(), .timeout = std::chrono::milliseconds(300) },
        [&](const http::Result &) { hasEnded = true; });
    runUntil(loop, [&]() { return hasEnded; });
    ASSERT_TRUE(server.hasReceived());
    EXPECT_FALSE(isWhole(server.readToEnd()));
}
