#include "gateway/tests/site.h"
#include "platform/standins/serverstandin.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <string>
#include <thread>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

namespace
{

/// A backend server on an event loop in a separate thread. It states its rate limit in every response.
class LimitedServer
{
public:
    explicit LimitedServer(double perSecond)
        : standin_(loop_, { .id = "i-1", .streamPrefix = "/quote/", .onExecuted = [this](const standins::Execution &) { executions_ += 1; } })
    {
        standin_.setLimit(perSecond);
        thread_ = std::thread([this]() { loop_.run(); });
    }
    ~LimitedServer()
    {
        loop_.stop();
        thread_.join();
    }
    LimitedServer(const LimitedServer &) = delete;
    auto operator=(const LimitedServer &) -> LimitedServer & = delete;

    [[nodiscard]] auto address() const -> const std::string &
    {
        return standin_.address();
    }
    [[nodiscard]] auto executions() const -> int
    {
        return executions_;
    }

private:
    task::EventLoop loop_;
    std::atomic<int> executions_ = 0;
    standins::ServerStandin standin_;
    std::thread thread_;
};

/// Sends all requests before it reads the first response. \return the response heads
auto sendConcurrently(const Site &site, const std::string &path, int requests) -> std::vector<std::string>
{
    std::deque<Caller> callers;
    for (auto i = 0; i < requests; ++i) {
        callers.emplace_back(site.callerAddress());
        callers.back().send(makeRequest(path, "id-" + std::to_string(i), "", standins::deadlineLine(400) + "\r\n"));
    }
    std::vector<std::string> answers(callers.size());
    std::transform(callers.begin(), callers.end(), answers.begin(), [](Caller &caller) { return caller.readUntil(EndOfHead); });
    return answers;
}

} // namespace

/// Guards against an overloaded server that receives all requests although its responses state a low rate limit.
TEST(ServerLimitTests, aServerReceivesNoMoreThanItsResponsesAllow)
{
    constexpr double PerSecond = 0.1;
    constexpr int Requests = 20;
    constexpr int MaxExecutions = 5; // 1.5 times the rate over 4 s, and a burst of 5
    Site site;
    const LimitedServer server(PerSecond);
    site.addServer("i-1", "portal", server.address());
    Caller first(site.callerAddress());
    first.send(makeRequest("/fetch/first", "id-first"));
    EXPECT_TRUE(first.readUntil(EndOfHead).starts_with("HTTP/1.1 200 "));

    const auto answers = sendConcurrently(site, "/fetch/more", Requests);
    EXPECT_LE(server.executions(), 1 + MaxExecutions);
    const auto isRefused = [](const std::string &answer) { return answer.starts_with("HTTP/1.1 503 ") && contains(answer, "Retry-After"); };
    EXPECT_GE(std::count_if(answers.begin(), answers.end(), isRefused), Requests - MaxExecutions) << answers.front();
}

/// Guards against an overloaded server that receives all requests again after an error response that does not repeat its limit.
TEST(ServerLimitTests, anErrorWithoutALimitDoesNotClearIt)
{
    SiteWithServer served;
    const auto limited = [&served]() { return contains(served.site.metrics(), "\nauburnspread_limited_servers 1\n"); };
    const std::string limitLine = standins::limitLine("1000") + "\r\n";
    {
        const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
        connection.send(makeAnswerHead("id-1") + limitLine + "Content-Length: 0\r\n\r\n");
        served.caller.readUntil(EndOfHead);
    }
    EXPECT_TRUE(limited());
    {
        const auto connection = served.sendAndAccept(makeRequest("/notice/2", "id-2", "x"));
        connection.send(makeAnswer("id-2", "", "500 Internal Server Error"));
        served.caller.readUntil(EndOfHead);
    }
    EXPECT_TRUE(limited());
    const auto connection = served.sendAndAccept(makeRequest("/notice/3", "id-3", "x"));
    connection.send(makeAnswer("id-3", "done"));
    served.caller.readUntil("done");
    EXPECT_FALSE(limited());
}
