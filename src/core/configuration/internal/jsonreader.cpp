#include "core/configuration/internal/jsonreader.h"

#include <algorithm>
#include <numeric>

namespace auburnspread::configuration::detail
{

namespace
{

/// Levenshtein distance.
auto editDistance(std::string_view left, std::string_view right) -> std::size_t
{
    auto row = std::vector<std::size_t>(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ substituted, row[j] + 1, diagonal + 1 });
        }
    }
    return row.back();
}

/// A text as JSON with quotes and escapes, cut to a length that fits a message.
auto inQuotes(const std::string &text) -> std::string
{
    constexpr std::size_t MaximumShown = 80;
    const auto shown = nlohmann::json(text.substr(0, MaximumShown)).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return text.size() > MaximumShown ? shown + "..." : shown;
}

} // namespace

auto childPath(const std::string &parent, std::string_view key) -> std::string
{
    auto path = parent + "/";
    for (const auto character : key) {
        if (character == '~') {
            path += "~0";
        } else if (character == '/') {
            path += "~1";
        } else {
            path += character;
        }
    }
    return path;
}

auto nearestKey(std::string_view key, const std::vector<std::string_view> &known) -> std::string_view
{
    const auto nearer = [key](std::string_view left, std::string_view right) { return editDistance(key, left) < editDistance(key, right); };
    const auto nearest = std::ranges::min_element(known, nearer);
    return nearest == known.end() ? std::string_view() : *nearest;
}

auto JsonReader::readBoolean(const nlohmann::json &json, bool &target, const std::string &path) -> void
{
    if (!json.is_boolean()) {
        report(path, "expected true or false, found " + std::string(json.type_name()));
        return;
    }
    target = json.get<bool>();
}

auto JsonReader::readText(const nlohmann::json &json, std::string &target, const FieldRule &rule, const std::string &path) -> void
{
    if (!json.is_string()) {
        report(path, "expected a text, found " + std::string(json.type_name()));
        return;
    }
    target = json.get<std::string>();
    const auto fault = textFault(target, rule.form);
    if (!fault.empty()) {
        report(path, fault + ", found " + inQuotes(target));
    }
}

auto JsonReader::readNumber(const nlohmann::json &json, std::int64_t &target, const FieldRule &rule, const std::string &path) -> bool
{
    if (!json.is_number_integer()) {
        report(path, "expected a whole number, found " + (json.is_number() ? json.dump() : std::string(json.type_name())));
        return false;
    }
    const auto tooLarge = json.is_number_unsigned() && json.get<std::uint64_t>() > std::uint64_t{ std::numeric_limits<std::int64_t>::max() };
    target = tooLarge ? std::numeric_limits<std::int64_t>::max() : json.get<std::int64_t>();
    const auto fault = numberFault(target, rule);
    if (!fault.empty()) {
        report(path, fault);
        return false;
    }
    return true;
}

auto JsonReader::reportUnknownKeys(const nlohmann::json &json, const std::vector<std::string_view> &known, const std::string &path) -> void
{
    for (const auto &[key, value] : json.items()) {
        if (std::ranges::find(known, key) == known.end()) {
            report(childPath(path, key.substr(0, 80)), "unknown key; the nearest known one is \"" + std::string(nearestKey(key.substr(0, 80), known)) + "\"");
        }
    }
}

auto JsonReader::report(std::string path, std::string text) -> void
{
    problems_.push_back({ .path = std::move(path), .text = std::move(text) });
}

} // namespace auburnspread::configuration::detail
