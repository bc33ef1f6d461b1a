#include "soak/plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using namespace auburnspread;
using namespace auburnspread::soak;

namespace
{

auto makeOptions(std::uint64_t seed) -> PlanOptions
{
    return { .seed = seed, .length = std::chrono::seconds(300), .entries = 3, .servers = 4, .faultsPerSecond = 2 };
}

} // namespace

TEST(PlanTests, aSeedGivesTheSamePlanAndAnotherSeedAnotherOne)
{
    const auto isSame = [](const Fault &a, const Fault &b) { return a.at == b.at && a.kind == b.kind && a.target == b.target && a.path == b.path; };
    const auto first = makePlan(makeOptions(7));
    const auto again = makePlan(makeOptions(7));
    const auto other = makePlan(makeOptions(8));
    EXPECT_TRUE(std::equal(first.begin(), first.end(), again.begin(), again.end(), isSame));
    EXPECT_FALSE(std::equal(first.begin(), first.end(), other.begin(), other.end(), isSame));
}

TEST(PlanTests, everyKindComesAndTargetsExist)
{
    std::set<FaultKind> kinds;
    std::set<PathFault> paths;
    auto options = makeOptions(1);
    options.limitsPerSecond = 0.3;
    options.noticesPerSecond = 0.3;
    options.restoresPerSecond = 0.3;
    options.silencesPerSecond = 0.3;
    options.cutsPerSecond = 0.3;
    options.brittlePerSecond = 0.3;
    options.partsPerSecond = 0.3;
    options.slowdownsPerSecond = 0.3;
    std::set<std::size_t> silentServers;
    std::set<std::size_t> slowServers;
    std::set<std::size_t> cutEntries;
    int recurringCuts = 0;
    for (const auto &fault : makePlan(options)) {
        kinds.insert(fault.kind);
        EXPECT_LT(fault.target, 4U);
        if (isServerStatement(fault.kind)) {
            EXPECT_EQ(fault.perSecond > 0, fault.kind == FaultKind::ServerLimit);
            EXPECT_EQ(fault.backoff > Duration::zero(), fault.kind != FaultKind::ServerLimit);
            continue;
        }
        if (fault.kind == FaultKind::ServerSilent) {
            silentServers.insert(fault.servers);
            EXPECT_LE(fault.length, std::chrono::milliseconds(2500));
            continue;
        }
        if (fault.kind == FaultKind::ServersSlow) {
            slowServers.insert(fault.servers);
            EXPECT_GE(fault.slowness, 2);
            EXPECT_LE(fault.slowness, 10);
            EXPECT_GE(fault.length, std::chrono::seconds(3));
            continue;
        }
        if (fault.kind == FaultKind::StoreRestored || fault.kind == FaultKind::ServersBrittle || fault.kind == FaultKind::CrashingPart) {
            EXPECT_TRUE(fault.kind != FaultKind::ServersBrittle || fault.perSecond >= 1);
            continue;
        }
        if (fault.kind == FaultKind::EntryCutOff) {
            cutEntries.insert(fault.target);
            recurringCuts += fault.again > Duration::zero() ? 1 : 0;
            EXPECT_NE(fault.path, PathFault::None);
            continue;
        }
        paths.insert(fault.path);
        EXPECT_NE(fault.path, PathFault::None);
    }
    EXPECT_EQ(kinds.size(), FaultKinds.size());
    EXPECT_EQ(silentServers, (std::set<std::size_t>{ 1, 2, 3, 4 }));
    EXPECT_EQ(slowServers, silentServers);
    EXPECT_EQ(cutEntries, (std::set<std::size_t>{ 0, 1, 2 }));
    EXPECT_GT(recurringCuts, 0);
    EXPECT_EQ(paths.size(), PathFaults.size() - 1);
}

TEST(PlanTests, separatelyDrawnKindsLeaveTheOtherFaultsAsTheyAre)
{
    auto options = makeOptions(7);
    const auto without = makePlan(options);
    options.limitsPerSecond = 0.3;
    options.noticesPerSecond = 0.3;
    options.restoresPerSecond = 0.3;
    options.silencesPerSecond = 0.3;
    options.cutsPerSecond = 0.3;
    options.brittlePerSecond = 0.3;
    options.partsPerSecond = 0.3;
    options.slowdownsPerSecond = 0.3;
    auto with = makePlan(options);
    EXPECT_GT(std::erase_if(with, [](const Fault &fault) { return isDrawnSeparately(fault.kind); }), 0U);
    ASSERT_EQ(with.size(), without.size());
    EXPECT_TRUE(std::equal(with.begin(), with.end(), without.begin(), [](const Fault &a, const Fault &b) { return a.at == b.at && a.kind == b.kind; }));
}

TEST(PlanTests, plannedWorkAloneHoldsNoFailure)
{
    auto options = makeOptions(1);
    options.onlyPlannedWork = true;
    const auto plan = makePlan(options);
    EXPECT_FALSE(plan.empty());
    EXPECT_TRUE(std::all_of(plan.begin(), plan.end(), [](const Fault &fault) { return isPlannedWork(fault.kind); }));
}
