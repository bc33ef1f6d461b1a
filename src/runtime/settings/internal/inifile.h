/// \file
/// Reads INI text through inih, keeping line numbers and every syntax error.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::settings::detail
{

struct Assignment {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

struct IniFile {
    std::vector<Assignment> assignments;
    std::vector<int> badLines; ///< neither comment, section nor assignment
};

auto parseIni(std::string_view text) -> IniFile;

} // namespace auburnspread::settings::detail
