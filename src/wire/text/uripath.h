/// \file
/// Names in a URI.

#pragma once

#include <string>
#include <string_view>

namespace auburnspread::text
{

/// A name as it stands in a path or a query: each part encoded, the slashes kept.
auto encodeUriPath(std::string_view name) -> std::string;

} // namespace auburnspread::text
