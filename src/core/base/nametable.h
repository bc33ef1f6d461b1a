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

/// Name of \p value in \p table; "?" if the table lacks it, which a module's tests must rule out.
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

/// Value whose name is \p name, or nothing.
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

/// The names of \p table, in its order.
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
