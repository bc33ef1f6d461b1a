#include "platform/standins/serverstandin.h"
#include "platform/standins/wiretext.h"
#include "soak/proxy.h"
#include "wire/http/client.h"

#include <gtest/gtest.h>

#include <optional>
#include <unistd.h>
#include <variant>

using namespace auburnspread;
using namespace auburnspread::soak;

namespace
{

auto attemptIdName() -> std::string
{
    const auto line = adapter::standins::attemptIdLine("");
    return line.substr(0, line.find(':'));
}

/// A caller, a proxy and a backend server on one loop.
class Path
{
public:
    Path()
        : server_(loop_,
                  { .id = "i-1",
                    .streamPrefix = "/stream/",
                    .events = 3,
                    .eventPause = Pause,
                    .workTime = Pause,
                    .onExecuted = [this](const auto &) { runs_ += 1; } })
        , proxy_(loop_, server_.address())
        , client_(loop_)
    {
    }

    /// The answer's body; nothing if the connection broke or \p patience ended.
    auto ask(const std::string &path, Duration patience = std::chrono::seconds(30)) -> std::optional<std::string>
    {
        std::optional<std::string> body;
        const http::Request request{ .address = proxy_.address(), .path = path, .headers = { { attemptIdName(), "a" } }, .timeout = patience };
        client_.fetch(request, [&](const http::Result &result) {
            if (const auto *response = std::get_if<http::Response>(&result)) {
                body = response->body;
            }
            loop_.stop();
        });
        loop_.run();
        return body;
    }
    auto setFault(PathFault fault) -> void
    {
        proxy_.setFault(fault);
    }
    auto setFaultOf(pid_t process, PathFault fault) -> void
    {
        proxy_.setFaultOf(process, fault);
    }
    [[nodiscard]] auto runs() const -> int
    {
        return runs_;
    }

    static constexpr Duration Pause = std::chrono::milliseconds(1);
    static constexpr Duration Short = std::chrono::milliseconds(200);

private:
    task::EventLoop loop_;
    int runs_ = 0;
    adapter::standins::ServerStandin server_;
    Proxy proxy_;
    http::Client client_;
};

} // namespace

TEST(ProxyTests, passesWholeAnswersAndStreams)
{
    Path path;
    EXPECT_EQ(path.ask("/whole"), adapter::standins::wholeAnswerOf("a"));
    EXPECT_EQ(path.ask("/stream/1"), adapter::standins::streamAnswerOf("a", 3));
    path.setFault(PathFault::Delayed);
    EXPECT_EQ(path.ask("/stream/2"), adapter::standins::streamAnswerOf("a", 3)) << "late, in order";
}

TEST(ProxyTests, aResetPathBreaksConnectionsAndHeals)
{
    Path path;
    path.ask("/whole");
    path.setFault(PathFault::Reset);
    EXPECT_FALSE(path.ask("/whole"));
    path.setFault(PathFault::None);
    EXPECT_TRUE(path.ask("/whole"));
}

TEST(ProxyTests, silencedConnectionsStaySilentAndNewOnesWork)
{
    Path path;
    path.ask("/whole");
    path.setFault(PathFault::Silenced);
    EXPECT_FALSE(path.ask("/whole", Path::Short)) << "on the connection that was open";
    EXPECT_TRUE(path.ask("/whole")) << "on a new one";
}

TEST(ProxyTests, aRequestRunsAndItsAnswerIsLostWhereTheWayBackIsCut)
{
    Path path;
    path.ask("/whole");
    path.setFault(PathFault::CutBack);
    EXPECT_FALSE(path.ask("/whole", Path::Short));
    EXPECT_EQ(path.runs(), 2);
    path.setFault(PathFault::CutThere);
    EXPECT_FALSE(path.ask("/whole", Path::Short));
    EXPECT_EQ(path.runs(), 2) << "nothing arrives there";
}

TEST(ProxyTests, aFaultOfOneProcessHarmsItsConnectionsAlone)
{
    Path path;
    path.ask("/whole");
    for (const auto fault : { PathFault::Reset, PathFault::Cut }) {
        path.setFaultOf(::getpid(), fault);
        EXPECT_FALSE(path.ask("/whole", Path::Short)) << "on the connection that was open";
        EXPECT_FALSE(path.ask("/whole", Path::Short)) << "on a new one";
        path.setFaultOf(::getpid(), PathFault::None);
        path.setFaultOf(::getppid(), fault);
        EXPECT_TRUE(path.ask("/whole"));
        path.setFaultOf(::getppid(), PathFault::None);
    }
}
