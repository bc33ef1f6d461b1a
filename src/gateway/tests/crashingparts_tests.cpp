#include "gateway/tests/site.h"
#include "gateway/tests/standinserver.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway::tests;
using auburnspread::adapter::standins::ServerStandin;

namespace
{

constexpr auto CrashingPart = "91bd3f06";

auto ask(const StandinServer &server, const std::string &parts) -> std::string
{
    namespace standins = auburnspread::adapter::standins;
    Caller caller(server.address());
    caller.send(makeHead("GET /quote/1", "id-1") + standins::promptLines("900,60", parts) + "\r\nConnection: close\r\n\r\n");
    return caller.readToEnd();
}

} // namespace

/// Guards the tests of crashing parts: a stand-in that crashes on other requests, or doesn't come back, shows other faults than theirs.
TEST(CrashingPartTests, aStandinCrashesOnAPartThatIsNotTheLastAndStartsAgain)
{
    StandinServer server("i-1", [](ServerStandin &standin) { standin.crashOnPart(CrashingPart); });
    EXPECT_TRUE(ask(server, "5c1e07a2:800,e4402b7d:250").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(ask(server, "5c1e07a2:800,91bd3f06:410").starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(server.crashes(), 0);

    EXPECT_EQ(ask(server, "5c1e07a2:800, 91BD3F06:410,e4402b7d:250"), "");
    EXPECT_TRUE(waitUntil([&]() { return server.crashes() == 1; }));
    EXPECT_THROW(ask(server, "5c1e07a2:800"), std::runtime_error);

    server.restart();
    const auto isBack = [&]() {
        try {
            return ask(server, "5c1e07a2:800").starts_with("HTTP/1.1 200 ");
        } catch (const std::runtime_error &) {
            return false; // not yet
        }
    };
    EXPECT_TRUE(waitUntil(isBack));
    EXPECT_EQ(server.executions(), 4);
}

/// Guards against requests that are all different, but have one prompt part in common that crashes one server after the other.
TEST(CrashingPartTests, aPartThatCrashesServersIsWithheld)
{
    constexpr int Servers = 6;
    constexpr int MaxCrashes = 3;
    Site site;
    std::vector<std::unique_ptr<StandinServer>> servers;
    for (int i = 0; i < Servers; ++i) {
        const auto id = "i-" + std::to_string(i);
        servers.push_back(std::make_unique<StandinServer>(
            id, [](ServerStandin &standin) { standin.crashOnPart(CrashingPart); }, "/check/"));
        site.addServer(id, "engines", servers.back()->address());
    }
    const auto askSite = [&site](const std::string &id, const std::string &parts) {
        namespace standins = auburnspread::adapter::standins;
        Caller caller(site.callerAddress());
        caller.send(makeHead("GET /check/1", id) + standins::promptLines("900,60", parts) + "\r\nConnection: close\r\n\r\n");
        return caller.readToEnd();
    };
    for (int i = 0; i < 2 * Servers; ++i) {
        const auto own = std::to_string(10'000'000 + i);
        askSite("id-" + own, "5c1e07a2:400,91bd3f06:300," + own + ":200");
    }
    int crashes = 0;
    for (const auto &server : servers) {
        crashes += server->crashes();
    }
    EXPECT_LE(crashes, MaxCrashes);
    EXPECT_TRUE(contains(askSite("id-1", "5c1e07a2:400,e4402b7d:250,10001000:250"), "HTTP/1.1 200 "));
    EXPECT_TRUE(contains(askSite("id-2", "5c1e07a2:400,91bd3f06:300,10002000:200"), "HTTP/1.1 503 "));
}
