#include "docscheck/tests/page.h"
#include "entry/settings/entrysettings.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::docscheck;

namespace
{

constexpr auto Page = "docs/CONFIGURATION.md";

auto describeDefault(const settings::Key &key) -> std::string
{
    if (!key.defaultValue) {
        return "required";
    }
    return key.defaultValue->empty() ? "empty" : "`" + std::string(*key.defaultValue) + "`";
}

auto expectedRow(const settings::Key &key) -> std::string
{
    return "| `" + std::string(key.section) + "." + std::string(key.name) + "` | " + std::string(settings::kindName(key.kind)) + " | " + describeDefault(key)
        + " | " + std::string(key.explanation) + " |";
}

} // namespace

TEST(SettingsSectionTests, everySettingOfAnEntryHasItsRowAndNoOtherHas)
{
    std::vector<std::string> expected;
    for (const auto &key : entry::entrySchema().keys) {
        expected.push_back(expectedRow(key));
    }
    EXPECT_EQ(readRows(Page, "settings of auburnspread-entry"), expected);
}
