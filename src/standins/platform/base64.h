/// \file
/// Base64 as the key-value service's JSON carries values.

#pragma once

#include <string>
#include <string_view>

namespace auburnspread::standins
{

auto encodeBase64(std::string_view bytes) -> std::string;
/// \throws std::invalid_argument
auto decodeBase64(std::string_view text) -> std::string;

} // namespace auburnspread::standins
