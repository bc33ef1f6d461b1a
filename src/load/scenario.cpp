#include "load/scenario.h"

#include "core/base/nametable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <fstream>
#include <ini.h>
#include <nlohmann/json.hpp>
#include <span>
#include <sstream>

namespace auburnspread::load
{

namespace
{

constexpr std::string_view FlowPrefix = "flow.";
constexpr std::string_view FaultPrefix = "fault.";

constexpr auto LengthKinds = std::to_array<NamedValue<LengthKind>>({
    { LengthKind::Fixed, "fixed" },
    { LengthKind::LogNormal, "lognormal" },
    { LengthKind::Pareto, "pareto" },
});

/// One line of the file with its place, for messages.
struct Setting {
    std::string file;
    std::string section;
    std::string key;
    std::string text;
};

[[noreturn]] auto reject(const Setting &setting, std::string_view expected) -> void
{
    std::ostringstream message;
    message << setting.file << ": [" << setting.section << "] " << setting.key << " = '" << setting.text << "': expected " << expected;
    throw ScenarioError(message.str());
}

template <typename Number>
auto toNumber(const Setting &setting, Number least, Number most, std::string_view expected) -> Number
{
    Number value{};
    const auto *end = setting.text.data() + setting.text.size();
    const auto [rest, error] = std::from_chars(setting.text.data(), end, value);
    if (error != std::errc() || rest != end || value < least || value > most) {
        reject(setting, expected);
    }
    return value;
}

auto toCount(const Setting &setting) -> std::uint32_t
{
    constexpr std::uint32_t Most = 1'000'000;
    return toNumber<std::uint32_t>(setting, 0, Most, "a whole number up to 1000000");
}

auto toRate(const Setting &setting) -> double
{
    constexpr double Most = 1e6;
    return toNumber<double>(setting, 0, Most, "a number that is not negative");
}

auto toShare(const Setting &setting) -> double
{
    return toNumber<double>(setting, 0, 1, "a number from 0 to 1");
}

auto toMilliseconds(const Setting &setting) -> Duration
{
    constexpr std::int64_t Most = 3'600'000;
    return std::chrono::milliseconds(toNumber<std::int64_t>(setting, 0, Most, "whole milliseconds up to 3600000"));
}

auto toFlag(const Setting &setting) -> bool
{
    if (setting.text != "yes" && setting.text != "no") {
        reject(setting, "yes or no");
    }
    return setting.text == "yes";
}

auto toLengthKind(const Setting &setting) -> LengthKind
{
    const auto kind = findValue(LengthKinds, setting.text);
    if (!kind) {
        reject(setting, "fixed, lognormal or pareto");
    }
    return *kind;
}

auto toSignal(const Setting &setting) -> int
{
    constexpr auto Signals = std::to_array<NamedValue<int>>({
        { SIGKILL, "SIGKILL" },
        { SIGSTOP, "SIGSTOP" },
        { SIGCONT, "SIGCONT" },
        { SIGTERM, "SIGTERM" },
    });
    const auto value = findValue(Signals, setting.text);
    if (!value) {
        reject(setting, "SIGKILL, SIGSTOP, SIGCONT or SIGTERM");
    }
    return *value;
}

auto toJsonText(const Setting &setting) -> std::string
{
    if (!nlohmann::json::accept(setting.text)) {
        reject(setting, "JSON");
    }
    return setting.text;
}

auto toPath(const Setting &setting) -> std::string
{
    if (!setting.text.starts_with('/')) {
        reject(setting, "a path that begins with /");
    }
    return setting.text;
}

auto toNames(const Setting &setting) -> std::vector<std::string>
{
    std::vector<std::string> names;
    std::istringstream parts(setting.text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        std::erase(part, ' ');
        if (part.empty()) {
            reject(setting, "names separated by commas");
        }
        names.push_back(part);
    }
    return names;
}

template <typename Target>
struct Key {
    std::string_view name;
    void (*set)(Target &, const Setting &);
};

constexpr auto ScenarioKeys = std::to_array<Key<Scenario>>({
    { "name", [](Scenario &scenario, const Setting &setting) { scenario.name = setting.text; } },
    { "seed", [](Scenario &scenario, const Setting &setting) { scenario.seed = toCount(setting); } },
    { "duration_ms", [](Scenario &scenario, const Setting &setting) { scenario.duration = toMilliseconds(setting); } },
    { "settle_ms", [](Scenario &scenario, const Setting &setting) { scenario.settle = toMilliseconds(setting); } },
    { "callers_per_workspace", [](Scenario &scenario, const Setting &setting) { scenario.callersPerWorkspace = toCount(setting); } },
    { "large_workspaces", [](Scenario &scenario, const Setting &setting) { scenario.largeWorkspaces = toCount(setting); } },
    { "large_share", [](Scenario &scenario, const Setting &setting) { scenario.largeShare = toShare(setting); } },
});

constexpr auto FlowKeys = std::to_array<Key<Flow>>({
    { "class", [](Flow &flow, const Setting &setting) { flow.requestClass = setting.text; } },
    { "rate", [](Flow &flow, const Setting &setting) { flow.rate = toRate(setting); } },
    { "burst_from_ms", [](Flow &flow, const Setting &setting) { flow.burstFrom = toMilliseconds(setting); } },
    { "burst_to_ms", [](Flow &flow, const Setting &setting) { flow.burstTo = toMilliseconds(setting); } },
    { "burst_factor", [](Flow &flow, const Setting &setting) { flow.burstFactor = toRate(setting); } },
    { "stream_share", [](Flow &flow, const Setting &setting) { flow.streamShare = toShare(setting); } },
    { "length", [](Flow &flow, const Setting &setting) { flow.length.kind = toLengthKind(setting); } },
    { "length_median", [](Flow &flow, const Setting &setting) { flow.length.median = toRate(setting); } },
    { "length_sigma", [](Flow &flow, const Setting &setting) { flow.length.sigma = toRate(setting); } },
    { "length_alpha", [](Flow &flow, const Setting &setting) { flow.length.alpha = toRate(setting); } },
    { "length_max", [](Flow &flow, const Setting &setting) { flow.length.maximum = toCount(setting); } },
    { "prefixes", [](Flow &flow, const Setting &setting) { flow.prefixes = toCount(setting); } },
    { "prefix_words", [](Flow &flow, const Setting &setting) { flow.prefixWords = toCount(setting); } },
    { "prompt_words", [](Flow &flow, const Setting &setting) { flow.promptWords = toCount(setting); } },
    { "text", [](Flow &flow, const Setting &setting) { flow.text = setting.text; } },
    { "same_body", [](Flow &flow, const Setting &setting) { flow.sameBody = toFlag(setting); } },
    { "repeats", [](Flow &flow, const Setting &setting) { flow.repeats = toCount(setting); } },
    { "repeatable", [](Flow &flow, const Setting &setting) { flow.repeatable = toFlag(setting); } },
    { "workspace", [](Flow &flow, const Setting &setting) { flow.workspace = setting.text; } },
    { "service", [](Flow &flow, const Setting &setting) { flow.service = setting.text; } },
    { "method", [](Flow &flow, const Setting &setting) { flow.method = setting.text; } },
    { "path", [](Flow &flow, const Setting &setting) { flow.path = toPath(setting); } },
    { "give_up_ms", [](Flow &flow, const Setting &setting) { flow.giveUp = toMilliseconds(setting); } },
});

constexpr auto FaultKeys = std::to_array<Key<Fault>>({
    { "at_ms", [](Fault &fault, const Setting &setting) { fault.at = toMilliseconds(setting); } },
    { "target", [](Fault &fault, const Setting &setting) { fault.targets = toNames(setting); } },
    { "post", [](Fault &fault, const Setting &setting) { fault.post = toJsonText(setting); } },
    { "admin", [](Fault &fault, const Setting &setting) { fault.admin = toPath(setting); } },
    { "signal", [](Fault &fault, const Setting &setting) { fault.signal = toSignal(setting); } },
});

template <typename Target>
auto apply(std::span<const Key<Target>> keys, Target &target, const Setting &setting) -> void
{
    for (const auto &key : keys) {
        if (key.name == setting.key) {
            key.set(target, setting);
            return;
        }
    }
    std::string expected = "one of the keys";
    for (const auto &key : keys) {
        expected += ' ';
        expected += key.name;
    }
    reject(setting, expected);
}

/// The element called \p name, added at the end if new.
template <typename Target>
auto named(std::vector<Target> &all, std::string_view name) -> Target &
{
    const auto found = std::ranges::find(all, name, &Target::name);
    if (found != all.end()) {
        return *found;
    }
    all.emplace_back().name = name;
    return all.back();
}

auto applySetting(Scenario &scenario, const Setting &setting) -> void
{
    const std::string_view section = setting.section;
    if (section == "scenario") {
        apply<Scenario>(ScenarioKeys, scenario, setting);
        return;
    }
    if (section.starts_with(FlowPrefix)) {
        apply<Flow>(FlowKeys, named(scenario.flows, section.substr(FlowPrefix.size())), setting);
        return;
    }
    if (section.starts_with(FaultPrefix)) {
        apply<Fault>(FaultKeys, named(scenario.faults, section.substr(FaultPrefix.size())), setting);
        return;
    }
    reject(setting, "a section scenario, flow.NAME or fault.NAME");
}

auto collectSetting(void *context, const char *section, const char *key, const char *text) -> int
{
    auto &settings = *static_cast<std::vector<Setting> *>(context);
    settings.push_back({ .file = {}, .section = section, .key = key, .text = text });
    return 1;
}

auto applyText(Scenario &scenario, const std::string &text, const std::string &fileName) -> void
{
    std::vector<Setting> settings;
    const int badLine = ini_parse_string(text.c_str(), collectSetting, &settings);
    if (badLine != 0) {
        throw ScenarioError(fileName + ": line " + std::to_string(badLine) + ": expected [section] or key = value");
    }
    for (auto &setting : settings) {
        setting.file = fileName;
        applySetting(scenario, setting);
    }
}

auto checkFlow(const Flow &flow, const std::string &fileName) -> void
{
    const std::string section = std::string(FlowPrefix) + flow.name;
    if (flow.requestClass.empty()) {
        reject({ .file = fileName, .section = section, .key = "class", .text = {} }, "a request class's name");
    }
    if (flow.burstTo < flow.burstFrom) {
        reject({ .file = fileName, .section = section, .key = "burst_to_ms", .text = {} }, "a time after burst_from_ms");
    }
}

auto checkFault(const Fault &fault, const std::string &fileName) -> void
{
    const Setting place{ .file = fileName, .section = std::string(FaultPrefix) + fault.name, .key = "target", .text = {} };
    if (fault.targets.empty()) {
        reject(place, "at least one process name");
    }
    const int deeds = static_cast<int>(!fault.post.empty()) + static_cast<int>(!fault.admin.empty()) + static_cast<int>(fault.signal != 0);
    if (deeds != 1) {
        reject({ .file = fileName, .section = place.section, .key = "post, admin, signal", .text = {} }, "exactly one of the three");
    }
}

} // namespace

auto parseScenario(const std::vector<ScenarioText> &texts) -> Scenario
{
    Scenario scenario;
    std::string names;
    for (const auto &[fileName, text] : texts) {
        scenario.name.clear();
        applyText(scenario, text, fileName);
        names += (names.empty() ? "" : "+") + scenario.name;
    }
    scenario.name = names;
    const auto lastFile = texts.empty() ? std::string() : texts.back().fileName;
    for (const auto &flow : scenario.flows) {
        checkFlow(flow, lastFile);
    }
    for (const auto &fault : scenario.faults) {
        checkFault(fault, lastFile);
    }
    std::ranges::stable_sort(scenario.faults, {}, &Fault::at);
    return scenario;
}

auto readScenario(const std::vector<std::string> &fileNames) -> Scenario
{
    std::vector<ScenarioText> texts;
    for (const auto &fileName : fileNames) {
        std::ifstream file(fileName);
        if (!file) {
            throw ScenarioError(fileName + ": cannot be read");
        }
        std::ostringstream text;
        text << file.rdbuf();
        texts.push_back({ .fileName = fileName, .text = text.str() });
    }
    return parseScenario(texts);
}

} // namespace auburnspread::load
