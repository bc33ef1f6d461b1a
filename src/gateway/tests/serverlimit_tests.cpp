#include "gateway/tests/site.h"
#include "gateway/tests/standinserver.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace auburnspread;
using namespace auburnspread::gateway::tests;
using auburnspread::adapter::standins::ServerStandin;
namespace standins = auburnspread::adapter::standins;

/// Guards against an overloaded server that receives all requests although its responses state a low rate limit.
TEST(ServerLimitTests, aServerReceivesNoMoreThanItsResponsesAllow)
{
    static constexpr double PerSecond = 0.1;
    constexpr int Requests = 20;
    constexpr int MaxExecutions = 5; // 1.5 times the rate over 4 s, and a burst of 5
    Site site;
    const StandinServer server("i-1", [](ServerStandin &standin) { standin.setLimit(PerSecond); });
    site.addServer("i-1", "portal", server.address());
    Caller first(site.callerAddress());
    first.send(makeRequest("/fetch/first", "id-first"));
    EXPECT_TRUE(first.readUntil(EndOfHead).starts_with("HTTP/1.1 200 "));

    const auto answers = sendConcurrently(site, "/fetch/more", Requests, standins::deadlineLine(400) + "\r\n");
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
