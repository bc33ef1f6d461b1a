#include "gateway/tests/site.h"
#include "gateway/tests/standinserver.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

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
