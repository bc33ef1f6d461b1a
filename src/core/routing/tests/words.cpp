#include "core/routing/tests/words.h"

#include <sstream>
#include <stdexcept>

namespace auburnspread::routing
{

auto splitWords(const std::string &line) -> Words
{
    std::istringstream stream(line);
    Words words;
    stream >> words.verb;
    for (std::string word; stream >> word;) {
        const auto equals = word.find('=');
        if (equals == std::string::npos) {
            words.plain.push_back(word);
        } else {
            words.named[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return words;
}

auto text(const Words &words, const std::string &key, const std::string &otherwise) -> std::string
{
    const auto place = words.named.find(key);
    return place == words.named.end() ? otherwise : place->second;
}

auto number(const Words &words, const std::string &key, std::uint64_t otherwise) -> std::uint64_t
{
    const auto place = words.named.find(key);
    return place == words.named.end() ? otherwise : std::stoull(place->second);
}

auto duration(const Words &words, const std::string &key, Duration otherwise) -> Duration
{
    const auto place = words.named.find(key);
    return place == words.named.end() ? otherwise : parseDuration(place->second);
}

auto list(const Words &words, const std::string &key) -> std::vector<std::string>
{
    return split(text(words, key), ',');
}

auto split(const std::string &value, char separator) -> std::vector<std::string>
{
    std::istringstream stream(value);
    std::vector<std::string> parts;
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

auto parseDuration(const std::string &value) -> Duration
{
    std::size_t end = 0;
    const auto count = std::stoll(value, &end);
    const auto unit = value.substr(end);
    if (unit == "us") {
        return std::chrono::microseconds(count);
    }
    if (unit == "ms") {
        return std::chrono::milliseconds(count);
    }
    if (unit == "s") {
        return std::chrono::seconds(count);
    }
    throw std::runtime_error("unknown unit in " + value);
}

auto formatDuration(Duration duration) -> std::string
{
    constexpr auto PerMillisecond = 1000;
    if (duration.count() % PerMillisecond == 0) {
        return std::to_string(duration.count() / PerMillisecond) + "ms";
    }
    return std::to_string(duration.count()) + "us";
}

} // namespace auburnspread::routing
