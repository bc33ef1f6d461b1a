#include "core/routing/tests/session.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace auburnspread::routing;

namespace
{

auto listSessions() -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(AUBURNSPREAD_TEST_DATA)) {
        if (entry.path().extension() == ".session") {
            names.push_back(entry.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

auto readFile(const std::filesystem::path &file) -> std::string
{
    std::ostringstream content;
    content << std::ifstream(file).rdbuf();
    return content.str();
}

class SessionTests : public testing::TestWithParam<std::string>
{
};

} // namespace

TEST_P(SessionTests, runsAsWritten)
{
    const auto file = std::filesystem::path(AUBURNSPREAD_TEST_DATA) / (GetParam() + ".session");
    EXPECT_EQ(replaySession(file), readFile(file));
}

INSTANTIATE_TEST_SUITE_P(Golden, SessionTests, testing::ValuesIn(listSessions()), [](const auto &instance) { return instance.param; });
