/// \file
/// auburnspread-load: offers a scenario's calls to a running site and reports what came of them.

#include "load/idlecost.h"
#include "load/plot.h"
#include "load/run.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace auburnspread;
using namespace auburnspread::load;

namespace
{

constexpr const char *Help = R"(usage: auburnspread-load --site DIR [options] SCENARIO.ini...
       auburnspread-load --site DIR --first-byte N --class CLASS
       auburnspread-load --site DIR --concurrent N --class CLASS
       auburnspread-load --check SCENARIO.ini...

Several scenario files are taken together: later ones add to earlier ones and override their values.

  --site DIR       folder in which scripts/site.sh started the site
  --seed N         instead of the scenario's
  --duration-ms N  instead of the scenario's
  --rate X         multiplies every flow's rate
  --json FILE      writes the report as JSON
  --calls FILE     writes one JSON line a call with all its attempts
  --plot FILE.svg  writes FILE.dat and FILE.gp; `gnuplot FILE.gp` draws FILE.svg
  --direct         straight to the engines, without the router
  --first-byte N   N calls each way, one at a time: median time to the first token without and with the router
  --concurrent N   opens N streams at once on the first entry and reads its memory
  --class CLASS    request class of --first-byte and --concurrent
  --tokens N       length of their answers
  --check          only checks the scenario
  --help, --version

Exit status: 0; 1 on an error; 2 if an answer was wrong, cut silently or a promise about execution was broken.
)";

enum class Mode {
    Scenario,
    Check,
    FirstByte,
    Concurrent,
};

struct CommandLine {
    Mode mode = Mode::Scenario;
    std::string site;
    std::vector<std::string> scenario;
    std::string jsonFile;
    std::string plotFile;
    std::optional<std::uint64_t> seed;
    std::optional<Duration> duration;
    double rate = 1;
    RunOptions run;
    IdleCostOptions idle;
};

enum Option {
    SiteOption = 1,
    SeedOption,
    DurationOption,
    RateOption,
    JsonOption,
    CallsOption,
    PlotOption,
    DirectOption,
    FirstByteOption,
    ConcurrentOption,
    ClassOption,
    TokensOption,
    CheckOption,
    HelpOption,
    VersionOption,
};

constexpr option Options[] = {
    { "site", required_argument, nullptr, SiteOption },
    { "seed", required_argument, nullptr, SeedOption },
    { "duration-ms", required_argument, nullptr, DurationOption },
    { "rate", required_argument, nullptr, RateOption },
    { "json", required_argument, nullptr, JsonOption },
    { "calls", required_argument, nullptr, CallsOption },
    { "plot", required_argument, nullptr, PlotOption },
    { "direct", no_argument, nullptr, DirectOption },
    { "first-byte", required_argument, nullptr, FirstByteOption },
    { "concurrent", required_argument, nullptr, ConcurrentOption },
    { "class", required_argument, nullptr, ClassOption },
    { "tokens", required_argument, nullptr, TokensOption },
    { "check", no_argument, nullptr, CheckOption },
    { "help", no_argument, nullptr, HelpOption },
    { "version", no_argument, nullptr, VersionOption },
    { nullptr, 0, nullptr, 0 },
};

auto toCount(const char *text) -> std::uint32_t
{
    std::size_t used = 0;
    const std::string number = text;
    const auto value = std::stoul(number, &used);
    if (used != number.size()) {
        throw std::invalid_argument(number + " is not a whole number");
    }
    return static_cast<std::uint32_t>(value);
}

auto applyOption(int found, CommandLine &line) -> void
{
    switch (found) {
    case SiteOption:
        line.site = optarg;
        return;
    case SeedOption:
        line.seed = toCount(optarg);
        return;
    case DurationOption:
        line.duration = std::chrono::milliseconds(toCount(optarg));
        return;
    case RateOption:
        line.rate = std::stod(optarg);
        return;
    case JsonOption:
        line.jsonFile = optarg;
        return;
    case CallsOption:
        line.run.callsFile = optarg;
        return;
    case PlotOption:
        line.plotFile = optarg;
        return;
    case DirectOption:
        line.run.direct = true;
        return;
    case FirstByteOption:
        line.mode = Mode::FirstByte;
        line.idle.calls = toCount(optarg);
        return;
    case ConcurrentOption:
        line.mode = Mode::Concurrent;
        line.idle.calls = toCount(optarg);
        return;
    case ClassOption:
        line.idle.requestClass = optarg;
        return;
    case TokensOption:
        line.idle.tokens = toCount(optarg);
        return;
    case CheckOption:
        line.mode = Mode::Check;
        return;
    case HelpOption:
        std::cout << Help;
        std::exit(0);
    case VersionOption:
        std::cout << "auburnspread-load " AUBURNSPREAD_VERSION "\n";
        std::exit(0);
    default:
        throw std::invalid_argument("see --help");
    }
}

auto readCommandLine(int argc, char **argv) -> CommandLine
{
    CommandLine line;
    for (int found = getopt_long(argc, argv, "", Options, nullptr); found != -1; found = getopt_long(argc, argv, "", Options, nullptr)) {
        applyOption(found, line);
    }
    line.scenario.assign(argv + optind, argv + argc);
    const bool needsScenario = line.mode == Mode::Scenario || line.mode == Mode::Check;
    if (needsScenario && line.scenario.empty()) {
        throw std::invalid_argument("no scenario named; see --help");
    }
    if (line.mode != Mode::Check && line.site.empty()) {
        throw std::invalid_argument("--site DIR is missing; see --help");
    }
    return line;
}

auto runMode(const CommandLine &line) -> int
{
    constexpr int BrokenPromise = 2;
    auto scenario = readScenario(line.scenario);
    scenario.seed = line.seed.value_or(scenario.seed);
    scenario.duration = line.duration.value_or(scenario.duration);
    for (auto &flow : scenario.flows) {
        flow.rate *= line.rate;
    }
    const auto report = runScenario(scenario, readSite(line.site), line.run);
    std::cout << toTable(report);
    if (!line.jsonFile.empty()) {
        std::ofstream(line.jsonFile) << toJson(report).dump(2) << '\n';
    }
    if (!line.plotFile.empty()) {
        writePlot(report, line.plotFile);
    }
    return report.violations.total() == 0 ? 0 : BrokenPromise;
}

auto firstByteMode(const CommandLine &line) -> int
{
    const auto cost = measureFirstByte(readSite(line.site), line.idle);
    const nlohmann::ordered_json json{ { "calls", line.idle.calls },
                                       { "direct_median_us", cost.direct.count() },
                                       { "routed_median_us", cost.routed.count() },
                                       { "added_us", (cost.routed - cost.direct).count() },
                                       { "failed", cost.failed } };
    std::cout << json.dump(2) << '\n';
    return 0;
}

auto concurrentMode(const CommandLine &line) -> int
{
    const auto memory = measureStreamMemory(readSite(line.site), line.idle);
    const auto grown = memory.openKb > memory.beforeKb ? memory.openKb - memory.beforeKb : 0;
    const nlohmann::ordered_json json{
        { "asked", line.idle.calls }, { "open", memory.opened },
        { "begun", memory.begun },    { "before_kb", memory.beforeKb },
        { "open_kb", memory.openKb }, { "kb_per_open_stream", memory.opened == 0 ? 0.0 : static_cast<double>(grown) / memory.opened }
    };
    std::cout << json.dump(2) << '\n';
    return 0;
}

auto runCommand(const CommandLine &line) -> int
{
    switch (line.mode) {
    case Mode::Scenario:
        return runMode(line);
    case Mode::Check:
        readScenario(line.scenario);
        return 0;
    case Mode::FirstByte:
        return firstByteMode(line);
    case Mode::Concurrent:
        return concurrentMode(line);
    }
    return 1;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    try {
        return runCommand(readCommandLine(argc, argv));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "auburnspread-load: %s\n", error.what());
        return 1;
    }
}
