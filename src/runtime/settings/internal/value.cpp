#include "runtime/settings/internal/value.h"

#include "core/base/nametable.h"
#include "runtime/net/endpoint.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace auburnspread::settings
{

namespace
{

constexpr auto Kinds = std::to_array<NamedValue<Kind>>({
    { Kind::Text, "text" },
    { Kind::Integer, "integer" },
    { Kind::Number, "number" },
    { Kind::Duration, "duration_ms" },
    { Kind::Bytes, "bytes" },
    { Kind::Address, "address" },
    { Kind::Addresses, "addresses" },
    { Kind::Choice, "choice" },
    { Kind::Secret, "secret" },
});

} // namespace

auto kindName(Kind kind) -> std::string_view
{
    return findName(Kinds, kind);
}

namespace detail
{

namespace
{

constexpr Range Unbounded;

auto describeRange(const Range &range) -> std::string
{
    if (range.most != Unbounded.most) {
        return " from " + std::to_string(range.least) + " to " + std::to_string(range.most);
    }
    return " of at least " + std::to_string(range.least);
}

auto describeLength(const Key &key) -> std::string
{
    if (key.range.least == Unbounded.least && key.range.most == Unbounded.most) {
        return "";
    }
    return ", a length in bytes" + describeRange(key.range);
}

auto describeNumber(const Key &key) -> std::string
{
    const auto range = describeRange(key.range);
    const auto unit = key.unit.empty() ? std::string() : " of " + std::string(key.unit);
    switch (key.kind) {
    case Kind::Duration:
        return "a whole number of milliseconds" + range + ", without a unit";
    case Kind::Bytes:
        return "a whole number of bytes" + range + ", without a unit";
    case Kind::Number:
        return "a number" + unit + range;
    default:
        return "a whole number" + unit + range;
    }
}

auto describeChoices(const Key &key) -> std::string
{
    std::string text;
    for (const auto &choice : key.choices) {
        text += (text.empty() ? "one of " : ", ") + std::string(choice);
    }
    return text;
}

auto isInside(const Range &range, std::int64_t number) -> bool
{
    return number >= range.least && number <= range.most;
}

auto isIntegerOf(const Key &key, const std::string &text) -> bool
{
    const auto number = parseInteger(text);
    return number && isInside(key.range, *number);
}

auto isNumberOf(const Key &key, const std::string &text) -> bool
{
    const auto number = parseNumber(text);
    return number && *number >= static_cast<double>(key.range.least) && *number <= static_cast<double>(key.range.most);
}

auto isAddress(const std::string &text) -> bool
{
    return net::parseEndpoint(text).has_value();
}

auto areAddresses(const Key &key, const std::string &text) -> bool
{
    const auto parts = splitList(text);
    return isInside(key.range, static_cast<std::int64_t>(parts.size())) && std::all_of(parts.begin(), parts.end(), isAddress);
}

auto isValid(const Key &key, const std::string &text) -> bool
{
    switch (key.kind) {
    case Kind::Text:
    case Kind::Secret:
        return isInside(key.range, static_cast<std::int64_t>(text.size()));
    case Kind::Integer:
    case Kind::Duration:
    case Kind::Bytes:
        return isIntegerOf(key, text);
    case Kind::Number:
        return isNumberOf(key, text);
    case Kind::Address:
        return isAddress(text);
    case Kind::Addresses:
        return areAddresses(key, text);
    case Kind::Choice:
        return std::find(key.choices.begin(), key.choices.end(), text) != key.choices.end();
    }
    return false;
}

/// All of \p text as one value.
template <typename Value>
auto parseWhole(std::string_view text) -> std::optional<Value>
{
    Value value{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

auto mayBeEmpty(const Key &key) -> bool
{
    return key.defaultValue && key.defaultValue->empty();
}

} // namespace

auto parseInteger(std::string_view text) -> std::optional<std::int64_t>
{
    return parseWhole<std::int64_t>(text);
}

auto parseNumber(std::string_view text) -> std::optional<double>
{
    const auto number = parseWhole<double>(text);
    return number && std::isfinite(*number) ? number : std::nullopt;
}

auto splitList(std::string_view text) -> std::vector<std::string>
{
    constexpr std::string_view Blanks = " \t";
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        auto part = text.substr(0, comma);
        part.remove_prefix(std::min(part.find_first_not_of(Blanks), part.size()));
        part = part.substr(0, part.find_last_not_of(Blanks) + 1);
        parts.emplace_back(part);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

auto describeExpected(const Key &key) -> std::string
{
    switch (key.kind) {
    case Kind::Text:
        return "a text" + describeLength(key);
    case Kind::Secret:
        return "a secret" + describeLength(key);
    case Kind::Integer:
    case Kind::Number:
    case Kind::Duration:
    case Kind::Bytes:
        return describeNumber(key);
    case Kind::Address:
        return "an IP number and port like 127.0.0.1:8080 or [::1]:8080";
    case Kind::Addresses:
        return "IP numbers with ports like 127.0.0.1:8080, with commas between them";
    case Kind::Choice:
        return describeChoices(key);
    }
    return "";
}

auto findFault(const Key &key, const std::string &text) -> std::optional<std::string>
{
    if (text.empty() && mayBeEmpty(key)) {
        return std::nullopt;
    }
    if (text.empty()) {
        return describeExpected(key) + ", not an empty value";
    }
    if (!isValid(key, text)) {
        return describeExpected(key);
    }
    return std::nullopt;
}

} // namespace detail

} // namespace auburnspread::settings
