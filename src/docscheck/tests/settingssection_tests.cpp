#include "docscheck/tests/page.h"
#include "entry/settings/entrysettings.h"
#include "gateway/settings/gatewaysettings.h"

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

namespace
{

auto expectedRows(const settings::Schema &schema) -> std::vector<std::string>
{
    std::vector<std::string> rows;
    for (const auto &key : schema.keys) {
        rows.push_back(expectedRow(key));
    }
    return rows;
}

} // namespace

TEST(SettingsSectionTests, everySettingOfAnEntryHasItsRowAndNoOtherHas)
{
    EXPECT_EQ(readRows(Page, "settings of auburnspread-entry"), expectedRows(entry::entrySchema()));
}

TEST(SettingsSectionTests, everySettingOfAGatewayHasItsRowAndNoOtherHas)
{
    EXPECT_EQ(readRows("docs/OPERATIONS.md", "settings of auburnspread-gateway"), expectedRows(gateway::gatewaySchema()));
}
