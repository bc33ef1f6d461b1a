/// \file
/// One log event as a line of JSON.

#pragma once

#include "runtime/logging/logging.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace auburnspread::logging::detail
{

/// Pure ASCII without the line end: time in UTC, level, event name, then the fields in their order.
auto formatLine(Level level, std::string_view name, std::initializer_list<Field> fields) -> std::string;

} // namespace auburnspread::logging::detail
