#include "runtime/settings/internal/inifile.h"

#include <ini.h>

#include <algorithm>
#include <cstddef>
#include <cstring>

namespace auburnspread::settings::detail
{

namespace
{

constexpr int LongestLine = 64 * 1024;

/// What inih's two callbacks share: the reader counts lines, so the handler knows where an assignment stands.
struct Cursor {
    std::vector<std::string> lines;
    std::size_t next = 0;
    std::vector<Assignment> assignments;
};

auto splitLines(std::string_view text) -> std::vector<std::string>
{
    std::vector<std::string> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

auto readLine(char *buffer, int size, void *context) -> char *
{
    auto &cursor = *static_cast<Cursor *>(context);
    if (cursor.next == cursor.lines.size()) {
        return nullptr;
    }
    const auto &line = cursor.lines[cursor.next++];
    const auto length = std::min(line.size(), static_cast<std::size_t>(size) - 1);
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\0';
    return buffer;
}

auto takeAssignment(void *context, const char *section, const char *key, const char *value) -> int
{
    auto &cursor = *static_cast<Cursor *>(context);
    cursor.assignments.push_back({ .section = section, .key = key, .value = value, .line = static_cast<int>(cursor.next) });
    return 1;
}

// a line that does not fit, or that holds a NUL, would reach inih cut short and be taken for a whole one
auto isReadable(const std::string &line) -> bool
{
    constexpr int Terminators = 3;
    return line.size() < LongestLine - Terminators && line.find('\0') == std::string::npos;
}

auto configureParser() -> void
{
    ini_use_stack = false;
    ini_allow_realloc = false;
    ini_initial_alloc = LongestLine;
    ini_max_line = LongestLine;
    ini_allow_multiline = false;
}

/// Blanks the lines that cannot be handed to inih and returns their numbers.
auto takeUnreadableLines(std::vector<std::string> &lines) -> std::vector<int>
{
    std::vector<int> numbers;
    int number = 0;
    for (auto &line : lines) {
        ++number;
        if (!isReadable(line)) {
            numbers.push_back(number);
            line.clear();
        }
    }
    return numbers;
}

} // namespace

auto parseIni(std::string_view text) -> IniFile
{
    configureParser();
    Cursor cursor{ .lines = splitLines(text) };
    IniFile file{ .badLines = takeUnreadableLines(cursor.lines) };
    // inih reports the first bad line only: blank it and read again until none is left
    for (;;) {
        cursor.next = 0;
        cursor.assignments.clear();
        const auto badLine = ini_parse_stream(readLine, &cursor, takeAssignment, &cursor);
        if (badLine <= 0) {
            break;
        }
        file.badLines.push_back(badLine);
        cursor.lines[static_cast<std::size_t>(badLine) - 1].clear();
    }
    std::sort(file.badLines.begin(), file.badLines.end());
    file.assignments = std::move(cursor.assignments);
    return file;
}

} // namespace auburnspread::settings::detail
