#include "load/scenario.h"

#include <csignal>
#include <filesystem>
#include <gtest/gtest.h>

namespace auburnspread::load
{

namespace
{

auto parseOne(const std::string &text) -> Scenario
{
    return parseScenario({ { .fileName = "storm.ini", .text = text } });
}

auto errorOf(const std::string &text) -> std::string
{
    try {
        parseOne(text);
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
    const auto scenario = parseOne("[fault.late]\nat_ms = 900\ntarget = engine-1, engine-2\npost = {\"crash\":true}\n"
                                   "[fault.early]\nat_ms = 100\ntarget = entry-1\nsignal = SIGKILL\n");
    ASSERT_EQ(scenario.faults.size(), 2U);
    EXPECT_EQ(scenario.faults.front().signal, SIGKILL);
    EXPECT_EQ(scenario.faults.back().targets, (std::vector<std::string>{ "engine-1", "engine-2" }));
}

TEST(ScenarioTest, LaterFilesAddToEarlierOnesAndOverrideThem)
{
    const auto scenario = parseScenario({ { .fileName = "steady.ini", .text = "[scenario]\nname = steady\n[flow.quote]\nclass = full-quote\nrate = 4\n" },
                                          { .fileName = "burst.ini", .text = "[scenario]\nname = burst\n[flow.quote]\nburst_factor = 3\nrate = 5\n" } });
    ASSERT_EQ(scenario.flows.size(), 1U);
    EXPECT_EQ(scenario.name, "steady+burst");
    EXPECT_EQ(scenario.flows.front().requestClass, "full-quote");
    EXPECT_EQ(scenario.flows.front().rate, 5);
    EXPECT_EQ(scenario.flows.front().burstFactor, 3);
}

TEST(ScenarioTest, EveryScenarioOfTheProjectIsValid)
{
    const std::filesystem::path folder = AUBURNSPREAD_SOURCE_DIR "/scenarios";
    std::size_t count = 0;
    for (const auto *deployment : { "highveld", "smetnja" }) {
        const auto steady = (folder / deployment / "steady.ini").string();
        for (const auto *part : { deployment, "faults" }) {
            for (const auto &file : std::filesystem::directory_iterator(folder / part)) {
                EXPECT_FALSE(readScenario({ steady, file.path().string() }).flows.empty()) << file.path();
                ++count;
            }
        }
    }
    EXPECT_GT(count, 10U);
}

} // namespace auburnspread::load
