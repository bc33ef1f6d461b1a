#include "load/site.h"

#include "core/base/nametable.h"
#include "core/configuration/parser.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
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
    std::vector<SiteProcess> found;
    if (const auto kind = findValue(Plurals, target)) {
        found = processesOf(site, *kind);
    } else {
        std::ranges::copy_if(site.processes, std::back_inserter(found), [target](const SiteProcess &process) { return process.name == target; });
    }
    if (found.empty()) {
        throw std::runtime_error("site: no process is called '" + std::string(target) + "'");
    }
    return found;
}

auto readPid(const SiteProcess &process) -> int
{
    std::ifstream file(process.pidFile);
    int pid = 0;
    file >> pid;
    return pid;
}

} // namespace auburnspread::load
