/// \file
/// What an entry still owes its callers when it exits: responses that are complete, but not written to their sockets.

#include "entry/caller/tests/wirecaller.h"
#include "gateway/frontend.h"
#include "gateway/tests/site.h"

#include <gtest/gtest.h>

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

/// More than the kernel's buffers of a loopback connection take.
constexpr std::size_t LargeBody = std::size_t{ 48 } * 1024 * 1024;

/// Answers each request at once: a path of /stream by a stream, any other by a whole response.
class AnsweringFrontend
{
public:
    AnsweringFrontend()
        : frontend_(loop_,
                    account_,
                    MaxConnections,
                    {
                        .onRequest = [this](RequestId id, const BufferedRequestPointer &message) { answer(id, *message); },
                        .onCallerGone = [](RequestId) {},
                        .onAbandonedRequest = [](const http::Headers &) {},
                        .onBadRequest = [](std::string_view, std::string_view) {},
                    })
    {
        frontend_.listen("127.0.0.1:0");
        thread_ = std::thread([this]() { loop_.run(); });
    }
    ~AnsweringFrontend()
    {
        loop_.stop();
        thread_.join();
    }
    AnsweringFrontend(const AnsweringFrontend &) = delete;
    auto operator=(const AnsweringFrontend &) -> AnsweringFrontend & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return frontend_.address();
    }

    auto unwrittenResponses() -> std::size_t
    {
        std::promise<std::size_t> count;
        const auto watch = loop_.after(Duration::zero(), [&]() { count.set_value(frontend_.unwrittenResponses()); });
        return count.get_future().get();
    }

private:
    auto answer(RequestId id, const BufferedRequest &message) -> void
    {
        const std::string body(LargeBody, 'x');
        if (message.target != "/stream") {
            frontend_.respond(id, { .status = 200, .headers = {}, .body = body });
            return;
        }
        frontend_.beginStream(id, 200, {});
        frontend_.writeStream(id, body);
        frontend_.endStream(id);
    }

    task::EventLoop loop_;
    memory::Account account_{ loop_, { .bytes = LargestAccount } };
    Frontend frontend_;
    std::thread thread_;
};

} // namespace

/// Guards against responses that are cut off because the entry exits once they are handed to the library, before they are in the socket.
TEST(FrontendTests, aResponseCountsUntilItsLastByteIsInTheSocket)
{
    for (const auto *path : { "/whole", "/stream" }) {
        AnsweringFrontend frontend;
        Caller caller(frontend.address());
        caller.send(makeRequest(path, "id-1"));
        ASSERT_TRUE(caller.readUntil(EndOfHead).starts_with("HTTP/1.1 200 "));
        EXPECT_EQ(frontend.unwrittenResponses(), 1U) << path;
        caller.readUntil(std::string(LargeBody, 'x'));
        EXPECT_TRUE(waitUntil([&]() { return frontend.unwrittenResponses() == 0; })) << path;
    }
}

/// Guards against an entry that stays until it is killed, for a caller that has left before it read its response.
TEST(FrontendTests, aResponseWhoseCallerHasLeftDoesNotCount)
{
    AnsweringFrontend frontend;
    {
        Caller caller(frontend.address());
        caller.send(makeRequest("/whole", "id-1"));
        ASSERT_TRUE(caller.readUntil(EndOfHead).starts_with("HTTP/1.1 200 "));
        EXPECT_EQ(frontend.unwrittenResponses(), 1U);
    }
    EXPECT_TRUE(waitUntil([&]() { return frontend.unwrittenResponses() == 0; }));
}

/// Guards against an entry that stays for responses that are written, on connections that are kept.
TEST(FrontendTests, anAnsweredConnectionThatIsKeptDoesNotCount)
{
    AnsweringFrontend frontend;
    Caller caller(frontend.address());
    for (auto i = 0; i < 3; ++i) {
        caller.send(makeRequest("/whole", "id-" + std::to_string(i)));
        caller.readUntil(EndOfHead);
        caller.readUntil(std::string(LargeBody, 'x'));
    }
    EXPECT_TRUE(waitUntil([&]() { return frontend.unwrittenResponses() == 0; }));
}
