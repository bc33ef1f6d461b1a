/// \file
/// Forms as browsers send them (`application/x-www-form-urlencoded`).

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::console
{

/// Field name to value; of equal names the last counts.
using FormData = std::map<std::string, std::string>;

/// Nothing if an escape is malformed.
auto parseForm(std::string_view body) -> std::optional<FormData>;

/// The value; empty if absent.
auto fieldOf(const FormData &form, const std::string &name) -> std::string;

} // namespace auburnspread::console
