/// \file
/// What auburnspreadctl prints: tables for people, JSON for scripts.

#pragma once

#include "core/configuration/differences.h"
#include "core/configuration/parser.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburnspread::ctl
{

/// Columns are as wide as their widest cell; control characters are shown as `?`, since cells may come from callers.
struct Table {
    std::vector<std::string> titles;
    std::vector<std::vector<std::string>> rows;
};

auto renderTable(const Table &table) -> std::string;

auto toJson(const std::vector<configuration::Problem> &problems) -> nlohmann::json;
auto toJson(const std::vector<configuration::Change> &changes) -> nlohmann::json;

/// Replaces what is not UTF-8.
auto renderJson(const nlohmann::json &value) -> std::string;

auto renderProblems(const std::vector<configuration::Problem> &problems) -> std::string;
auto renderChanges(const std::vector<configuration::Change> &changes) -> std::string;

/// A JSON value as a table cell: texts without quotes.
auto cellOf(const nlohmann::json &value) -> std::string;

} // namespace auburnspread::ctl
