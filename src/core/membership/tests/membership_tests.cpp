#include "core/membership/membership.h"

#include <gtest/gtest.h>

using namespace auburnspread;

TEST(MembershipTests, aLoneEntryServesItsOwnCell)
{
    const auto state = membership::makeMembership({ .self = { .name = "entry-1", .callerAddress = "127.0.0.1:1", .incarnation = 1 } });
    membership::step(*state, membership::ReadinessChanged{ true }, TimePoint());
    const auto answer = membership::entriesAnswer(*state, { .workspace = "w", .requestClass = "c" }, TimePoint());
    EXPECT_EQ(answer.addresses, std::vector<std::string>{ "127.0.0.1:1" });
}
