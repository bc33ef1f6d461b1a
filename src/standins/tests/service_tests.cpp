#include "standins/testing/httpclient.h"
#include "standins/testing/program.h"
#include "standins/testing/waiting.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <unistd.h>

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

constexpr auto Binary = AUBURNSPREAD_BINARY_DIR "/fake-service";

/// A file that does not exist yet and is removed at the end.
struct TemporaryFile {
    std::string path = (std::filesystem::temp_directory_path() / ("standins-journal-" + std::to_string(::getpid()))).string();

    ~TemporaryFile()
    {
        std::filesystem::remove(path);
    }
};

auto makeDispatch(const std::string &key) -> TestRequest
{
    return { .method = "POST", .target = "/dispatch/van", .headers = { { "Idempotency-Key", key }, { "X-Request-Id", "7" } }, .body = "street cabinet" };
}

auto executions(task::EventLoop &loop, const Program &service) -> nlohmann::json
{
    return nlohmann::json::parse(callAndWait(loop, service.control(), { .target = "/control/executions" })->body());
}

} // namespace

TEST(ServiceTests, aCallThatRanBeforeTheCrashIsCountedAfterTheRestart)
{
    // One call is lost before it runs, another one after: both callers see the same broken connection. Only the
    // journal, read by the restarted service, tells which of them ran.
    const TemporaryFile journal;
    task::EventLoop loop;
    const auto crash = [&](const char *fault, const char *key) {
        Program service(Binary, { "--journal", journal.path });
        sendControl(loop, service.control(), { { fault, true } });
        EXPECT_TRUE(callAndWait(loop, service.address(), makeDispatch(key))->isBroken());
        EXPECT_TRUE(runUntil(loop, [&]() { return service.exitStatus().has_value(); }));
    };
    crash("crash_before", "not-run");
    crash("crash_after", "ran");
    const Program service(Binary, { "--journal", journal.path });
    EXPECT_EQ(executions(loop, service), (nlohmann::json{ { "ran", 1 } }));
}

TEST(ServiceTests, repeatsAreCountedAndRefusedCallsAreNot)
{
    task::EventLoop loop;
    const Program service(Binary, { "--name", "intake" });
    const auto answer = nlohmann::json::parse(callAndWait(loop, service.address(), makeDispatch("k"))->body());
    EXPECT_EQ(answer.at("service"), "intake");
    EXPECT_EQ(answer.at("path"), "/dispatch/van");
    EXPECT_EQ(answer.at("id"), "7");
    callAndWait(loop, service.address(), makeDispatch("k"));
    sendControl(loop, service.control(), { { "refuse", true } });
    EXPECT_EQ(callAndWait(loop, service.address(), makeDispatch("k"))->header("Request-Not-Started"), "true");
    EXPECT_EQ(executions(loop, service), (nlohmann::json{ { "k", 2 } }));
}
