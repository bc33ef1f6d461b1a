#include "failuretests/site.h"

#include "core/configuration/manifest.h"
#include "standins/testing/loopback.h"

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace auburnspread::failuretests
{

namespace
{

auto makeFolder() -> std::filesystem::path
{
    auto pattern = (std::filesystem::temp_directory_path() / "auburnspread-site-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "site: temporary folder");
    }
    return pattern;
}

auto putKey(Caller &caller, const StandIn &platform, const std::string &key, const std::string &value) -> void
{
    const auto call = caller.fetch({ .address = platform.address, .method = "PUT", .path = "/v1/kv/" + key, .headers = {}, .body = value });
    if (call->body.find("true") == std::string::npos) {
        throw std::runtime_error("site: the platform's stand-in refused " + key + ": " + call->describe());
    }
}

auto settingsOf(const Entry &entry, const std::string &platform, const std::string &seeds) -> std::string
{
    return "[entry]\nname = " + entry.name + "\nfailure_domain = fd-a\nregion = north\n" + "[listen]\ncaller = " + entry.callerAddress
        + "\nadmin = " + entry.adminAddress + "\npeer = " + entry.peerAddress + "\n" + "[platform]\naddress = " + platform + "\n[peers]\nseeds = " + seeds
        + "\nsecret = a-secret-of-the-failure-tests\n";
}

} // namespace

Site::Site()
    : folder_(makeFolder())
{
    platform = &startStandIn("fake-platform", "platform");
}

Site::~Site()
{
    placers.clear();
    entries.clear();
    standIns.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

auto Site::startStandIn(const std::string &program, const std::string &name, std::vector<std::string> arguments) -> StandIn &
{
    auto &standIn = *(standIns[name] = std::make_unique<StandIn>());
    standIn.name = name;
    standIn.address = standins::takeLoopbackAddress();
    standIn.control = standins::takeLoopbackAddress();
    commands_[name] = { program, std::move(arguments) };
    launch(standIn);
    return standIn;
}

auto Site::restartStandIn(StandIn &standIn) -> void
{
    standIn.process.reset();
    launch(standIn);
}

auto Site::launch(StandIn &standIn) -> void
{
    const auto &[program, extra] = commands_.at(standIn.name);
    std::vector<std::string> arguments{ "--name", standIn.name, "--listen", standIn.address, "--control", standIn.control };
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    standIn.process = std::make_unique<Process>(ProcessOptions{ .program = program, .arguments = arguments, .output = folder_ / (standIn.name + ".log") });
    const auto answers
        = [&]() { return standIn.process->exitCode() || caller.fetch({ .address = standIn.control, .path = "/control/executions" })->head.status != 0; };
    if (!caller.waitUntil(answers) || standIn.process->exitCode()) {
        throw std::runtime_error("site: " + standIn.name + " did not start: " + standIn.process->output());
    }
}

auto Site::control(const StandIn &standIn, const nlohmann::json &fault) -> void
{
    const auto call = caller.fetch({ .address = standIn.control, .method = "POST", .path = "/control", .headers = {}, .body = fault.dump() });
    const bool mayDie = fault.contains("crash");
    if (call->head.status / 100 != 2 && !mayDie) {
        throw std::runtime_error("site: " + standIn.name + " refused the fault " + fault.dump() + ": " + call->describe());
    }
}

auto Site::publish(const configuration::Document &document) -> void
{
    const auto split = configuration::split(document);
    const auto nonce = "submission-" + std::to_string(++version_);
    for (const auto &[digest, content] : split.contents) {
        putKey(caller, *platform, configuration::partKey(digest), configuration::encodePart(*content, nonce));
    }
    const configuration::Manifest manifest{ .version = version_, .digest = split.digest, .author = "test", .nonce = nonce, .parts = split.references };
    putKey(caller, *platform, std::string(configuration::ManifestKey), configuration::serializeManifest(manifest));
}

auto Site::startEntry(const std::string &name) -> Entry &
{
    std::string seeds;
    for (const auto &[other, entry] : entries) {
        seeds += (seeds.empty() ? "" : ", ") + entry->peerAddress;
    }
    auto &entry = *(entries[name] = std::make_unique<Entry>());
    entry.name = name;
    entry.callerAddress = standins::takeLoopbackAddress();
    entry.adminAddress = standins::takeLoopbackAddress();
    entry.peerAddress = standins::takeLoopbackAddress();
    const auto settings = writeFile(name + ".ini", settingsOf(entry, platform->address, seeds));
    entry.process = std::make_unique<Process>(
        ProcessOptions{ .program = "auburnspread-entry", .arguments = { "--config", settings.string() }, .output = folder_ / (name + ".log") });
    return entry;
}

auto Site::waitUntilReady(const Entry &entry) -> bool
{
    return caller.waitUntil(
        [&]() { return entry.process->exitCode() || caller.fetch({ .address = entry.adminAddress, .path = "/readyz" })->head.status == 200; });
}

auto Site::startPlacer(const std::string &name) -> Placer &
{
    auto &placer = *(placers[name] = std::make_unique<Placer>());
    placer.name = name;
    placer.adminAddress = standins::takeLoopbackAddress();
    const auto settings = writeFile(name + ".ini",
                                    "[placer]\nname = " + name + "\n[listen]\nadmin = " + placer.adminAddress + "\n[platform]\naddress = " + platform->address
                                        + "\n[lease]\nduration_ms = 2000\nrenew_ms = 200\nsafety_margin_ms = 300\nstandby_ms = 100\n"
                                        + "[orders]\norder_time_ms = 300\n[reads]\ninterval_ms = 300\nspacing_ms = 10\ntimeout_ms = 1000\n");
    placer.process = std::make_unique<Process>(
        ProcessOptions{ .program = "auburnspread-placer", .arguments = { "--config", settings.string() }, .output = folder_ / (name + ".log") });
    return placer;
}

auto Site::startConsole() -> Console &
{
    console.address = standins::takeLoopbackAddress();
    const auto settings = writeFile("console.ini",
                                    "[listen]\naddress = " + console.address + "\n[platform]\naddress = " + platform->address
                                        + "\n[operators]\ntokens = ana:a-token-of-the-tests\n");
    console.process = std::make_unique<Process>(
        ProcessOptions{ .program = "auburnspread-console", .arguments = { "--config", settings.string() }, .output = folder_ / "console.log" });
    return console;
}

auto Site::writeFile(const std::string &name, const std::string &text) -> std::filesystem::path
{
    auto path = folder_ / name;
    std::ofstream(path) << text;
    return path;
}

auto Site::folder() const -> const std::filesystem::path &
{
    return folder_;
}

auto Site::countExecutions(const standins::Answer &answer) -> std::size_t
{
    const auto digest = standins::digestOf(answer);
    std::size_t count = 0;
    for (const auto &[name, standIn] : standIns) {
        if (commands_.at(name).first != "fake-engine" || standIn->process->exitCode()) {
            continue;
        }
        const auto executions = caller.fetchJson(standIn->control, "/control/executions");
        for (const auto &execution : executions) {
            count += execution.value("started", false) && execution.value("digest", "") == digest ? 1 : 0;
        }
    }
    return count;
}

auto Site::countServiceRuns(const StandIn &service, const std::string &key) -> std::size_t
{
    const auto runs = caller.fetchJson(service.control, "/control/executions");
    return runs.is_object() ? runs.value(key, std::size_t{ 0 }) : 0;
}

auto Site::logs() const -> std::string
{
    constexpr std::size_t LongestExcerpt = 3000;
    std::string text;
    for (const auto &file : std::filesystem::directory_iterator(folder_)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        std::ifstream stream(file.path());
        const std::string content(std::istreambuf_iterator<char>(stream), {});
        text += "--- " + file.path().filename().string() + "\n" + content.substr(content.size() - std::min(content.size(), LongestExcerpt)) + "\n";
    }
    return text;
}

} // namespace auburnspread::failuretests
