/// \file
/// Settings of one process: read from an INI file, overridden from the command line, checked against the schema as a whole.
/// Either every value is valid, or all errors are reported together and nothing starts.

#pragma once

#include "core/base/time.h"
#include "runtime/settings/schema.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::settings
{

/// One thing that is wrong.
struct Error {
    std::string file; ///< path, "--set" or "default"
    int line = 0;     ///< 0 where a line means nothing
    std::string section;
    std::string key;
    std::string value;    ///< shortened and made printable; "(hidden)" for a secret
    std::string expected; ///< completes "expected ..."
};

/// One line: file, line, section, key, value and what was expected.
auto describe(const Error &error) -> std::string;

/// All errors of one reading.
class InvalidSettings : public std::runtime_error
{
public:
    explicit InvalidSettings(std::vector<Error> errors);
    [[nodiscard]] auto errors() const -> const std::vector<Error> &;

private:
    std::vector<Error> errors_;
};

/// Where the settings come from.
struct Sources {
    std::string file;                   ///< name for error messages
    std::string text;                   ///< content of the INI file
    std::vector<std::string> overrides; ///< "section.key=value" each; the last of one key counts
};

/// Checked values. Every getter takes "section.key"; asking for an undeclared key or with another kind's getter is a
/// defect of the program: std::logic_error.
class Settings
{
public:
    [[nodiscard]] auto text(std::string_view key) const -> const std::string &; ///< Kind::Text, Choice
    [[nodiscard]] auto secret(std::string_view key) const -> const std::string &;
    [[nodiscard]] auto integer(std::string_view key) const -> std::int64_t;
    [[nodiscard]] auto number(std::string_view key) const -> double;
    [[nodiscard]] auto bytes(std::string_view key) const -> std::size_t;
    [[nodiscard]] auto duration(std::string_view key) const -> Duration;
    [[nodiscard]] auto address(std::string_view key) const -> const std::string &; ///< "" if it may be empty and is
    [[nodiscard]] auto addresses(std::string_view key) const -> std::vector<std::string>;

private:
    struct Value {
        Kind kind;
        std::string text;
    };

    friend auto readSettings(const Schema &schema, const Sources &sources) -> Settings;
    [[nodiscard]] auto find(std::string_view key, Kind kind) const -> const Value &;

    std::map<std::string, Value, std::less<>> values_;
};

/// Throws InvalidSettings with every error found.
auto readSettings(const Schema &schema, const Sources &sources) -> Settings;

} // namespace auburnspread::settings
