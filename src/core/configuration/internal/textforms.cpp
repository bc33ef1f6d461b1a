#include "core/configuration/internal/textforms.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace auburnspread::configuration::detail
{

namespace
{

constexpr std::size_t MaximumNameLength = 64;
constexpr std::size_t MaximumPathLength = 256;
constexpr int OctetCount = 4;
constexpr int MaximumOctet = 255;
constexpr int MaximumPort = 65535;
constexpr auto Methods = std::to_array<std::string_view>({ "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" });

auto isAlphanumeric(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
}

auto isNameCharacter(char character) -> bool
{
    return isAlphanumeric(character) || character == '.' || character == '-' || character == '_';
}

auto isName(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= MaximumNameLength && isAlphanumeric(text.front()) && std::ranges::all_of(text, isNameCharacter);
}

/// A decimal number without sign or leading zero, within the bounds.
auto isDecimal(std::string_view text, int minimum, int maximum) -> bool
{
    auto number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto whole = error == std::errc{} && end == text.data() + text.size();
    const auto plain = text.size() == 1 || (!text.empty() && text.front() != '0' && text.front() != '-');
    return whole && plain && number >= minimum && number <= maximum;
}

auto isIpNumber(std::string_view text) -> bool
{
    for (auto octet = 1; octet < OctetCount; ++octet) {
        const auto dot = text.find('.');
        if (dot == std::string_view::npos || !isDecimal(text.substr(0, dot), 0, MaximumOctet)) {
            return false;
        }
        text.remove_prefix(dot + 1);
    }
    return isDecimal(text, 0, MaximumOctet);
}

auto isAddress(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    return colon != std::string_view::npos && isIpNumber(text.substr(0, colon)) && isDecimal(text.substr(colon + 1), 1, MaximumPort);
}

auto isPathPrefix(std::string_view text) -> bool
{
    const auto printable = [](char character) { return character > ' ' && character < '\x7f' && character != '?' && character != '#'; };
    return !text.empty() && text.size() <= MaximumPathLength && text.front() == '/' && std::ranges::all_of(text, printable);
}

auto formFault(bool valid, std::string_view expected) -> std::string
{
    return valid ? std::string() : "expected " + std::string(expected);
}

} // namespace

auto textFault(std::string_view text, TextForm form) -> std::string
{
    switch (form) {
    case TextForm::Name:
        return formFault(isName(text), "a name: letters, digits, '.', '-' and '_', at most 64, beginning with a letter or digit");
    case TextForm::Address:
        return formFault(isAddress(text), "an IP number and port such as 127.0.2.1:9000");
    case TextForm::Method:
        return formFault(std::ranges::find(Methods, text) != Methods.end(), "an HTTP method in capitals such as POST");
    case TextForm::PathPrefix:
        return formFault(isPathPrefix(text), "a path beginning with '/', without '?', '#' and spaces, at most 256 characters");
    }
    return "unknown form";
}

auto numberFault(std::int64_t number, const FieldRule &rule) -> std::string
{
    if (number >= rule.minimum && number <= rule.maximum) {
        return {};
    }
    const auto unit = rule.unit.empty() ? std::string() : " " + std::string(rule.unit);
    return "expected " + std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum) + unit + ", found " + std::to_string(number);
}

} // namespace auburnspread::configuration::detail
