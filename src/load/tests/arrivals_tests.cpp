#include "load/arrivals.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace auburnspread::load
{

namespace
{

auto makeDocument() -> configuration::Document
{
    configuration::Document document;
    document.classes = { { .name = "quote" }, { .name = "check" } };
    document.workspaces = { { .name = "large", .classes = { "quote", "check" } }, { .name = "small", .classes = { "quote" } } };
    return document;
}

auto makeScenario(std::uint64_t seed) -> Scenario
{
    Scenario scenario{ .name = "test", .seed = seed, .duration = std::chrono::seconds(100), .largeWorkspaces = 1, .largeShare = 0.8 };
    scenario.flows.push_back({ .name = "quote", .requestClass = "quote", .rate = 20 });
    scenario.flows.push_back({ .name = "check", .requestClass = "check", .rate = 10 });
    return scenario;
}

auto sameCall(const PlannedCall &left, const PlannedCall &right) -> bool
{
    return left.at == right.at && left.workspace == right.workspace && left.answerTokens == right.answerTokens && left.stream == right.stream
        && left.flow == right.flow && left.prefix == right.prefix;
}

auto callsOf(const std::vector<PlannedCall> &plan, std::uint32_t flow) -> std::vector<PlannedCall>
{
    std::vector<PlannedCall> calls;
    std::ranges::copy_if(plan, std::back_inserter(calls), [flow](const PlannedCall &call) { return call.flow == flow; });
    return calls;
}

auto countBetween(const std::vector<PlannedCall> &plan, int from, int to) -> std::ptrdiff_t
{
    return std::ranges::count_if(plan, [=](const PlannedCall &call) { return call.at >= std::chrono::seconds(from) && call.at < std::chrono::seconds(to); });
}

} // namespace

TEST(ArrivalsTest, SameSeedGivesTheSameCallsAndAnotherSeedOthers)
{
    const auto first = planCalls(makeScenario(7), makeDocument());
    const auto again = planCalls(makeScenario(7), makeDocument());
    const auto other = planCalls(makeScenario(8), makeDocument());
    EXPECT_TRUE(std::ranges::equal(first, again, sameCall));
    EXPECT_FALSE(std::ranges::equal(first, other, sameCall));
}

// Two policies are compared on the same calls; adding a flow must not change the calls of the others.
TEST(ArrivalsTest, FlowsDoNotDisturbEachOther)
{
    auto scenario = makeScenario(7);
    const auto both = planCalls(scenario, makeDocument());
    scenario.flows.pop_back();
    EXPECT_TRUE(std::ranges::equal(callsOf(both, 0), planCalls(scenario, makeDocument()), sameCall));
}

TEST(ArrivalsTest, RatesBurstAndLargeWorkspacesAreKept)
{
    auto scenario = makeScenario(3);
    scenario.flows.pop_back();
    scenario.flows.front().burstFrom = std::chrono::seconds(40);
    scenario.flows.front().burstTo = std::chrono::seconds(60);
    scenario.flows.front().burstFactor = 3;
    const auto plan = planCalls(scenario, makeDocument());
    EXPECT_NEAR(static_cast<double>(countBetween(plan, 0, 40)), 800, 100);
    EXPECT_NEAR(static_cast<double>(countBetween(plan, 40, 60)), 1200, 120);
    const auto large = std::ranges::count(plan, std::string("large"), &PlannedCall::workspace);
    EXPECT_NEAR(static_cast<double>(large) / static_cast<double>(plan.size()), 0.8, 0.05);
}

TEST(ArrivalsTest, LengthsHaveTheirMedianAndAHeavyTail)
{
    auto scenario = makeScenario(3);
    scenario.flows.pop_back();
    scenario.flows.front().length = { .kind = LengthKind::Pareto, .median = 50, .alpha = 1.5, .maximum = 2000 };
    auto plan = planCalls(scenario, makeDocument());
    std::ranges::sort(plan, {}, &PlannedCall::answerTokens);
    const auto middle = plan.size() / 2;
    EXPECT_NEAR(plan[middle].answerTokens, 50, 5);
    EXPECT_GT(plan[plan.size() * 99 / 100].answerTokens, 400U);
}

TEST(ArrivalsTest, ClassWithoutWorkspaceIsRefused)
{
    auto scenario = makeScenario(3);
    scenario.flows.front().requestClass = "ticket";
    EXPECT_THROW(planCalls(scenario, makeDocument()), ScenarioError);
}

} // namespace auburnspread::load
