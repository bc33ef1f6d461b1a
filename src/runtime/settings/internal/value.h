/// \file
/// Checks the text of one value against its key.

#pragma once

#include "runtime/settings/schema.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::settings::detail
{

/// What was expected, if \p text is not a value of \p key.
auto findFault(const Key &key, const std::string &text) -> std::optional<std::string>;

/// What \p key takes, for help and errors.
auto describeExpected(const Key &key) -> std::string;

auto parseInteger(std::string_view text) -> std::optional<std::int64_t>;
/// Nothing for what is not finite.
auto parseNumber(std::string_view text) -> std::optional<double>;

/// Parts of a comma-separated list without the blanks around them; an empty text has none.
auto splitList(std::string_view text) -> std::vector<std::string>;

} // namespace auburnspread::settings::detail
