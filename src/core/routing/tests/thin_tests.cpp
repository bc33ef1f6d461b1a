#include "core/routing/router.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::routing;

namespace
{

auto makeDocument() -> std::shared_ptr<configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = 1;
    adopted->document.models = { { .name = "quote-7b", .versions = { "1" } } };
    adopted->document.classes = { { .name = "quote", .tier = 0, .models = { { .model = "quote-7b" } } } };
    adopted->document.workspaces = { { .name = "karoo", .classes = { "quote" } } };
    adopted->document.backendServers
        = { { .name = "gpu-1", .address = "127.0.0.1:1", .models = { { .model = "quote-7b", .version = "1" } }, .concurrency = 1 },
            { .name = "gpu-2", .address = "127.0.0.1:2", .models = { { .model = "quote-7b", .version = "1" } }, .concurrency = 1 } };
    return adopted;
}

} // namespace

TEST(ThinTests, failedAttemptIsRetriedOnceOnAnotherServer)
{
    const auto state = makeRouter({ .entry = "entry-1" });
    const TimePoint now{};
    step(*state, ConfigurationAdopted{ makeDocument() }, now);
    auto actions = step(*state, RequestArrived{ .request = RequestId{ 1 }, .workspace = "karoo", .requestClass = "quote" }, now);
    ASSERT_EQ(actions.size(), 1U);
    const auto first = std::get<Dispatch>(actions.at(0));
    actions = step(*state, AttemptFailed{ .attempt = first.attempt, .failure = Failure::BrokenBeforeFirstByte }, now);
    ASSERT_EQ(actions.size(), 2U);
    const auto second = std::get<Dispatch>(actions.at(1));
    EXPECT_NE(first.backend, second.backend);
    EXPECT_EQ(step(*state, AttemptStarted{ second.attempt }, now).size(), 1U);
    actions = step(*state, AttemptFinished{ second.attempt, 5 }, now);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::get<Completed>(actions.at(0)).onTime);
    EXPECT_TRUE(std::holds_alternative<Drained>(step(*state, DrainStarted{}, now).at(0)));
}
