#include "core/base/failure.h"
#include "core/base/reason.h"
#include "docscheck/tests/page.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::docscheck;

namespace
{

constexpr auto Page = "docs/OPERATIONS.md";

auto documentedNames(std::string_view table) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &row : readRows(Page, table)) {
        names.push_back(firstCode(row));
    }
    return names;
}

template <typename Table>
auto namesOf(const Table &table) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &entry : table) {
        names.emplace_back(entry.name);
    }
    return names;
}

} // namespace

TEST(OperationsPageTests, everyRefusalReasonHasItsRowAndNoOtherHas)
{
    EXPECT_EQ(documentedNames("reasons"), namesOf(reasonTable()));
}

TEST(OperationsPageTests, everyFailureHasItsRowAndNoOtherHas)
{
    EXPECT_EQ(documentedNames("failures"), namesOf(failureTable()));
}
