#include "core/configuration/fieldtable.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace auburnspread::configuration
{

namespace
{

auto expectedRow(const FieldDescription &field) -> std::string
{
    auto row = std::ostringstream();
    row << "| `" << field.path << "` | " << fieldKindName(field.kind) << " | " << field.unit << " | " << field.defaultValue << " | " << field.range << " | "
        << field.text << " |";
    return row.str();
}

auto documentedRows() -> std::vector<std::string>
{
    auto stream = std::ifstream(AUBURNSPREAD_SOURCE_DIR "/docs/CONFIGURATION.md");
    auto rows = std::vector<std::string>();
    auto inTable = false;
    for (auto line = std::string(); std::getline(stream, line);) {
        if (line.starts_with("<!-- fields")) {
            inTable = true;
        } else if (line.starts_with("<!-- end of fields")) {
            inTable = false;
        } else if (inTable && line.starts_with("| `")) {
            rows.push_back(line);
        }
    }
    return rows;
}

TEST(Documentation, NamesEveryFieldWithUnitDefaultAndRange)
{
    auto expected = std::vector<std::string>();
    for (const auto &field : fieldTable()) {
        expected.push_back(expectedRow(field));
    }
    EXPECT_EQ(documentedRows(), expected);
}

} // namespace

} // namespace auburnspread::configuration
