/// \file
/// Splits JSON text into the texts of its parts without decoding them, so that a part that can't be decoded leaves the others readable.

#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace auburnspread::text
{

struct JsonMember {
    std::string_view name;  ///< as it is written, without the quotes
    std::string_view value; ///< as it is written
};

/// \name Parts of a text; nothing if it is no object or array, or if its strings and brackets don't match. The parts may be no valid JSON.
/// @{
auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>;
auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>;
/// @}

} // namespace auburnspread::text
