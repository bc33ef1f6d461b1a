/// \file
/// The fault soak: real entries as processes, faults from outside them, and the promises checked on what callers and backend
/// servers saw. Exits with 1 if a promise was broken, and keeps the logs then.

#include "runtime/task/eventloop.h"
#include "soak/callers.h"
#include "soak/ledger.h"
#include "soak/plan.h"
#include "soak/site.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <unistd.h>

using namespace auburnspread;
using namespace auburnspread::soak;

namespace
{

constexpr int UsageExit = 2;
constexpr Duration StartTime = std::chrono::seconds(2);     ///< until the entries know each other
constexpr Duration RecoveryTime = std::chrono::seconds(60); ///< from the last fault; some ten times what entries need after a restart
constexpr Duration DrainTime = std::chrono::seconds(8);     ///< the longest that a caller waits for an answer
constexpr Duration RestartInterval = std::chrono::milliseconds(200);
constexpr std::size_t ServedInRow = 100; ///< of requests on all entries: the deployment has recovered
constexpr std::size_t MostPrinted = 20;  ///< violations
constexpr std::uint32_t FewSlots = 4;    ///< of a server that may be brittle: callers at the usual rate fill them

struct Options {
    std::uint64_t seed = 1;
    int seconds = 20;
    std::size_t entries = 3;
    std::size_t servers = 4;
    double rate = 100;
    double faults = 1;
    double limits = 0;
    double notices = 0;
    double silences = 0;
    double restores = 0;
    double cuts = 0;
    double brittle = 0;
    double parts = 0;
    double slowdowns = 0;
    std::string gateway = SiteOptions().gateway;
    bool onlyPlanned = false;
    bool versions = false;
    bool bounds = false;
};

constexpr auto Usage = "auburnspread-soak [--seed N] [--seconds N] [--entries N] [--servers N] [--rate REQUESTS_A_SECOND]\n"
                       "                  [--faults A_SECOND] [--limits A_SECOND] [--notices A_SECOND] [--restores A_SECOND]\n"
                       "                  [--silences A_SECOND] [--cuts A_SECOND] [--brittle A_SECOND] [--parts A_SECOND]\n"
                       "                  [--slowdowns A_SECOND] [--gateway PROGRAM]\n"
                       "                  [--planned] [--bounds] [--versions]\n"
                       "--planned: planned work alone, no failures; --bounds: checks also what must hold within a time\n"
                       "--versions: backend servers of two software versions, and callers that take their streams up at other entries\n";

auto readOptions(int argc, char **argv) -> std::optional<Options>
{
    Options options;
    const std::vector<option> names = {
        { "seed", required_argument, nullptr, 's' },
        { "seconds", required_argument, nullptr, 't' },
        { "entries", required_argument, nullptr, 'e' },
        { "servers", required_argument, nullptr, 'b' },
        { "notices", required_argument, nullptr, 'n' },
        { "rate", required_argument, nullptr, 'r' },
        { "faults", required_argument, nullptr, 'f' },
        { "limits", required_argument, nullptr, 'm' },
        { "restores", required_argument, nullptr, 'o' },
        { "silences", required_argument, nullptr, 'i' },
        { "planned", no_argument, nullptr, 'p' },
        { "bounds", no_argument, nullptr, 'l' },
        { "cuts", required_argument, nullptr, 'c' },
        { "brittle", required_argument, nullptr, 'k' },
        { "parts", required_argument, nullptr, 'a' },
        { "slowdowns", required_argument, nullptr, 'w' },
        { "gateway", required_argument, nullptr, 'g' },
        { "versions", no_argument, nullptr, 'v' },
        { nullptr, 0, nullptr, 0 },
    };
    for (int letter = 0; (letter = ::getopt_long(argc, argv, "", names.data(), nullptr)) != -1;) {
        switch (letter) {
        case 's':
            options.seed = std::stoull(optarg);
            break;
        case 't':
            options.seconds = std::stoi(optarg);
            break;
        case 'e':
            options.entries = std::stoul(optarg);
            break;
        case 'b':
            options.servers = std::stoul(optarg);
            break;
        case 'r':
            options.rate = std::stod(optarg);
            break;
        case 'f':
            options.faults = std::stod(optarg);
            break;
        case 'm':
            options.limits = std::stod(optarg);
            break;
        case 'n':
            options.notices = std::stod(optarg);
            break;
        case 'o':
            options.restores = std::stod(optarg);
            break;
        case 'i':
            options.silences = std::stod(optarg);
            break;
        case 'c':
            options.cuts = std::stod(optarg);
            break;
        case 'k':
            options.brittle = std::stod(optarg);
            break;
        case 'a':
            options.parts = std::stod(optarg);
            break;
        case 'w':
            options.slowdowns = std::stod(optarg);
            break;
        case 'g':
            options.gateway = optarg;
            break;
        case 'p':
            options.onlyPlanned = true;
            break;
        case 'l':
            options.bounds = true;
            break;
        case 'v':
            options.versions = true;
            break;
        default:
            return std::nullopt;
        }
    }
    return optind == argc && options.entries > 0 && options.servers > 0 && options.rate > 0 ? std::optional(options) : std::nullopt;
}

auto milliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// One run from the first process to the last check.
class Soak
{
public:
    Soak(const Options &options, const std::filesystem::path &folder)
        : options_(options)
        , site_(loop_,
                { .entries = options.entries,
                  .servers = options.servers,
                  .hasVersions = options.versions,
                  .serverSlots = options.brittle > 0 ? FewSlots : SiteOptions().serverSlots,
                  .hasDrafts = options.slowdowns > 0,
                  .gateway = options.gateway,
                  .folder = folder },
                ledger_)
        , callers_(loop_, { .seed = options.seed, .requestsPerSecond = options.rate, .takesStreamsUp = options.versions }, site_, ledger_)
        , plan_(makePlan({ .seed = options.seed,
                           .length = std::chrono::seconds(options.seconds),
                           .entries = options.entries,
                           .servers = options.servers,
                           .faultsPerSecond = options.faults,
                           .limitsPerSecond = options.limits,
                           .noticesPerSecond = options.notices,
                           .silencesPerSecond = options.silences,
                           .restoresPerSecond = options.restores,
                           .cutsPerSecond = options.cuts,
                           .brittlePerSecond = options.brittle,
                           .partsPerSecond = options.parts,
                           .slowdownsPerSecond = options.slowdowns,
                           .onlyPlannedWork = options.onlyPlanned }))
    {
    }

    auto run() -> std::vector<Violation>
    {
        restarter_ = loop_.every(RestartInterval, [this]() { restartEnded(); });
        startedAt_ = task::monotonicNow();
        ledger_.disturbed(startedAt_, startedAt_ + StartTime);
        callers_.start();
        for (const auto &fault : plan_) {
            timers_.push_back(loop_.after(StartTime + fault.at, [this, fault]() { begin(fault); }));
            timers_.push_back(loop_.after(StartTime + fault.at + fault.length, [this, fault]() { site_.end(fault); }));
        }
        Duration lastEnd = StartTime;
        for (const auto &fault : plan_) {
            lastEnd = std::max(lastEnd, StartTime + fault.at + fault.length);
        }
        timers_.push_back(loop_.after(lastEnd, [this]() { awaitRecovery(); }));
        loop_.run();
        auto violations = ledger_.check(options_.bounds ? std::optional(TimeBounds{}) : std::nullopt);
        violations.insert(violations.end(), own_.begin(), own_.end());
        return violations;
    }

    [[nodiscard]] auto totals() const -> Ledger::Totals
    {
        return ledger_.totals();
    }

private:
    auto begin(const Fault &fault) -> void
    {
        const auto now = task::monotonicNow();
        std::cout << nlohmann::json{ { "event", "fault" },       { "at_ms", milliseconds(now - startedAt_) },  { "kind", findName(FaultKinds, fault.kind) },
                                     { "target", fault.target }, { "path", findName(PathFaults, fault.path) }, { "length_ms", milliseconds(fault.length) } }
                  << "\n";
        if (mayLoseRequests(fault.kind)) {
            ledger_.disturbed(now, now + fault.length);
        }
        site_.begin(fault);
    }

    auto restartEnded() -> void
    {
        if (const auto unasked = site_.restartEnded(); unasked > 0) {
            own_.push_back({ Promise::Recovers, "", std::to_string(unasked) + " entries ended by themselves" });
        }
    }

    auto awaitRecovery() -> void
    {
        const auto from = task::monotonicNow();
        recovery_ = loop_.every(RestartInterval, [this, from]() {
            const auto isLate = task::monotonicNow() - from > RecoveryTime;
            if (callers_.servedInRow() < ServedInRow && !isLate) {
                return;
            }
            if (isLate) {
                own_.push_back({ Promise::Recovers, "", "not everything is served again after the last fault" });
            }
            recovery_ = {};
            drain();
        });
    }

    auto drain() -> void
    {
        callers_.stop();
        const auto from = task::monotonicNow();
        recovery_ = loop_.every(RestartInterval, [this, from]() {
            if (callers_.isIdle() || task::monotonicNow() - from > DrainTime + (site_.hasDrafts() ? DraftRoute.timeLimit : Duration::zero())) {
                loop_.stop();
            }
        });
    }

    Options options_;
    task::EventLoop loop_;
    Ledger ledger_;
    Site site_;
    Callers callers_;
    std::vector<Fault> plan_;
    std::vector<Violation> own_;
    std::vector<task::Watch> timers_;
    task::Watch restarter_;
    task::Watch recovery_;
    TimePoint startedAt_;
};

auto print(const std::vector<Violation> &violations) -> void
{
    for (std::size_t i = 0; i < std::min(violations.size(), MostPrinted); ++i) {
        const auto &each = violations[i];
        std::cout << nlohmann::json{ { "event", "broken" }, { "promise", findName(Promises, each.promise) }, { "request", each.id }, { "detail", each.detail } }
                  << "\n";
    }
}

auto runSoak(const Options &options) -> int
{
    const auto folder = std::filesystem::temp_directory_path() / ("auburnspread-soak-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    Soak soak(options, folder);
    const auto violations = soak.run();
    const auto totals = soak.totals();
    print(violations);
    std::cout << nlohmann::json{ { "event", "soak" },         { "seed", options.seed },      { "sent", totals.sent },
                                 { "served", totals.served }, { "refused", totals.refused }, { "broken", totals.broken },
                                 { "runs", totals.runs },     { "crashes", totals.crashes }, { "violations", violations.size() } }
              << "\n";
    if (violations.empty()) {
        std::filesystem::remove_all(folder);
        return EXIT_SUCCESS;
    }
    std::cout << "logs: " << folder.string() << "\n";
    return EXIT_FAILURE;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    try {
        const auto options = readOptions(argc, argv);
        if (!options) {
            std::cerr << Usage;
            return UsageExit;
        }
        return runSoak(*options);
    } catch (const std::logic_error &) {
        std::cerr << "auburnspread-soak: an option needs a number\n" << Usage;
        return UsageExit;
    } catch (const std::exception &error) {
        std::cerr << "auburnspread-soak: " << error.what() << "\n";
        return UsageExit;
    }
}
