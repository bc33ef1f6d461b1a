#include "apps/ctl/output.h"

#include <algorithm>

namespace auburnspread::ctl
{

namespace
{

using nlohmann::json;

constexpr int JsonIndent = 2;
constexpr std::size_t ColumnGap = 2;

auto printable(std::string text) -> std::string
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    std::ranges::replace_if(
        text, [](unsigned char character) { return character < FirstPrintable || character == Delete; }, '?');
    return text;
}

auto renderRow(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths) -> std::string
{
    auto line = std::string();
    for (std::size_t column = 0; column < cells.size(); ++column) {
        const auto cell = printable(cells[column]);
        line += cell;
        if (column + 1 < cells.size()) {
            line += std::string(widths[column] + ColumnGap - cell.size(), ' ');
        }
    }
    return line + "\n";
}

auto valueOrNull(const std::string &value) -> json
{
    return value.empty() ? json(nullptr) : json::parse(value);
}

/// Values of a change may be whole objects; --json shows them in full.
auto shorten(const std::string &value) -> std::string
{
    constexpr std::size_t Longest = 60;
    if (value.empty()) {
        return "-";
    }
    return value.size() > Longest ? value.substr(0, Longest) + "..." : value;
}

} // namespace

auto renderTable(const Table &table) -> std::string
{
    auto widths = std::vector<std::size_t>();
    for (const auto &title : table.titles) {
        widths.push_back(title.size());
    }
    for (const auto &row : table.rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    auto text = renderRow(table.titles, widths);
    for (const auto &row : table.rows) {
        text += renderRow(row, widths);
    }
    return text;
}

auto toJson(const std::vector<configuration::Problem> &problems) -> json
{
    auto list = json::array();
    for (const auto &problem : problems) {
        list.push_back({ { "path", problem.path }, { "text", problem.text } });
    }
    return list;
}

auto toJson(const std::vector<configuration::Change> &changes) -> json
{
    auto list = json::array();
    for (const auto &change : changes) {
        list.push_back({ { "path", change.path }, { "old", valueOrNull(change.oldValue) }, { "new", valueOrNull(change.newValue) } });
    }
    return list;
}

auto renderJson(const json &value) -> std::string
{
    return value.dump(JsonIndent, ' ', false, json::error_handler_t::replace) + "\n";
}

auto renderProblems(const std::vector<configuration::Problem> &problems) -> std::string
{
    auto text = std::string();
    for (const auto &problem : problems) {
        text += printable((problem.path.empty() ? "document" : problem.path) + ": " + problem.text) + "\n";
    }
    return text;
}

auto renderChanges(const std::vector<configuration::Change> &changes) -> std::string
{
    auto table = Table{ .titles = { "PATH", "OLD", "NEW" }, .rows = {} };
    for (const auto &change : changes) {
        table.rows.push_back({ change.path, shorten(change.oldValue), shorten(change.newValue) });
    }
    return renderTable(table);
}

auto cellOf(const json &value) -> std::string
{
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace auburnspread::ctl
