#include "load/scenario.h"

#include <csignal>
#include <filesystem>
#include <gtest/gtest.h>

namespace auburnspread::load
{

namespace
{

auto errorOf(std::string_view text) -> std::string
{
    try {
        parseScenario(text, "storm.ini");
    } catch (const ScenarioError &error) {
        return error.what();
    }
    return "accepted";
}

} // namespace

// An operator misspells a key. Were it ignored, the run would measure a default rate and look fine.
TEST(ScenarioTest, MisspeltKeyIsRefusedWithItsPlace)
{
    const auto error = errorOf("[flow.quote]\nclass = full-quote\nrates = 4\n");
    EXPECT_NE(error.find("storm.ini: [flow.quote] rates = '4': expected one of the keys class rate"), std::string::npos) << error;
    EXPECT_NE(errorOf("[flows.quote]\nrate = 4\n").find("expected a section"), std::string::npos);
}

TEST(ScenarioTest, WrongValuesAreRefused)
{
    EXPECT_NE(errorOf("[flow.quote]\nclass = q\nrate = fast\n").find("expected a number"), std::string::npos);
    EXPECT_NE(errorOf("[flow.quote]\nclass = q\nstream_share = 1.5\n").find("from 0 to 1"), std::string::npos);
    EXPECT_NE(errorOf("[flow.quote]\nclass = q\nburst_from_ms = 9\nburst_to_ms = 5\n").find("after burst_from_ms"), std::string::npos);
    EXPECT_NE(errorOf("[flow.quote]\nrate = 1\n").find("request class"), std::string::npos);
    EXPECT_NE(errorOf("[fault.a]\ntarget = engine-1\npost = {crash}\n").find("JSON"), std::string::npos);
    EXPECT_NE(errorOf("[fault.a]\ntarget = engine-1\nsignal = SIGKILL\nadmin = /v1/drain\n").find("exactly one"), std::string::npos);
}

TEST(ScenarioTest, FaultsComeInTheOrderOfTheirTimes)
{
    const auto scenario = parseScenario("[fault.late]\nat_ms = 900\ntarget = engine-1, engine-2\npost = {\"crash\":true}\n"
                                        "[fault.early]\nat_ms = 100\ntarget = entry-1\nsignal = SIGKILL\n",
                                        "storm.ini");
    ASSERT_EQ(scenario.faults.size(), 2U);
    EXPECT_EQ(scenario.faults.front().signal, SIGKILL);
    EXPECT_EQ(scenario.faults.back().targets, (std::vector<std::string>{ "engine-1", "engine-2" }));
}

TEST(ScenarioTest, EveryScenarioOfTheProjectIsValid)
{
    std::size_t count = 0;
    for (const auto &file : std::filesystem::recursive_directory_iterator(AUBURNSPREAD_SOURCE_DIR "/scenarios")) {
        if (file.path().extension() == ".ini") {
            EXPECT_FALSE(readScenario(file.path().string()).flows.empty()) << file.path();
            ++count;
        }
    }
    EXPECT_GT(count, 0U);
}

} // namespace auburnspread::load
