#include "runtime/logging/internal/jsonline.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <ctime>

namespace auburnspread::logging::detail
{

namespace
{

constexpr std::size_t LongestText = 1024;

auto formatTime(std::chrono::system_clock::time_point now) -> std::string
{
    constexpr long MicrosPerSecond = 1'000'000;
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    const std::time_t seconds = micros / MicrosPerSecond;
    std::tm utc{};
    ::gmtime_r(&seconds, &utc);
    std::array<char, sizeof "2026-01-01T00:00:00"> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    const auto fraction = std::to_string(MicrosPerSecond + micros % MicrosPerSecond).substr(1);
    return std::string(date.data()) + "." + fraction + "Z";
}

auto toJson(const Field::Value &value) -> nlohmann::ordered_json
{
    if (const auto *text = std::get_if<std::string_view>(&value)) {
        return std::string(text->substr(0, LongestText));
    }
    return std::visit([](const auto &plain) -> nlohmann::ordered_json { return plain; }, value);
}

} // namespace

auto formatLine(Level level, std::string_view name, std::initializer_list<Field> fields) -> std::string
{
    nlohmann::ordered_json line = { { "time", formatTime(std::chrono::system_clock::now()) }, { "level", levelName(level) }, { "event", name } };
    for (const auto &field : fields) {
        line[std::string(field.name())] = toJson(field.value());
    }
    constexpr int OneLine = -1;
    constexpr bool AsciiOnly = true; // log4cxx writes "?" for other characters where the process has no UTF-8 locale
    return line.dump(OneLine, ' ', AsciiOnly, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace auburnspread::logging::detail
