/// \file
/// A line of a session: a verb, plain words and KEY=VALUE words.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::routing
{

struct Words {
    std::string verb;
    std::vector<std::string> plain;
    std::map<std::string, std::string> named;
};

auto splitWords(const std::string &line) -> Words;

/// Value of the key, or \p otherwise.
auto text(const Words &words, const std::string &key, const std::string &otherwise = {}) -> std::string;
auto number(const Words &words, const std::string &key, std::uint64_t otherwise) -> std::uint64_t;
auto duration(const Words &words, const std::string &key, Duration otherwise) -> Duration;
/// The comma-separated words of the value.
auto list(const Words &words, const std::string &key) -> std::vector<std::string>;
auto split(const std::string &value, char separator) -> std::vector<std::string>;

auto parseDuration(const std::string &value) -> Duration;
auto formatDuration(Duration duration) -> std::string;

} // namespace auburnspread::routing
