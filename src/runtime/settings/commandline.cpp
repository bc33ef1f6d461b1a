#include "runtime/settings/commandline.h"

#include "runtime/settings/internal/value.h"

#include <getopt.h>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace auburnspread::settings
{

namespace
{

constexpr std::string_view CommandLineSource = "command line";

enum class Option : int {
    Config = 256,
    Set,
    Check,
    Help,
    Version,
};

/// What the options ask for.
struct Wanted {
    std::string configFile;
    std::vector<std::string> overrides;
    bool check = false;
    bool help = false;
    bool version = false;
    std::string usageError;
};

constexpr auto Options = std::to_array<option>({
    { "config", required_argument, nullptr, static_cast<int>(Option::Config) },
    { "set", required_argument, nullptr, static_cast<int>(Option::Set) },
    { "check", no_argument, nullptr, static_cast<int>(Option::Check) },
    { "help", no_argument, nullptr, static_cast<int>(Option::Help) },
    { "version", no_argument, nullptr, static_cast<int>(Option::Version) },
    { nullptr, 0, nullptr, 0 },
});

auto takeOption(int code, Wanted &wanted) -> bool
{
    switch (static_cast<Option>(code)) {
    case Option::Config:
        wanted.configFile = optarg;
        return true;
    case Option::Set:
        wanted.overrides.emplace_back(optarg);
        return true;
    case Option::Check:
        wanted.check = true;
        return true;
    case Option::Help:
        wanted.help = true;
        return true;
    case Option::Version:
        wanted.version = true;
        return true;
    }
    return false;
}

auto readOptions(int argc, char *const *argv) -> Wanted
{
    Wanted wanted;
    optind = 0; // glibc: start anew, also if an earlier command line was read
    opterr = 0;
    for (;;) {
        const auto code = getopt_long(argc, argv, "", Options.data(), nullptr);
        if (code == -1) {
            break;
        }
        if (!takeOption(code, wanted)) {
            wanted.usageError = "unknown option or missing argument: " + std::string(argv[optind - 1]);
            return wanted;
        }
    }
    if (optind < argc) {
        wanted.usageError = "unexpected argument: " + std::string(argv[optind]);
    }
    return wanted;
}

auto printHelp(const Schema &schema, std::string_view programName) -> void
{
    std::cout << "Usage: " << programName << " --config FILE [--set section.key=value]... [--check]\n"
              << "       " << programName << " --help | --version\n\n"
              << "  --config FILE            settings, an INI file\n"
              << "  --set section.key=value  overrides one key; other users of the machine can see it, so give no secret this way\n"
              << "  --check                  checks the settings and ends\n\n"
              << "Settings:\n";
    printSchema(schema, std::cout);
}

auto readFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream file(path, std::ios::binary);
    std::string text{ std::istreambuf_iterator<char>(file), {} };
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    return text;
}

auto readSources(const Wanted &wanted) -> Sources
{
    Sources sources{ .file = std::string(CommandLineSource), .overrides = wanted.overrides };
    if (wanted.configFile.empty()) {
        return sources;
    }
    sources.file = wanted.configFile;
    auto text = readFile(wanted.configFile);
    if (!text) {
        throw InvalidSettings({ { .file = wanted.configFile, .expected = "a readable file" } });
    }
    sources.text = std::move(*text);
    return sources;
}

} // namespace

auto readSettingsFile(int argc, char *const *argv) -> std::string
{
    return readFile(readOptions(argc, argv).configFile).value_or("");
}

auto printSchema(const Schema &schema, std::ostream &output) -> void
{
    std::string_view section;
    for (const auto &key : schema.keys) {
        if (key.section != section) {
            section = key.section;
            output << "[" << section << "]\n";
        }
        output << "  " << key.name << ": " << detail::describeExpected(key);
        if (key.defaultValue) {
            output << "; default " << (key.defaultValue->empty() ? "empty" : *key.defaultValue);
        } else {
            output << "; required";
        }
        output << "\n      " << key.explanation << "\n";
    }
}

auto readCommandLine(int argc, char *const *argv, const Schema &schema, std::string_view programName, std::string_view version)
    -> std::variant<Settings, ExitCode>
{
    const auto wanted = readOptions(argc, argv);
    if (!wanted.usageError.empty()) {
        std::cerr << programName << ": " << wanted.usageError << "; see --help\n";
        return ExitCode{ UsageExit };
    }
    if (wanted.help) {
        printHelp(schema, programName);
        return ExitCode{};
    }
    if (wanted.version) {
        std::cout << programName << " " << version << "\n";
        return ExitCode{};
    }
    try {
        auto settings = readSettings(schema, readSources(wanted));
        if (!wanted.check) {
            return settings;
        }
        std::cout << programName << ": settings are valid\n";
        return ExitCode{};
    } catch (const InvalidSettings &invalid) {
        std::cerr << invalid.what() << "\n";
        return ExitCode{ InvalidSettingsExit };
    }
}

} // namespace auburnspread::settings
