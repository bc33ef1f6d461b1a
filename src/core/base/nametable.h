/// \file
/// Tables that give every enumerator of an enum class its published name.

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace auburnspread
{

template <typename Enum>
struct NamedValue {
    Enum value;
    std::string_view name;
};

/// \return the name of \p value in \p table, or "?" if the table lacks it. The tests of each module must ensure that its tables are complete.
template <typename Enum, std::size_t Size>
constexpr auto findName(const std::array<NamedValue<Enum>, Size> &table, Enum value) -> std::string_view
{
    for (const auto &entry : table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "?";
}

/// \return the value whose name is \p name, or nothing if there is none
template <typename Enum, std::size_t Size>
constexpr auto findValue(const std::array<NamedValue<Enum>, Size> &table, std::string_view name) -> std::optional<Enum>
{
    for (const auto &entry : table) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

/// \return the names in \p table, in the same order
template <typename Enum, std::size_t Size>
constexpr auto namesOf(const std::array<NamedValue<Enum>, Size> &table) -> std::array<std::string_view, Size>
{
    std::array<std::string_view, Size> names;
    for (std::size_t i = 0; i < Size; ++i) {
        names[i] = table[i].name;
    }
    return names;
}

} // namespace auburnspread
