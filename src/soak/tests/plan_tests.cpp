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
    for (const auto &fault : makePlan(makeOptions(1))) {
        kinds.insert(fault.kind);
        paths.insert(fault.path);
        EXPECT_LT(fault.target, 4U);
        EXPECT_NE(fault.path, PathFault::None);
    }
    EXPECT_EQ(kinds.size(), FaultKinds.size());
    EXPECT_EQ(paths.size(), PathFaults.size() - 1);
}

TEST(PlanTests, plannedWorkAloneHoldsNoFailure)
{
    auto options = makeOptions(1);
    options.onlyPlannedWork = true;
    const auto plan = makePlan(options);
    EXPECT_FALSE(plan.empty());
    EXPECT_TRUE(std::all_of(plan.begin(), plan.end(), [](const Fault &fault) { return isPlannedWork(fault.kind); }));
}
