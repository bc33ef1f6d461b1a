#include "gateway/tests/site.h"
#include "gateway/tests/standinserver.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

#include <string>

using namespace auburnspread::gateway::tests;
using auburnspread::adapter::standins::ServerStandin;
namespace standins = auburnspread::adapter::standins;

namespace
{

constexpr int Requests = 20;

/// Sends requests one after the other. \return how many of them got a response with status 200
auto countServed(const Site &site, const std::string &path, int requests) -> int
{
    auto served = 0;
    Caller caller(site.callerAddress());
    for (auto i = 0; i < requests; ++i) {
        const auto id = "id-" + std::to_string(i);
        caller.send(makeRequest(path + id, id));
        const auto head = caller.readUntil(EndOfHead);
        served += head.starts_with("HTTP/1.1 200 ") ? 1 : 0;
        caller.readUntil(id + "\n");
    }
    return served;
}

} // namespace

/// Guards against requests that are cut off by the end of their server. It states in its answers that it is leaving, while the store is
/// down or does not list it as leaving yet.
TEST(ServerLeavingTests, aServerWhoseAnswersStateThatItIsLeavingGetsNoNewRequests)
{
    Site site;
    const StandinServer leaving("i-1", [](ServerStandin &standin) { standin.stateLeaving(); });
    const StandinServer staying("i-2", [](ServerStandin & /*standin*/) {});
    site.addServer("i-1", "portal", leaving.address());
    site.addServer("i-2", "portal", staying.address());

    EXPECT_EQ(countServed(site, "/fetch/", Requests), Requests);
    EXPECT_EQ(leaving.executions(), 1);
}

/// Guards against the last server of a service that gets requests although it is leaving, because no other one can take them.
TEST(ServerLeavingTests, requestsAreRefusedWhenTheOnlyServerIsLeaving)
{
    Site site;
    const StandinServer leaving("i-1", [](ServerStandin &standin) { standin.stateLeaving(); });
    site.addServer("i-1", "portal", leaving.address());
    ASSERT_EQ(countServed(site, "/fetch/", 1), 1);

    Caller caller(site.callerAddress());
    caller.send(makeRequest("/fetch/again", "id-again", "", "Connection: close\r\n"));
    const auto answer = caller.readToEnd();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_TRUE(contains(answer, "Retry-After")) << answer;
    EXPECT_EQ(leaving.executions(), 1);
}

/// Guards against a server that is taken out of use for good by the statement of another one, which has its former address.
TEST(ServerLeavingTests, aStatementOfAnotherServerAtTheAddressDoesNotCount)
{
    SiteWithServer served;
    {
        const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
        connection.send(makeAnswerHead("id-1", "421 Misdirected Request") + standins::leavingLine() + "\r\nContent-Length: 0\r\n\r\n");
        served.caller.readUntil(EndOfHead);
    }
    const auto connection = served.sendAndAccept(makeRequest("/notice/2", "id-2", "x"));
    connection.send(makeAnswer("id-2", "done"));
    EXPECT_TRUE(contains(served.caller.readUntil("done"), "200"));
}
