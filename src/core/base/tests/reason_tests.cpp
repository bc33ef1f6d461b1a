#include "core/base/failure.h"
#include "core/base/reason.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string_view>

using namespace auburnspread;

TEST(ReasonTests, reasonTableIsOrderedByEnumerator)
{
    std::size_t index = 0;
    for (const auto &entry : reasonTable()) {
        EXPECT_EQ(static_cast<std::size_t>(entry.reason), index);
        ++index;
    }
    EXPECT_EQ(index, static_cast<std::size_t>(Reason::InternalError) + 1);
}

TEST(ReasonTests, namesAreUniqueAndReadBack)
{
    std::set<std::string_view> names;
    for (const auto &entry : reasonTable()) {
        EXPECT_TRUE(names.insert(entry.name).second) << entry.name;
        EXPECT_EQ(reasonFromName(entry.name), entry.reason);
        EXPECT_FALSE(entry.explanation.empty());
    }
}

TEST(FailureTests, everyFailureHasAName)
{
    for (const auto &entry : failureTable()) {
        EXPECT_EQ(failureName(entry.value), entry.name);
    }
    EXPECT_EQ(failureTable().size(), static_cast<std::size_t>(Failure::ServerError) + 1);
}
