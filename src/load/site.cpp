#include "load/site.h"

#include "core/base/nametable.h"
#include "core/configuration/parser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace auburnspread::load
{

namespace
{

constexpr auto Kinds = std::to_array<NamedValue<ProcessKind>>({
    { ProcessKind::Entry, "entry" },
    { ProcessKind::Engine, "engine" },
    { ProcessKind::Service, "service" },
    { ProcessKind::Platform, "platform" },
    { ProcessKind::Console, "console" },
    { ProcessKind::Placer, "placer" },
});

/// The words by which a fault strikes all processes of a kind.
constexpr auto Plurals = std::to_array<NamedValue<ProcessKind>>({
    { ProcessKind::Entry, "entries" },
    { ProcessKind::Engine, "engines" },
    { ProcessKind::Service, "services" },
});

/// The third engine for "engine-3": so that one set of faults serves for every deployment.
auto findNumbered(const Site &site, std::string_view target) -> std::optional<SiteProcess>
{
    const auto dash = target.rfind('-');
    const auto kind = findValue(Kinds, target.substr(0, dash));
    if (!kind || dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = target.substr(dash + 1);
    std::size_t number = 0;
    const auto [rest, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const auto processes = processesOf(site, *kind);
    if (error != std::errc() || rest != digits.data() + digits.size() || number < 1 || number > processes.size()) {
        return std::nullopt;
    }
    return processes[number - 1];
}

auto readFile(const std::string &name) -> std::string
{
    std::ifstream file(name);
    if (!file) {
        throw std::runtime_error("site: " + name + " cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto readProcess(const nlohmann::json &item) -> SiteProcess
{
    const auto kindName = item.at("kind").get<std::string>();
    const auto kind = findValue(Kinds, kindName);
    if (!kind) {
        throw std::runtime_error("site: process kind '" + kindName + "' is not known");
    }
    return { .kind = *kind,
             .name = item.at("name").get<std::string>(),
             .address = item.at("address").get<std::string>(),
             .control = item.at("control").get<std::string>(),
             .pidFile = item.at("pid_file").get<std::string>() };
}

auto readDocument(const std::string &name) -> configuration::Document
{
    auto parsed = configuration::parseDocument(readFile(name));
    if (parsed.document) {
        return std::move(*parsed.document);
    }
    std::string message = "site: " + name + " is not valid";
    for (const auto &problem : parsed.problems) {
        message += "; " + problem.path + ": " + problem.text;
    }
    throw std::runtime_error(message);
}

} // namespace

auto readSite(const std::string &directory) -> Site
{
    const auto json = nlohmann::json::parse(readFile(directory + "/site.json"));
    Site site{ .policy = json.at("policy").get<std::string>() };
    for (const auto &item : json.at("processes")) {
        site.processes.push_back(readProcess(item));
    }
    site.document = readDocument(json.at("document").get<std::string>());
    return site;
}

auto processesOf(const Site &site, ProcessKind kind) -> std::vector<SiteProcess>
{
    std::vector<SiteProcess> found;
    std::ranges::copy_if(site.processes, std::back_inserter(found), [kind](const SiteProcess &process) { return process.kind == kind; });
    return found;
}

auto findTargets(const Site &site, std::string_view target) -> std::vector<SiteProcess>
{
    if (const auto kind = findValue(Plurals, target)) {
        return processesOf(site, *kind);
    }
    const auto named = std::ranges::find(site.processes, target, &SiteProcess::name);
    if (named != site.processes.end()) {
        return { *named };
    }
    if (const auto numbered = findNumbered(site, target)) {
        return { *numbered };
    }
    throw std::runtime_error("site: no process is called '" + std::string(target) + "'");
}

auto readPid(const SiteProcess &process) -> int
{
    std::ifstream file(process.pidFile);
    int pid = 0;
    file >> pid;
    return pid;
}

} // namespace auburnspread::load
