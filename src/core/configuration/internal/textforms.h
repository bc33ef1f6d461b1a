/// \file
/// Checks of how texts and numbers of a document are written.

#pragma once

#include "core/configuration/internal/schema.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnspread::configuration::detail
{

/// What is wrong with \p text; empty: nothing.
auto textFault(std::string_view text, TextForm form) -> std::string;

/// What is wrong with \p number; empty: nothing.
auto numberFault(std::int64_t number, const FieldRule &rule) -> std::string;

} // namespace auburnspread::configuration::detail
