#include "core/leadership/tests/dutyworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace auburnspread::leadership::tests;

namespace
{

constexpr std::uint64_t Seeds = 200;

/// Seeds whose run breaks what must hold.
auto countBroken(Mistake mistake, const std::string &violation) -> std::size_t
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        // a platform that refuses small tokens would hide some mistakes
        const auto result = run({ .seed = seed, .mistake = mistake, .checksTokens = false });
        broken += std::count(result.violations.begin(), result.violations.end(), violation) > 0 ? 1 : 0;
    }
    return broken;
}

} // namespace

RC_GTEST_PROP(DutyInterleavingTests, noInterleavingBreaksWhatMustHold, (std::uint32_t seed))
{
    const auto result = run({ .seed = seed });
    RC_ASSERT(result.violations == std::vector<std::string>());
}

TEST(DutyInterleavingTests, theseSeedsBreakNothing)
{
    std::size_t accepted = 0;
    std::size_t terms = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto result = run({ .seed = seed });
        EXPECT_EQ(result.violations, std::vector<std::string>()) << "seed " << seed;
        accepted += result.accepted;
        terms += result.terms;
    }
    EXPECT_GT(accepted, 4 * Seeds) << "the runs must show something";
    EXPECT_GT(terms, 3 * Seeds);
}

/// \name Each of these mistakes is found by the checks above
/// @{
TEST(DutyInterleavingTests, aClaimOfAnEarlierStartThatIsTakenForOnesOwnIsFound)
{
    EXPECT_GT(countBroken(Mistake::SameIncarnation, "holders by turns") + countBroken(Mistake::SameIncarnation, "one token, two holders")
                  + countBroken(Mistake::SameIncarnation, "two counts for one window"),
              0U);
}

TEST(DutyInterleavingTests, actingAfterTheLeaseIsFound)
{
    EXPECT_GT(countBroken(Mistake::ActsAfterLease, "holders by turns"), 0U);
}

TEST(DutyInterleavingTests, sendingBeforeFixingIsFound)
{
    EXPECT_GT(countBroken(Mistake::SendsBeforeFixed, "two counts for one window"), 0U);
}

TEST(DutyInterleavingTests, leadingAgainWithoutRestIsFound)
{
    EXPECT_GT(countBroken(Mistake::NoRest, "holders by turns"), 0U);
}
/// @}
