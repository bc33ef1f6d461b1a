/// \file
/// Responses on connections that are closed after them while bytes of the caller are unread.

#include "entry/caller/tests/wirecaller.h"
#include "gateway/frontend.h"
#include "gateway/tests/site.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;

namespace
{

constexpr std::size_t LargestAccount = std::size_t{ 1024 } * 1024 * 1024; // its limit is not what these tests are about
constexpr std::size_t MaxConnections = 100;

constexpr std::size_t LargeBody = std::size_t{ 24 } * 1024 * 1024; // more than the kernel's buffers take

/// Takes one request, and answers it when it is told to. Its connections are closed after the response.
class ClosingFrontend
{
public:
    ClosingFrontend()
        : frontend_(loop_,
                    account_,
                    MaxConnections,
                    {
                        .onRequest =
                            [this](RequestId id, const BufferedRequestPointer &) {
                                taken_ = id;
                                hasTaken_ = true;
                            },
                        .onCallerGone = [](RequestId) {},
                        .onAbandonedRequest = [](const http::Headers &) {},
                        .onBadRequest = [](std::string_view, std::string_view) {},
                    })
    {
        frontend_.closeAfterResponses();
        frontend_.listen("127.0.0.1:0");
        thread_ = std::thread([this]() { loop_.run(); });
    }
    ~ClosingFrontend()
    {
        loop_.stop();
        thread_.join();
    }
    ClosingFrontend(const ClosingFrontend &) = delete;
    auto operator=(const ClosingFrontend &) -> ClosingFrontend & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return frontend_.address();
    }

    [[nodiscard]] auto hasTaken() const -> bool
    {
        return hasTaken_;
    }

    auto respond(bool isStream) -> void
    {
        answering_ = loop_.after(Duration::zero(), [this, isStream]() {
            const std::string body(LargeBody, 'x');
            if (!isStream) {
                frontend_.respond(taken_, { .status = 200, .headers = {}, .body = body });
                return;
            }
            frontend_.beginStream(taken_, 200, {});
            frontend_.writeStream(taken_, body);
            frontend_.endStream(taken_);
        });
    }

    auto unwrittenResponses() -> std::size_t
    {
        std::promise<std::size_t> count;
        const auto watch = loop_.after(Duration::zero(), [&]() { count.set_value(frontend_.unwrittenResponses()); });
        return count.get_future().get();
    }

private:
    task::EventLoop loop_;
    memory::Account account_{ loop_, { .bytes = LargestAccount } };
    Frontend frontend_;
    RequestId taken_{};
    std::atomic<bool> hasTaken_ = false;
    task::Watch answering_;
    std::thread thread_;
};

} // namespace

/// Guards against a response whose end is lost: the kernel resets a connection on which bytes arrive after its close, here those of the
/// caller's next request, and discards what is not yet delivered.
TEST(UnreadBytesTests, aCallerThatSendsItsNextRequestMeanwhileGetsTheWholeResponse)
{
    for (const auto isStream : { false, true }) {
        ClosingFrontend frontend;
        Caller caller(frontend.address());
        caller.send(makeRequest("/first", "id-1"));
        ASSERT_TRUE(waitUntil([&]() { return frontend.hasTaken(); }));
        std::thread sender([&]() { caller.send(makeRequest("/second", "id-2", std::string(LargeBody, 'y'))); });
        frontend.respond(isStream);
        EXPECT_TRUE(caller.readUntil(EndOfHead).starts_with("HTTP/1.1 200 "));
        EXPECT_GE(caller.readToEnd().size(), LargeBody) << (isStream ? "stream" : "whole response");
        sender.join();
    }
}

/// Guards against an entry that stays for callers that have their response, send on and do not close.
TEST(UnreadBytesTests, aCallerThatDoesNotCloseIsLeftAfterAWhile)
{
    ClosingFrontend frontend;
    Caller caller(frontend.address());
    caller.send(makeRequest("/first", "id-1"));
    ASSERT_TRUE(waitUntil([&]() { return frontend.hasTaken(); }));
    caller.send(makeRequest("/second", "id-2"));
    frontend.respond(false);
    EXPECT_GE(caller.readToEnd().size(), LargeBody);
    EXPECT_TRUE(waitUntil([&]() { return frontend.unwrittenResponses() == 0; }));
}
