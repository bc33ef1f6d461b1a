#include "docscheck/tests/page.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <regex>
#include <set>

using namespace auburnspread::docscheck;

namespace
{

using Matches = std::sregex_iterator;

auto readText(const std::filesystem::path &path) -> std::string
{
    std::string text;
    for (const auto &line : readLines(path.string())) {
        text += line + '\n';
    }
    return text;
}

/// `program: Suite.name` of every test in the files that \p program is built from.
auto listTestsOf(const std::string &program, const std::string &sources, const std::filesystem::path &folder) -> std::set<std::string>
{
    const std::regex file(R"(\S+_tests\.cpp)");
    const std::regex declaration(R"(\n(?:TEST|TEST_F|TEST_P|RC_GTEST_PROP|RC_GTEST_FIXTURE_PROP)\((\w+),\s*(\w+))");
    std::set<std::string> tests;
    for (auto source = Matches(sources.begin(), sources.end(), file); source != Matches(); ++source) {
        const auto text = readText(folder / source->str());
        for (auto found = Matches(text.begin(), text.end(), declaration); found != Matches(); ++found) {
            tests.insert(program + ": " + found->str(1) + "." + found->str(2));
        }
    }
    return tests;
}

auto listTests() -> std::set<std::string>
{
    const std::regex declaration(R"(auburnspread_(?:tests|program)\((\w+)\s+SOURCES\s([^)]*)\))");
    const auto root = std::filesystem::path(AUBURNSPREAD_SOURCE_DIR);
    std::set<std::string> tests;
    for (const auto &file : std::filesystem::recursive_directory_iterator(root / "src")) {
        if (file.path().filename() != "CMakeLists.txt") {
            continue;
        }
        const auto path = file.path().lexically_relative(root);
        const auto text = readText(path);
        for (auto found = Matches(text.begin(), text.end(), declaration); found != Matches(); ++found) {
            tests.merge(listTestsOf(found->str(1), found->str(2), path.parent_path()));
        }
    }
    return tests;
}

} // namespace

TEST(ProofsPageTests, everyTestThatThePageNamesExists)
{
    const std::regex citation(R"(`(\w+_tests: \w+\.\w+)`)");
    const auto page = readText("docs/PROOFS.md");
    const auto tests = listTests();
    const auto begin = Matches(page.begin(), page.end(), citation);
    EXPECT_NE(begin, Matches());
    for (auto found = begin; found != Matches(); ++found) {
        EXPECT_TRUE(tests.contains(found->str(1))) << found->str(1);
    }
}
