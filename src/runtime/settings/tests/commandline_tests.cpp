#include "runtime/settings/commandline.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

using namespace auburnspread;

namespace
{

constexpr auto Keys = std::to_array<settings::Key>({
    { .section = "log", .name = "level", .defaultValue = "info", .explanation = "Least level that is written." },
    { .section = "load", .name = "rate", .kind = settings::Kind::Integer, .unit = "requests a second", .explanation = "Offered rate." },
});
constexpr settings::Schema Schema{ .keys = Keys };

auto start(std::vector<std::string> arguments) -> std::variant<settings::Settings, settings::ExitCode>
{
    arguments.insert(arguments.begin(), "tool");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return settings::readCommandLine(static_cast<int>(arguments.size()), pointers.data(), Schema, "tool", "1.2");
}

auto exitCodeOf(std::vector<std::string> arguments) -> int
{
    return std::get<settings::ExitCode>(start(std::move(arguments))).value;
}

} // namespace

TEST(CommandLineTests, settingsStartAndQuestionsEnd)
{
    EXPECT_EQ(std::get<settings::Settings>(start({ "--set", "load.rate=5" })).integer("load.rate"), 5);
    EXPECT_EQ(exitCodeOf({ "--set", "load.rate=5", "--check" }), 0);
    EXPECT_EQ(exitCodeOf({ "--version" }), 0);
}

TEST(CommandLineTests, mistakesEndWithTheirCode)
{
    EXPECT_EQ(exitCodeOf({}), settings::InvalidSettingsExit);
    EXPECT_EQ(exitCodeOf({ "--config", "/nonexistent/tool.ini" }), settings::InvalidSettingsExit);
    EXPECT_EQ(exitCodeOf({ "--conf"
                           "lict" }),
              settings::UsageExit);
    EXPECT_EQ(exitCodeOf({ "--set" }), settings::UsageExit);
    EXPECT_EQ(exitCodeOf({ "surplus" }), settings::UsageExit);
}

TEST(CommandLineTests, helpListsEveryKey)
{
    testing::internal::CaptureStdout();
    EXPECT_EQ(exitCodeOf({ "--help" }), 0);
    const auto help = testing::internal::GetCapturedStdout();
    EXPECT_NE(help.find("[log]\n  level: a text; default info\n      Least level that is written.\n"), std::string::npos) << help;
    EXPECT_NE(help.find("rate: a whole number of requests a second of at least 0; required"), std::string::npos) << help;
}
