/// \file
/// Standard Base64 with padding, as stores carry values in JSON.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::text
{

auto encodeBase64(std::string_view bytes) -> std::string;
/// Nothing if \p text is not Base64.
auto decodeBase64(std::string_view text) -> std::optional<std::string>;

} // namespace auburnspread::text
