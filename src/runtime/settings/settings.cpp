#include "runtime/settings/settings.h"

#include "runtime/settings/internal/inifile.h"
#include "runtime/settings/internal/nearest.h"
#include "runtime/settings/internal/value.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace auburnspread::settings
{

namespace
{

constexpr std::string_view Hidden = "(hidden)";
constexpr std::string_view OverrideSource = "--set";
constexpr std::string_view DefaultSource = "default";

/// A value with its origin, before it is checked.
struct Candidate {
    std::string file;
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
};

using Candidates = std::map<std::string, Candidate>;

/// What an operator's terminal can show: no control characters, no endless lines.
auto makePrintable(std::string_view text) -> std::string
{
    constexpr std::size_t Longest = 80;
    std::string shown(text.substr(0, Longest));
    std::replace_if(
        shown.begin(), shown.end(), [](unsigned char c) { return c < ' ' || c == '\x7f'; }, '?');
    return text.size() > Longest ? shown + "..." : shown;
}

auto findKey(const Schema &schema, const Candidate &candidate) -> const Key *
{
    const auto found
        = std::find_if(schema.keys.begin(), schema.keys.end(), [&](const Key &key) { return key.section == candidate.section && key.name == candidate.key; });
    return found == schema.keys.end() ? nullptr : &*found;
}

auto namesSecret(std::string_view name) -> bool
{
    constexpr auto Words = std::to_array<std::string_view>({ "secret", "token", "password" });
    return std::any_of(Words.begin(), Words.end(), [name](std::string_view word) { return name.find(word) != std::string_view::npos; });
}

// A misspelt secret is still a secret: an unknown key's value stays hidden if its name or its nearest key looks like one.
auto isSecret(const Schema &schema, const Candidate &candidate) -> bool
{
    if (const auto *key = findKey(schema, candidate)) {
        return key->kind == Kind::Secret;
    }
    const auto name = detail::fullName(candidate.section, candidate.key);
    const auto *nearest = detail::findNearest(schema, name);
    return namesSecret(name) || (nearest != nullptr && nearest->kind == Kind::Secret);
}

auto makeError(const Schema &schema, const Candidate &candidate, std::string expected) -> Error
{
    const auto shownValue = isSecret(schema, candidate) ? Hidden : std::string_view(candidate.value);
    return Error{ .file = candidate.file,
                  .line = candidate.line,
                  .section = makePrintable(candidate.section),
                  .key = makePrintable(candidate.key),
                  .value = makePrintable(shownValue),
                  .expected = std::move(expected) };
}

auto addFileCandidates(const Schema &schema, const Sources &sources, Candidates &candidates, std::vector<Error> &errors) -> void
{
    const auto file = detail::parseIni(sources.text);
    for (const auto line : file.badLines) {
        // the line itself is not shown: it may be a secret with a missing equals sign
        errors.push_back({ .file = sources.file, .line = line, .expected = "a comment, [section] or key = value" });
    }
    for (const auto &given : file.assignments) {
        Candidate candidate{ .file = sources.file, .line = given.line, .section = given.section, .key = given.key, .value = given.value };
        const auto [place, isNew] = candidates.emplace(detail::fullName(given.section, given.key), candidate);
        if (!isNew) {
            errors.push_back(makeError(schema, candidate, "the key once; line " + std::to_string(place->second.line) + " has it already"));
        }
    }
}

auto addOverride(const std::string &text, Candidates &candidates, std::vector<Error> &errors) -> void
{
    const auto equals = std::min(text.find('='), text.size());
    const auto name = text.substr(0, equals);
    const auto dot = name.find('.');
    if (equals == text.size() || dot == std::string::npos) {
        errors.push_back(
            { .file = std::string(OverrideSource), .value = namesSecret(name) ? std::string(Hidden) : makePrintable(name), .expected = "section.key=value" });
        return;
    }
    candidates[name] = { .file = std::string(OverrideSource), .section = name.substr(0, dot), .key = name.substr(dot + 1), .value = text.substr(equals + 1) };
}

auto reportUnknown(const Schema &schema, const Candidate &candidate) -> Error
{
    const auto *nearest = detail::findNearest(schema, detail::fullName(candidate.section, candidate.key));
    if (nearest == nullptr) {
        return makeError(schema, candidate, "no key at all");
    }
    return makeError(schema, candidate, "a known key; the nearest is [" + std::string(nearest->section) + "] " + std::string(nearest->name));
}

/// The value that counts for \p key; nothing if it is required and not given.
auto chooseValue(const Key &key, const Candidates &candidates) -> std::optional<Candidate>
{
    const auto found = candidates.find(detail::fullName(key.section, key.name));
    if (found != candidates.end()) {
        return found->second;
    }
    if (!key.defaultValue) {
        return std::nullopt;
    }
    return Candidate{
        .file = std::string(DefaultSource), .section = std::string(key.section), .key = std::string(key.name), .value = std::string(*key.defaultValue)
    };
}

auto reportMissing(const Key &key, const std::string &file) -> Error
{
    return Error{ .file = file,
                  .section = std::string(key.section),
                  .key = std::string(key.name),
                  .value = "",
                  .expected = detail::describeExpected(key) + "; the key is required" };
}

auto reportBrokenRules(const Schema &schema, const Settings &settings, const Candidates &candidates, std::vector<Error> &errors) -> void
{
    for (const auto &rule : schema.rules) {
        if (rule.holds(settings)) {
            continue;
        }
        Candidate named{ .file = std::string(DefaultSource), .section = std::string(rule.section), .key = std::string(rule.name) };
        const auto *key = findKey(schema, named);
        if (key == nullptr) {
            throw std::logic_error("settings: a rule names an undeclared key: " + detail::fullName(rule.section, rule.name));
        }
        named = chooseValue(*key, candidates).value_or(named);
        errors.push_back(makeError(schema, named, std::string(rule.expected)));
    }
}

auto join(const std::vector<Error> &errors) -> std::string
{
    std::string text;
    for (const auto &error : errors) {
        text += (text.empty() ? "" : "\n") + describe(error);
    }
    return text;
}

} // namespace

auto describe(const Error &error) -> std::string
{
    auto text = error.file;
    if (error.line > 0) {
        text += ":" + std::to_string(error.line);
    }
    text += ": ";
    if (!error.section.empty() || !error.key.empty()) {
        text += "[" + error.section + "] " + error.key + " = " + error.value + ": ";
    } else if (!error.value.empty()) {
        text += error.value + ": ";
    }
    return text + "expected " + error.expected;
}

InvalidSettings::InvalidSettings(std::vector<Error> errors)
    : std::runtime_error(join(errors))
    , errors_(std::move(errors))
{
}

auto InvalidSettings::errors() const -> const std::vector<Error> &
{
    return errors_;
}

auto Settings::find(std::string_view key, Kind kind) const -> const Value &
{
    const auto found = values_.find(key);
    const auto matches = found != values_.end() && (found->second.kind == kind || (kind == Kind::Text && found->second.kind == Kind::Choice));
    if (!matches) {
        throw std::logic_error("settings: " + std::string(key) + " is not declared as " + std::string(kindName(kind)));
    }
    return found->second;
}

auto Settings::text(std::string_view key) const -> const std::string &
{
    return find(key, Kind::Text).text;
}

auto Settings::secret(std::string_view key) const -> const std::string &
{
    return find(key, Kind::Secret).text;
}

auto Settings::integer(std::string_view key) const -> std::int64_t
{
    return detail::parseInteger(find(key, Kind::Integer).text).value_or(0);
}

auto Settings::number(std::string_view key) const -> double
{
    return detail::parseNumber(find(key, Kind::Number).text).value_or(0);
}

auto Settings::bytes(std::string_view key) const -> std::size_t
{
    return static_cast<std::size_t>(detail::parseInteger(find(key, Kind::Bytes).text).value_or(0));
}

auto Settings::duration(std::string_view key) const -> Duration
{
    return std::chrono::milliseconds(detail::parseInteger(find(key, Kind::Duration).text).value_or(0));
}

auto Settings::address(std::string_view key) const -> const std::string &
{
    return find(key, Kind::Address).text;
}

auto Settings::addresses(std::string_view key) const -> std::vector<std::string>
{
    return detail::splitList(find(key, Kind::Addresses).text);
}

auto readSettings(const Schema &schema, const Sources &sources) -> Settings
{
    std::vector<Error> errors;
    Candidates candidates;
    addFileCandidates(schema, sources, candidates, errors);
    for (const auto &text : sources.overrides) {
        addOverride(text, candidates, errors);
    }
    for (const auto &[name, candidate] : candidates) {
        if (findKey(schema, candidate) == nullptr) {
            errors.push_back(reportUnknown(schema, candidate));
        }
    }

    Settings settings;
    for (const auto &key : schema.keys) {
        const auto chosen = chooseValue(key, candidates);
        if (!chosen) {
            errors.push_back(reportMissing(key, sources.file));
            continue;
        }
        if (auto expected = detail::findFault(key, chosen->value)) {
            errors.push_back(makeError(schema, *chosen, std::move(*expected)));
            continue;
        }
        settings.values_[detail::fullName(key.section, key.name)] = { .kind = key.kind, .text = chosen->value };
    }
    if (errors.empty()) {
        reportBrokenRules(schema, settings, candidates, errors);
    }
    if (!errors.empty()) {
        throw InvalidSettings(std::move(errors));
    }
    return settings;
}

} // namespace auburnspread::settings
