#include "docscheck/tests/page.h"

#include <gtest/gtest.h>

#include <fstream>

namespace auburnspread::docscheck
{

auto readLines(const std::string &path) -> std::vector<std::string>
{
    auto stream = std::ifstream(AUBURNSPREAD_SOURCE_DIR "/" + path);
    EXPECT_TRUE(stream.is_open()) << path;
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

auto readRows(const std::string &page, std::string_view table) -> std::vector<std::string>
{
    const auto begin = "<!-- " + std::string(table) + ":";
    const auto end = "<!-- end of " + std::string(table) + " -->";
    std::vector<std::string> rows;
    auto isInside = false;
    for (const auto &line : readLines(page)) {
        if (line.starts_with(begin)) {
            isInside = true;
        } else if (line == end) {
            isInside = false;
        } else if (isInside && line.starts_with("| `")) {
            rows.push_back(line);
        }
    }
    return rows;
}

auto firstCode(std::string_view row) -> std::string
{
    const auto begin = row.find('`');
    if (begin == std::string_view::npos) {
        return {};
    }
    const auto end = row.find('`', begin + 1);
    return end == std::string_view::npos ? std::string() : std::string(row.substr(begin + 1, end - begin - 1));
}

} // namespace auburnspread::docscheck
