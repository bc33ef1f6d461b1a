/// \file
/// Reads the tables of the documentation's pages.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::docscheck
{

/// Lines of the file at \p path below the source folder; fails the test if it cannot be read.
auto readLines(const std::string &path) -> std::vector<std::string>;

/// Rows between the comments `<!-- NAME...` and `<!-- end of NAME` of a page, without its head.
auto readRows(const std::string &page, std::string_view table) -> std::vector<std::string>;

/// Text between the first pair of backquotes; empty if there is none.
auto firstCode(std::string_view row) -> std::string;

} // namespace auburnspread::docscheck
