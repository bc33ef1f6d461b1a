/// \file
/// The declaration of a program's settings: each key with its kind, unit, default, range and explanation.
/// A program declares its keys in one constant table; checking, help and documentation all come from that table.

#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string_view>

namespace auburnspread::settings
{

class Settings;

enum class Kind {
    Text,
    Integer,
    Number,    ///< with or without a fraction
    Duration,  ///< a whole number of milliseconds; by convention the key ends with _ms
    Bytes,     ///< a whole number of bytes; by convention the key ends with _bytes
    Address,   ///< IP number and port: 127.0.0.1:8080 or [::1]:8080
    Addresses, ///< addresses with commas between them
    Choice,    ///< one of Key::choices
    Secret,    ///< text that is never printed
};

auto kindName(Kind kind) -> std::string_view;

/// Bounds of a number, of the length of a text or secret in bytes, or of the count of addresses.
struct Range {
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

struct Key {
    std::string_view section;
    std::string_view name;
    Kind kind = Kind::Text;
    std::string_view unit;                        ///< of an integer or number, for help only
    std::optional<std::string_view> defaultValue; ///< absent: the key is required; "": the value may be empty
    Range range;
    std::span<const std::string_view> choices; ///< of Kind::Choice
    std::string_view explanation;              ///< one sentence for operators
};

/// A condition over several keys, checked after every key is valid by itself.
struct Rule {
    std::string_view section; ///< with \p name: the key that the error names
    std::string_view name;
    auto(*holds)(const Settings &settings) -> bool;
    std::string_view expected; ///< completes "expected ..."
};

struct Schema {
    std::span<const Key> keys;
    std::span<const Rule> rules;
};

} // namespace auburnspread::settings
