#include "core/leadership/tests/dutyworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace auburnspread::leadership::tests;

namespace
{

constexpr std::uint64_t Seeds = 200;

/// \return the number of seeds whose run with \p mistake has \p violation
auto countViolatingRuns(Mistake mistake, const std::string &violation, bool restoresStore = false) -> std::size_t
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        // a platform that refuses outdated tokens would hide some mistakes
        const auto result = run({ .seed = seed, .mistake = mistake, .checksTokens = false, .restoresStore = restoresStore });
        broken += std::count(result.violations.begin(), result.violations.end(), violation) > 0 ? 1 : 0;
    }
    return broken;
}

} // namespace

RC_GTEST_PROP(DutyInterleavingTests, noInterleavingViolatesAnInvariant, (std::uint32_t seed))
{
    const auto result = run({ .seed = seed });
    RC_ASSERT(result.violations == std::vector<std::string>());
}

/// Guards against two leaders, tokens that are used twice or go back, and other counts for a window that was reported, after the store has
/// lost claims, leases and the record of the windows.
RC_GTEST_PROP(DutyInterleavingTests, noRestoreOfTheStoreViolatesAnInvariant, (std::uint32_t seed))
{
    const auto result = run({ .seed = seed, .checksTokens = false, .restoresStore = true });
    RC_ASSERT(result.violations == std::vector<std::string>());
}

TEST(DutyInterleavingTests, fixedSeedsViolateNoInvariant)
{
    std::size_t accepted = 0;
    std::size_t terms = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto result = run({ .seed = seed });
        EXPECT_EQ(result.violations, std::vector<std::string>()) << "seed " << seed;
        accepted += result.accepted;
        terms += result.terms;
    }
    EXPECT_GT(accepted, 4 * Seeds) << "the runs must contain enough accepted reports to be meaningful";
    EXPECT_GT(terms, 3 * Seeds);
}

/// \name Tests that the invariants detect each mistake
/// @{
TEST(DutyInterleavingTests, treatingAClaimOfAnEarlierIncarnationAsOwnIsDetected)
{
    EXPECT_GT(countViolatingRuns(Mistake::SameIncarnation, "holders by turns") + countViolatingRuns(Mistake::SameIncarnation, "one token, two holders")
                  + countViolatingRuns(Mistake::SameIncarnation, "two counts for one window"),
              0U);
}

TEST(DutyInterleavingTests, actingAfterTheLeaseIsDetected)
{
    EXPECT_GT(countViolatingRuns(Mistake::ActsAfterLease, "holders by turns"), 0U);
}

TEST(DutyInterleavingTests, sendingBeforeTheCommitIsDetected)
{
    EXPECT_GT(countViolatingRuns(Mistake::SendsBeforeCommit, "two counts for one window"), 0U);
}

TEST(DutyInterleavingTests, leadingAgainWithoutACooldownIsDetected)
{
    EXPECT_GT(countViolatingRuns(Mistake::NoCooldown, "holders by turns"), 0U);
}

TEST(DutyInterleavingTests, ignoringTheEraOfTheStoreIsDetected)
{
    EXPECT_GT(countViolatingRuns(Mistake::IgnoresEra, "one token, two holders", true), 0U);
    EXPECT_GT(countViolatingRuns(Mistake::IgnoresEra, "two counts for one window", true), 0U);
}
/// @}
