#include "runtime/settings/internal/nearest.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace auburnspread::settings::detail
{

namespace
{

/// Levenshtein distance, kept row by row.
auto editDistance(std::string_view left, std::string_view right) -> std::size_t
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{ 0 });
    for (std::size_t i = 0; i < left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
        }
    }
    return row.back();
}

} // namespace

auto fullName(std::string_view section, std::string_view key) -> std::string
{
    return std::string(section).append(".").append(key);
}

auto findNearest(const Schema &schema, const std::string &name) -> const Key *
{
    constexpr std::size_t LongestCompared = 128;
    const auto compared = name.substr(0, LongestCompared);
    const Key *nearest = nullptr;
    std::size_t least = 0;
    for (const auto &key : schema.keys) {
        const auto distance = editDistance(compared, fullName(key.section, key.name));
        if (nearest == nullptr || distance < least) {
            nearest = &key;
            least = distance;
        }
    }
    return nearest;
}

} // namespace auburnspread::settings::detail
