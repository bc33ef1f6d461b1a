#include "core/once/claimtable.h"

#include <gtest/gtest.h>

#include <optional>

using namespace auburnspread;
using namespace auburnspread::once;

namespace
{

constexpr TimePoint Start{};
const ClaimKey deposit = makeClaimKey("karoo-roofing", "deposit-17");

} // namespace

// A caller repeats its deposit notice and gets the first answer once more instead of a refusal.
// The end of the first request is told before its answer: two tasks report, in either order.
// The answer must still be taken in, and the key stays settled.
TEST(ClaimTableTests, anAnswerThatComesAfterTheEndIsKept)
{
    ClaimTable table;
    ASSERT_TRUE(begin(table, deposit, Start));
    settle(table, deposit, std::nullopt, Start);
    EXPECT_EQ(lookup(table, deposit, Start).answer, nullptr);
    settle(table, deposit, StoredAnswer{ .body = "done" }, Start);
    const auto known = lookup(table, deposit, Start);
    EXPECT_EQ(known.known, Known::Settled);
    ASSERT_NE(known.answer, nullptr);
    EXPECT_EQ(known.answer->body, "done");
    EXPECT_FALSE(begin(table, deposit, Start));
}

// The first answer is the one that counts: a later one of the same key would be another request's.
TEST(ClaimTableTests, aKeptAnswerIsNotReplaced)
{
    ClaimTable table;
    ASSERT_TRUE(begin(table, deposit, Start));
    settle(table, deposit, StoredAnswer{ .body = "first" }, Start);
    settle(table, deposit, StoredAnswer{ .body = "second" }, Start);
    EXPECT_EQ(lookup(table, deposit, Start).answer->body, "first");
}
