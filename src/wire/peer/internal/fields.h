/// \file
/// Reads the fields of a decoded message one after the other, within bounds.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace auburnspread::peer::detail
{

using Json = nlohmann::json;

/// A positional list. Fields that a later release adds stand at the end and are not read. Every read throws
/// DecodeError if the field is missing, of another type or beyond its bound.
class Fields
{
public:
    /// \p what names the list in errors.
    Fields(const Json &list, std::string what);

    auto text() -> std::string;
    auto number32() -> std::uint32_t;
    auto number64() -> std::uint64_t;
    /// At most \p maxBytes.
    auto bytes(std::size_t maxBytes) -> const Json::binary_t &;
    /// At most MaxListEntries.
    auto list() -> const Json &;
    auto isNull() -> bool;

    template <std::size_t Size>
    auto fixedBytes() -> std::array<std::uint8_t, Size>
    {
        const auto &value = bytes(Size);
        if (value.size() != Size) {
            fail("has a wrong size");
        }
        std::array<std::uint8_t, Size> result{};
        std::copy(value.begin(), value.end(), result.begin());
        return result;
    }

private:
    auto next() -> const Json &;
    [[noreturn]] auto fail(const char *why) const -> void;

    const Json &list_;
    std::string what_;
    std::size_t position_ = 0;
};

} // namespace auburnspread::peer::detail
