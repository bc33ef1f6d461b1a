#include "gateway/cachereader.h"
#include "gateway/tests/site.h"
#include "gateway/tests/standinserver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

using namespace auburnspread;
using namespace auburnspread::gateway::tests;
using auburnspread::adapter::standins::ServerStandin;

namespace
{

constexpr int Requests = 20;
/// Longer than any test runs, so that the result does not depend on the test's speed.
constexpr Duration Pause = std::chrono::minutes(10);

auto sendRequest(const Site &site, const std::string &id) -> std::string
{
    Caller caller(site.callerAddress());
    caller.send(makeRequest("/fetch/" + id, id, "", "Connection: close\r\n"));
    return caller.readToEnd();
}

/// Value of the response's Retry-After header in seconds; 0 if there is none.
auto retryAfterSeconds(const std::string &answer) -> double
{
    const std::string name = "Retry-After: ";
    const auto at = answer.find(name);
    return at == std::string::npos ? 0 : std::stod(answer.substr(at + name.size()));
}

} // namespace

/// Guards against requests to a server that has asked for a pause: it rejects all of them, and each one adds to its overload.
TEST(ServerBackoffTests, aServerThatAskedForAPauseGetsNoRequestsWhileItLasts)
{
    Site site;
    const StandinServer paused("i-1", [](ServerStandin &standin) { standin.rejectRequests(Pause); });
    const StandinServer serving("i-2", [](ServerStandin & /*standin*/) {});
    site.addServer("i-1", "portal", paused.address());
    site.addServer("i-2", "portal", serving.address());

    for (auto i = 0; i < Requests && paused.rejections() == 0; ++i) {
        EXPECT_TRUE(sendRequest(site, "id-first-" + std::to_string(i)).starts_with("HTTP/1.1 200 "));
    }
    ASSERT_EQ(paused.rejections(), 1);

    // more than the other server takes at once
    const auto answers = sendConcurrently(site, "/fetch/more", Requests);
    const auto isServed = [](const std::string &answer) { return answer.starts_with("HTTP/1.1 200 "); };
    EXPECT_TRUE(std::all_of(answers.begin(), answers.end(), isServed)) << answers.back();
    EXPECT_EQ(paused.rejections(), 1);
}

/// Guards against callers that return again and again while all servers pause: the refusal has to state when the first pause ends.
TEST(ServerBackoffTests, callersLearnWhenThePauseOfAllServersEnds)
{
    Site site;
    const StandinServer paused("i-1", [](ServerStandin &standin) { standin.rejectRequests(Pause); });
    site.addServer("i-1", "portal", paused.address());

    sendRequest(site, "id-first");
    const auto answer = sendRequest(site, "id-second");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    constexpr double MinSeconds = 500; // the pause, less a generous allowance for a slow test machine
    EXPECT_GE(retryAfterSeconds(answer), MinSeconds) << answer;
    EXPECT_EQ(paused.rejections(), 1);
}

/// Guards against a backoff that is missed because it was requested in the response to a call of the entry itself.
TEST(ServerBackoffTests, aCallThatIsRejectedReportsTheBackoff)
{
    const StandinServer paused("i-1", [](ServerStandin &standin) { standin.rejectRequests(Pause); });
    constexpr std::int64_t StartedAt = 7;
    task::EventLoop loop;
    std::optional<passthrough::CallNoticed> noticed;
    gateway::CacheReader reader(loop,
                                {
                                    .onListed = [](const passthrough::CacheListed & /*listed*/) {},
                                    .onFailed = [&loop](std::string_view /*server*/, const std::string & /*detail*/) { loop.stop(); },
                                    .onNotice = [&noticed](const passthrough::CallNoticed &event) { noticed = event; },
                                });
    reader.readOnce({ { .id = "i-1", .address = paused.address(), .startedAt = StartedAt } }, { "entry-1" }, "entry-1");
    loop.run();
    ASSERT_TRUE(noticed);
    EXPECT_EQ(noticed->server, "i-1");
    EXPECT_EQ(noticed->startedAt, StartedAt);
    EXPECT_EQ(noticed->notice.backoff, Pause);
}
